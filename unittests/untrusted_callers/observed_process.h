#pragma once

#include "scenarios/child_process.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace dragonflystair::untrusted {

/// Bounds of the process, in its settings and in the checks of the tests.
inline constexpr std::size_t memory_mb = 64;
inline constexpr std::size_t descriptors = 240;

/// Returns distinct unused addresses. The loopback host is derived from the process id, so that no
/// other process takes the ports before they are bound.
std::vector<std::string> unused_addresses(std::size_t count);

/// A program in a child process whose memory and descriptors are observed. Its settings and its log
/// are in a temporary folder.
class observed_process {
public:
    /// Starts `command` with the option `--settings` and a file that contains `settings`.
    observed_process(std::vector<std::string> command, const std::string& settings);
    ~observed_process();
    observed_process(const observed_process&) = delete;
    observed_process& operator=(const observed_process&) = delete;

    [[nodiscard]] bool alive() const;
    /// Returns the largest resident memory so far, in MB.
    [[nodiscard]] std::size_t peak_memory_mb() const;
    [[nodiscard]] std::size_t open_descriptors() const;
    /// Returns what the process has logged.
    [[nodiscard]] std::string log() const;

private:
    std::string folder_;
    std::unique_ptr<scenarios::child_process> process_;
};

} // namespace dragonflystair::untrusted
