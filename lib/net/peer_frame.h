#pragma once

#include "dragonflystair/support/json.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Encodes a frame: its length in 4 bytes, big-endian, then the msgpack map.
std::string encode_frame(const support::json& frame);

/// Splits received bytes into frames.
class frame_reader {
public:
    enum class read_status { frame, incomplete, oversized, malformed };

    explicit frame_reader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }

    void feed(std::string_view bytes) { buffer_ += bytes; }

    /// Extracts the next frame into `out`. A frame is `malformed` unless it is a msgpack map with a
    /// string member `type`. The length is checked as soon as it has arrived, before the content.
    read_status next(support::json& out);

private:
    void discard_consumed();

    std::size_t max_bytes_;
    std::string buffer_;
    std::size_t consumed_bytes_ = 0; ///< Bytes that belong to extracted frames.
};

} // namespace dragonflystair::net
