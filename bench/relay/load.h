#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bench {

/// A way to the engine: where to send and whose processor time to count.
struct path {
    std::string name;
    std::string address;
    std::vector<std::string> pids;
};

struct load_result {
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t tokens = 0;
    std::chrono::duration<double> elapsed{0};
    double processor_ns = 0;          ///< Of the path's processes.
    double resident_before_bytes = 0; ///< Of the path's processes, before the first stream.
    double resident_open_bytes = 0;   ///< While all streams are open.
    std::vector<double> first_token_ms;
};

/// Opens `streams` at once (within a second), reads each to its end, and counts.
load_result run_load(const path& way, const std::string& model, std::size_t streams,
                     std::size_t tokens_each);

/// Makes `calls` one after the other, of one token each.
load_result run_sequence(const path& way, const std::string& model, std::size_t calls);

} // namespace bench
