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

/// Decides which entries of the VM list are valid. While the store is unavailable, entries expire
/// although their endpoints are running; they are listed again within two seconds of its recovery.
/// Heartbeats may be written late, so an entry may be older than the previous one: a draining
/// endpoint stays draining for the rest of its run, and a removed endpoint is accepted again only
/// at its second heartbeat. A store that was restored from a copy may list removed endpoints again
/// and lacks recent ones; both are corrected within the same two seconds. Has no clock and does no
/// I/O.
class endpoint_watch {
public:
    /// Time after the store's recovery by which entries are listed again; specified by the
    /// platform.
    static constexpr std::chrono::milliseconds relist_time{2'000};

    /// Returns the record with its draining flag corrected; empty if the record is stale.
    std::optional<endpoint_record> on_listed(endpoint_record record);
    /// Records that the run of the endpoint that started at `started_ms` reported in an answer that
    /// it is draining. Returns whether that is new; reports of previous runs are ignored.
    bool on_draining_reported(std::string_view endpoint, std::uint64_t started_ms);
    void on_missing(std::string_view endpoint, support::time_point now);
    void set_store_reachable(bool reachable, support::time_point now);
    /// Records that the store was restored from a copy.
    void on_store_restored(support::time_point now);

    /// Returns the endpoints that count as gone now, each once.
    std::vector<std::string> take_gone(support::time_point now);
    [[nodiscard]] std::optional<support::time_point> next_due() const;

private:
    [[nodiscard]] support::time_point gone_at(support::time_point missing_since) const;

    std::map<std::string, support::time_point, std::less<>> missing_;
    /// Start times of draining endpoints.
    std::map<std::string, std::uint64_t, std::less<>> draining_;
    std::map<std::string, std::uint64_t> gone_; ///< Start times of endpoints that are gone.
    /// Start times of all listed endpoints.
    std::map<std::string, std::uint64_t, std::less<>> started_;
    bool reachable_ = true;
    bool restoring_ = false; ///< The store may list entries that were removed before.
    std::optional<support::time_point> recovered_at_;
};

} // namespace dragonflystair::fleet
