#pragma once

#include "dragonflystair/fleet/endpoint_record.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Decides which entries of the VM list hold. Entries lapse while the store is away although their
/// endpoints live, and are back within two seconds of its return. Heartbeats may be written late,
/// so an entry may say less than an earlier one: an endpoint that leaves does not come back in the
/// same run, and one that is gone is believed again only at its second heartbeat. Pure.
class endpoint_watch {
public:
    /// Time after the store's return by which an entry is back; stated by the platform.
    static constexpr std::chrono::milliseconds return_time{2'000};

    /// The record as it is to be believed; nothing if it is not.
    std::optional<endpoint_record> on_listed(endpoint_record record);
    /// The run of the endpoint that began then said in an answer that it leaves. Returns whether
    /// that is news; the word of a former run is none.
    bool on_draining_reported(std::string_view endpoint, std::uint64_t started_ms);
    void on_missing(std::string_view endpoint, support::time_point now);
    /// The store did not answer, or answers again.
    void set_store_reachable(bool reachable, support::time_point now);

    /// Endpoints that are gone now; each is returned once.
    std::vector<std::string> take_gone(support::time_point now);
    [[nodiscard]] std::optional<support::time_point> next_due() const;

private:
    [[nodiscard]] support::time_point gone_at(support::time_point missing_since) const;

    std::map<std::string, support::time_point, std::less<>> missing_;
    /// Start times of endpoints that leave.
    std::map<std::string, std::uint64_t, std::less<>> leaving_;
    std::map<std::string, std::uint64_t> gone_; ///< The same of those that are gone.
    std::map<std::string, std::uint64_t, std::less<>> started_; ///< Of all that were listed.
    bool reachable_ = true;
    std::optional<support::time_point> returned_at_;
};

} // namespace dragonflystair::fleet
