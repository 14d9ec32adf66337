#include "caller_limits_section.h"

#include <cstddef>

namespace dragonflystair::config {

void read_caller_limits(section_reader& reader, caller_limits& values) {
    constexpr std::size_t max_mb = std::size_t{1024} * 1024;
    constexpr std::size_t max_count = 10'000'000;
    reader.number("memory_mb", values.memory_mb);
    reader.number("descriptors", values.descriptors);
    reader.count("held_mb", max_mb, values.held_mb);
    reader.count("connections", max_count, values.connections);
    reader.count("connections_per_address", max_count, values.connections_per_address);
    reader.count("header_fields", max_count, values.header_fields);
    reader.count("min_body_rate_kb", max_mb, values.min_body_rate_kb);
}

} // namespace dragonflystair::config
