#pragma once

#include "dragonflystair/config/deployment.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::config {

/// A deployment with the line numbers of the entries that refer to other sections, for findings.
struct located_deployment {
    deployment values;
    section_map sections;
    std::map<std::string, int> data_centres_line; ///< By service.
    std::map<std::string, int> depends_on_line;   ///< By service.
    std::map<std::string, int> adapter_line;      ///< By `service/adapter`.
};

} // namespace dragonflystair::config
