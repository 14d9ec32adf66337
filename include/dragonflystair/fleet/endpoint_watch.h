#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Decides when an endpoint whose entry is missing from the VM list counts as gone. Entries lapse
/// while the store is away although their endpoints live, and are back within two seconds of its
/// return. Pure.
class endpoint_watch {
public:
    /// Time after the store's return by which an entry is back; stated by the platform.
    static constexpr std::chrono::milliseconds return_time{2'000};

    void on_listed(std::string_view endpoint);
    void on_missing(std::string_view endpoint, support::time_point now);
    /// The store did not answer, or answers again.
    void on_store(bool reachable, support::time_point now);

    /// Endpoints that are gone now; each is returned once.
    std::vector<std::string> take_gone(support::time_point now);
    [[nodiscard]] std::optional<support::time_point> next_due() const;

private:
    [[nodiscard]] support::time_point gone_at(support::time_point missing_since) const;

    std::map<std::string, support::time_point, std::less<>> missing_;
    bool reachable_ = true;
    std::optional<support::time_point> returned_at_;
};

} // namespace dragonflystair::fleet
