#pragma once

#include "dragonflystair/config/gateway_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflystair::gateway {

/// A node on the users' platform. Callers ask it which addresses to use and send it their calls; it
/// dispatches them straight to endpoints. Runs on one thread, since its VM has one core.
class gateway {
public:
    /// Reads the settings again; nothing if they cannot be used, which is reported by then.
    using settings_source = std::function<std::optional<config::gateway_settings>()>;

    /// Binds all addresses. Throws boost::system::system_error if one is taken. `reload` is called
    /// on SIGHUP and every few seconds, since the file may change without a signal.
    gateway(const config::gateway_settings& settings, settings_source reload);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Where callers send their calls, with the port in use.
    [[nodiscard]] std::string caller_address() const;
    /// Where other nodes connect, with the port in use.
    [[nodiscard]] std::string peer_address() const;

    /// Runs until SIGTERM or SIGINT and a graceful shutdown; returns the exit code.
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::gateway
