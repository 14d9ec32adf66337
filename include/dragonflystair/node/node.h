#pragma once

#include "dragonflystair/config/settings.h"

#include <memory>
#include <string>

namespace dragonflystair::node {

/// A node of the serving layer: serves callers and operators until it receives a stop signal.
class node {
public:
    /// Binds the addresses of its servers; throws boost::system::system_error if one is in use.
    explicit node(config::settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Runs until a graceful shutdown is complete. SIGTERM or SIGINT starts the shutdown, and a
    /// second signal terminates it immediately. Returns 0, or 1 if requests were cut off by the
    /// drain timeout or by the second signal.
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::node
