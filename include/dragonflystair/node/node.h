#pragma once

#include "dragonflystair/config/settings.h"

#include <memory>
#include <string>

namespace dragonflystair::node {

/// One node of the system: serves callers and operators until it is told to stop.
class node {
public:
    /// Binds its addresses; throws boost::system::system_error if one is in use.
    explicit node(config::settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Runs until a graceful shutdown has ended. SIGTERM and SIGINT begin it; a second signal ends
    /// it at once. Returns 0, or 1 if streams were cut off by the drain timeout.
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::node
