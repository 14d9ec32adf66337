#pragma once

#include "scenarios/child_process.h"
#include "scenarios/tcp_relay.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::soak {

/// One gateway as a process of its own, which reaches the store through a relay.
class soak_gateway {
public:
    struct place {
        std::string name;
        std::string data_centre;
        std::string region;
    };

    soak_gateway(std::string program, std::string folder, place where,
                 const std::string& store_address);

    [[nodiscard]] const std::string& name() const { return where_.name; }
    [[nodiscard]] const std::string& caller_address() const { return caller_address_; }
    [[nodiscard]] const std::string& resolve_address() const { return resolve_address_; }
    [[nodiscard]] const std::string& ready_address() const { return ready_address_; }
    [[nodiscard]] const std::string& peer_address() const { return peer_address_; }
    [[nodiscard]] scenarios::tcp_relay& store_link() { return store_link_; }

    /// Writes the settings file. A running process takes over part of it on SIGHUP.
    void write_settings(const std::vector<std::string>& peers, double retry_slack);

    /// Nothing happens if it runs.
    void start();
    void kill();
    void suspend();
    void resume();
    void hang_up();
    /// Sends SIGTERM; `reap` ends what is left.
    void terminate();
    /// Kills the process if it still runs, as the platform does after the time for a shutdown.
    /// Exit code, or 128 plus the signal that ended it.
    int reap();
    [[nodiscard]] bool started() const { return process_ != nullptr; }
    /// Whether SIGTERM was sent to the running process.
    [[nodiscard]] bool stopping() const { return stopping_; }
    /// Number of the running process, from 1.
    [[nodiscard]] int starts() const { return starts_; }

private:
    std::string program_;
    std::string folder_;
    place where_;
    scenarios::tcp_relay store_link_;
    std::string caller_address_;
    std::string ready_address_;
    std::string resolve_address_;
    std::string peer_address_;
    std::string metrics_address_;
    std::unique_ptr<scenarios::child_process> process_;
    bool stopping_ = false;
    int starts_ = 0;
};

} // namespace dragonflystair::soak
