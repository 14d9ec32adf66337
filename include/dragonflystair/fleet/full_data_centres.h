#pragma once

#include "dragonflystair/support/time.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::fleet {

/// Data centres that had no free slot for a plain service when their lead last answered a request.
/// Leads do not exchange loads, so these answers are all that a lead knows about the others.
///
/// Load pattern it is designed for: one endpoint of a service per data centre and a surge of calls
/// in one of them. Has no clock and does no I/O: the time is an argument.
class full_data_centres {
public:
    /// Records that the lead of a data centre queued or refused a call.
    void on_full(std::string_view service, std::string_view data_centre, support::time_point now);
    /// Records that the lead of a data centre placed a call at once.
    void on_placed(std::string_view service, std::string_view data_centre);

    /// Returns the data centres that are assumed to be still full.
    [[nodiscard]] std::set<std::string, std::less<>> of(std::string_view service,
                                                        support::time_point now) const;

private:
    using key = std::pair<std::string, std::string>;
    std::map<key, support::time_point> full_since_; ///< By service and data centre.
};

} // namespace dragonflystair::fleet
