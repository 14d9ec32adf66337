#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bench {

/// Path to the engine: the address to call and the processes whose processor time and memory count.
struct path {
    std::string name;
    std::string address;
    std::vector<std::string> pids;
};

/// Counts and resource usage of one run.
struct load_result {
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t tokens = 0;
    std::chrono::duration<double> elapsed{0};
    double processor_ns = 0;          ///< Used by the path's processes during the run.
    double resident_before_bytes = 0; ///< Of the path's processes, before the first stream.
    double resident_open_bytes = 0;   ///< Of the path's processes, while all streams are open.
    std::vector<double> first_token_ms;
};

/// Opens `streams` concurrent streams within a second and reads each to its end.
load_result run_load(const path& target, const std::string& model, std::size_t streams,
                     std::size_t tokens_each);

/// Makes `calls` sequential calls of one token each.
load_result run_sequence(const path& target, const std::string& model, std::size_t calls);

} // namespace bench
