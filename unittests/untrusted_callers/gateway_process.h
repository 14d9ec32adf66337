#pragma once

#include "scenarios/child_process.h"

#include <cstddef>
#include <memory>
#include <string>

namespace dragonflystair::untrusted {

/// Bounds of the process, in its settings and in the checks of the tests.
inline constexpr std::size_t memory_mb = 64;
inline constexpr std::size_t descriptors = 240;

/// Addresses on which the gateway listens.
struct gateway_addresses {
    std::string callers;
    std::string ready;
    std::string resolve;
    std::string peers;
    std::string metrics;
};

/// A gateway in a child process whose files are in a temporary folder.
class gateway_process {
public:
    explicit gateway_process(const std::string& store_address);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    [[nodiscard]] const gateway_addresses& addresses() const { return addresses_; }
    [[nodiscard]] bool alive() const;
    /// Returns the largest resident memory so far, in MB.
    [[nodiscard]] std::size_t peak_memory_mb() const;
    [[nodiscard]] std::size_t open_descriptors() const;
    /// Returns what the process has logged.
    [[nodiscard]] std::string log() const;

private:
    void write_settings(const std::string& store_address) const;

    std::string folder_;
    gateway_addresses addresses_;
    std::unique_ptr<scenarios::child_process> process_;
};

} // namespace dragonflystair::untrusted
