#pragma once

#include "dragonflystair/config/deployment.h"
#include "dragonflystair/support/placed_finding.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// A deployment with the findings of `parse_deployment` as errors, and with warnings.
struct checked_deployment {
    section_map sections;
    support::placed_findings findings; ///< In the order of lines.
};

/// Parses a deployment. Also warns of entries without effect and of limits that contradict each
/// other, which do not prevent a publication.
checked_deployment check_deployment(std::string_view text);

/// Describes in words which sections differ, as `support::differences` does. Blanks in lists make
/// no difference.
std::vector<std::string> differences(const section_map& from, const section_map& to);

} // namespace dragonflystair::config
