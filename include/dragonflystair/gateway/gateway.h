#pragma once

#include "dragonflystair/config/gateway_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflystair::gateway {

/// A gateway node on the users' platform. Callers resolve node addresses through it and send it
/// their calls, which it dispatches directly to endpoints. Runs on one thread, since its VM has one
/// core.
class gateway {
public:
    /// Reloads the settings. Returns `std::nullopt` if they cannot be used, after reporting why.
    using settings_source = std::function<std::optional<config::gateway_settings>()>;

    /// Binds all addresses. Throws `boost::system::system_error` if one is in use. `reload` is
    /// called on SIGHUP and every few seconds, since the file may change without a signal.
    gateway(const config::gateway_settings& settings, settings_source reload);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Returns the address to which callers send their calls, with the actual port.
    [[nodiscard]] std::string caller_address() const;
    /// Returns the address to which other nodes connect, with the actual port.
    [[nodiscard]] std::string peer_address() const;

    /// Runs until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit code.
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::gateway
