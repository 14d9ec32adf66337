#include "peer_frame.h"

#include <boost/endian/conversion.hpp>

#include <cassert>
#include <cstdint>
#include <limits>
#include <utility>

namespace dragonflystair::net {

using support::json;

namespace {

constexpr std::size_t prefix_bytes = 4;

/// A link that has carried a large frame gives its memory back.
constexpr std::size_t max_kept_bytes = std::size_t{64} * 1024;

} // namespace

std::string encode_frame(const json& frame) {
    std::string out(prefix_bytes, '\0');
    json::to_msgpack(frame, out);
    const auto size = out.size() - prefix_bytes;
    assert(size <= std::numeric_limits<std::uint32_t>::max() && "a frame's length has 32 bits");
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(out.data()),
                                 static_cast<std::uint32_t>(size));
    return out;
}

frame_reader::verdict frame_reader::next(json& out) {
    const std::string_view rest = std::string_view(buffer_).substr(start_);
    if (rest.size() < prefix_bytes) {
        drop_taken();
        return verdict::incomplete;
    }
    const std::size_t size =
        boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(rest.data()));
    if (size > max_bytes_) {
        return verdict::oversized;
    }
    if (rest.size() - prefix_bytes < size) {
        drop_taken();
        return verdict::incomplete;
    }
    const auto content = rest.substr(prefix_bytes, size);
    out = json::from_msgpack(content.begin(), content.end(), true, false);
    start_ += prefix_bytes + size;
    if (!out.is_object()) {
        return verdict::malformed;
    }
    const auto type = out.find("type");
    return type != out.end() && type->is_string() ? verdict::frame : verdict::malformed;
}

void frame_reader::drop_taken() {
    buffer_.erase(0, std::exchange(start_, 0));
    if (buffer_.capacity() > max_kept_bytes && buffer_.size() < prefix_bytes) {
        buffer_.shrink_to_fit();
    }
}

} // namespace dragonflystair::net
