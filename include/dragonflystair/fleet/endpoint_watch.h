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

/// An endpoint whose entry was removed.
struct removed_endpoint {
    std::string id;
    std::uint64_t started_ms = 0; ///< Of its last run.
};

/// Decides which entries of the VM list are valid, and which run of an endpoint is in force. While
/// the store is unavailable, entries expire although their endpoints are running; they are listed
/// again within two seconds of its recovery. A store that was restored from a copy may list removed
/// endpoints again and lacks recent ones; both are corrected within the same two seconds.
///
/// Heartbeats may be written late, so an entry may be older than the previous one, and of a former
/// run of its endpoint. A removed endpoint is accepted again only at its second heartbeat. A run
/// that did not start later than all others is accepted at its second heartbeat in a row, once
/// nothing that was written before the run in force began can still arrive: its clock may have been
/// set back.
///
/// A draining endpoint stays draining for the rest of its run. An answer does not tell which run
/// gave it, so what it told just before another run is listed holds for that run too. Two entries
/// in a row that were written after the endpoint was last said to be draining show that it is not.
/// Has no clock and does no I/O.
class endpoint_watch {
public:
    /// Time after the store's recovery by which entries are listed again; specified by the
    /// platform.
    static constexpr std::chrono::milliseconds relist_time{2'000};
    /// Time within which a write that got no response is executed, 6 s by the platform, and read.
    static constexpr std::chrono::milliseconds late_write_time{8'000};

    /// Returns the record with its draining flag corrected; empty if the record is stale.
    std::optional<endpoint_record> on_listed(endpoint_record record, support::time_point now);
    /// Records that the run of the endpoint that started at `started_ms` reported in an answer that
    /// it is draining. Returns whether that is new; reports of previous runs are ignored.
    bool on_draining_reported(std::string_view endpoint, std::uint64_t started_ms,
                              support::time_point now);
    /// Returns whether the run in force is draining, as far as is known.
    [[nodiscard]] bool is_draining(std::string_view endpoint) const;
    /// Returns whether a run of the endpoint is known to be none that is or will be in force.
    [[nodiscard]] bool is_former_run(std::string_view endpoint, std::uint64_t started_ms) const;
    void on_missing(std::string_view endpoint, support::time_point now);
    void set_store_reachable(bool reachable, support::time_point now);
    /// Records that the store was restored from a copy.
    void on_store_restored(support::time_point now);

    /// Returns the endpoints that count as gone now, each once.
    std::vector<std::string> take_gone(support::time_point now);
    /// Returns the endpoints that went so recently that an entry may still be written late, for a
    /// node that has started since.
    [[nodiscard]] std::vector<removed_endpoint> recently_gone(support::time_point now) const;
    /// Records what a peer tells of a removal. Changes nothing if the endpoint is known.
    void on_removal_told(const removed_endpoint& removed, support::time_point now);
    [[nodiscard]] std::optional<support::time_point> next_due() const;

private:
    struct draining_notice {
        support::time_point last_told;
        bool listed = false;       ///< By a record of the run itself, not only told in an answer.
        bool ready_listed = false; ///< The last record was written since then and says otherwise.
    };

    /// What is known of one endpoint. A run is identified by its start time.
    struct known_endpoint {
        std::optional<std::uint64_t> run; ///< In force, or the last one if gone; empty if unlisted.
        std::uint64_t latest_run = 0;     ///< Of all that were in force.
        support::time_point run_listed;   ///< When the run in force was first listed.
        bool gone = false;
        support::time_point gone_since;
        std::optional<std::uint64_t> doubted_run; ///< Of the last record, if that was not accepted.
        std::optional<draining_notice> draining;  ///< Of the run in force.
        std::optional<std::uint64_t> draining_unlisted_run; ///< A later one, by a peer's answer.

        [[nodiscard]] bool is_former(std::uint64_t started_ms) const {
            return run && started_ms != *run && started_ms <= latest_run;
        }
    };

    [[nodiscard]] bool accepts(known_endpoint& known, std::uint64_t run,
                               support::time_point now) const;
    static void begin_run(known_endpoint& known, std::uint64_t run, support::time_point now);
    static void update_draining(known_endpoint& known, bool listed_draining,
                                support::time_point now);
    [[nodiscard]] support::time_point gone_at(support::time_point missing_since) const;

    std::map<std::string, known_endpoint, std::less<>> endpoints_;
    std::map<std::string, support::time_point, std::less<>> missing_;
    bool reachable_ = true;
    bool restoring_ = false; ///< The store may list entries that were removed before.
    std::optional<support::time_point> recovered_at_;
};

} // namespace dragonflystair::fleet
