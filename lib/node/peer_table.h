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

/// State that a peer reported in its last heartbeat.
struct peer_status {
    std::string node;
    std::string incarnation;
    std::string data_centre;
    ledger::position revision = 0;
    bool accepts_callers = false;
    std::int64_t stamp_ms = 0; ///< Time on the peer's clock, echoed in the next heartbeat to it.
    support::time_point received_at;
};

/// Thread-safe table of the last heartbeat of each connected peer.
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
