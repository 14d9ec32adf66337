#pragma once

#include "dragonflystair/config/gateway_settings.h"

#include <memory>

namespace dragonflystair::gateway {

/// A node on the users' platform. Callers ask it which addresses to use and send it their calls; it
/// dispatches them straight to endpoints. Runs on one thread, since its VM has one core.
class gateway {
public:
    /// Binds all addresses. Throws boost::system::system_error if one is taken.
    explicit gateway(config::gateway_settings settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Runs until SIGTERM or SIGINT and a graceful shutdown; returns the exit code.
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::gateway
