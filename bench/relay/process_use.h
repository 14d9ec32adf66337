#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace bench {

/// Returns the processor time of a process in nanoseconds, summed over its live threads. Reads
/// `schedstat`, because the values in `stat` have a resolution of 10 ms.
inline double processor_ns(const std::string& pid) {
    double sum = 0;
    for (const auto& thread : std::filesystem::directory_iterator("/proc/" + pid + "/task")) {
        std::ifstream file(thread.path() / "schedstat");
        double spent = 0;
        file >> spent;
        sum += spent;
    }
    return sum;
}

/// Returns the resident memory of a process in bytes.
inline double resident_bytes(const std::string& pid) {
    std::ifstream file("/proc/" + pid + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    constexpr double page_bytes = 4096;
    return resident * page_bytes;
}

} // namespace bench
