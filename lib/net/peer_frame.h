#pragma once

#include "dragonflystair/support/json.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Bytes of a frame: its length in 4 bytes, big-endian, then the msgpack map.
std::string encode_frame(const support::json& frame);

/// Splits received bytes into frames.
class frame_reader {
public:
    enum class verdict { frame, incomplete, oversized, malformed };

    explicit frame_reader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }

    void feed(std::string_view bytes) { buffer_ += bytes; }

    /// Takes the next frame into `out`. A frame is `malformed` if it is no msgpack map with a text
    /// member `type`. The length is checked as soon as it has come, before any of the frame.
    verdict next(support::json& out);

private:
    void drop_taken();

    std::size_t max_bytes_;
    std::string buffer_;
    std::size_t start_ = 0; ///< Bytes of the buffer that were taken already.
};

} // namespace dragonflystair::net
