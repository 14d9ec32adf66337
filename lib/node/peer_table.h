#pragma once

#include "dragonflystair/ledger/position.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::node {

/// What a peer said of itself in its last heartbeat.
struct peer_status {
    std::string node;
    std::string incarnation;
    std::string data_centre;
    ledger::position revision = 0;
    bool accepts_callers = false;
    std::int64_t stamp_ms = 0; ///< The peer's own clock, to be echoed to it.
    support::time_point heard_at;
};

/// Shared table of the peers' last heartbeats.
class peer_table {
public:
    void on_heartbeat(peer_status status);
    void on_down(std::string_view incarnation);
    [[nodiscard]] std::optional<peer_status> find(std::string_view incarnation) const;
    [[nodiscard]] std::vector<peer_status> all() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, peer_status, std::less<>> peers_;
};

} // namespace dragonflystair::node
