#pragma once

#include "scenarios/child_process.h"
#include "scenarios/tcp_relay.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::soak {

/// A gateway in a child process, connected to the store through a relay.
class soak_gateway {
public:
    struct location {
        std::string name;
        std::string data_centre;
        std::string region;
    };

    soak_gateway(std::string program, std::string folder, location where,
                 const std::string& store_address);

    [[nodiscard]] const std::string& name() const { return location_.name; }
    [[nodiscard]] const std::string& caller_address() const { return caller_address_; }
    [[nodiscard]] const std::string& resolve_address() const { return resolve_address_; }
    [[nodiscard]] const std::string& ready_address() const { return ready_address_; }
    [[nodiscard]] const std::string& peer_address() const { return peer_address_; }
    [[nodiscard]] scenarios::tcp_relay& store_link() { return store_link_; }

    /// Writes the settings file. A running process reloads some of the settings on SIGHUP.
    /// `more_limits` are further lines of the section `limits`.
    void write_settings(const std::vector<std::string>& peers, double retry_slack,
                        const std::string& more_limits);

    /// Starts the process; does nothing if it is already running.
    void start();
    void kill();
    void suspend();
    void resume();
    void hang_up();
    /// Sends SIGTERM, and SIGCONT first so that a suspended process receives it. `reap` kills a
    /// process that does not exit.
    void terminate();
    /// Kills the process if it is still running, as the platform does after the shutdown timeout.
    /// Returns the exit code, or 128 plus the number of the signal that ended the process.
    int reap();
    /// Returns the largest resident memory of the running process so far, in MB, or 0.
    [[nodiscard]] std::size_t peak_memory_mb() const;
    /// Returns whether the log of all starts contains a text.
    [[nodiscard]] bool has_logged(std::string_view text) const;
    /// Returns the last line of that log that contains a text; empty if none does.
    [[nodiscard]] std::string last_line_with(std::string_view text) const;
    [[nodiscard]] bool started() const { return process_ != nullptr; }
    /// Returns whether SIGTERM has been sent to the running process.
    [[nodiscard]] bool stopping() const { return stopping_; }
    /// Returns the number of starts so far.
    [[nodiscard]] int starts() const { return starts_; }

private:
    std::string program_;
    std::string folder_;
    location location_;
    scenarios::tcp_relay store_link_;
    std::string caller_address_;
    std::string ready_address_;
    std::string resolve_address_;
    std::string peer_address_;
    std::string metrics_address_;
    std::unique_ptr<scenarios::child_process> process_;
    bool stopping_ = false;
    std::atomic<int> starts_ = 0;
};

} // namespace dragonflystair::soak
