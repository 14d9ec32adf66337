#include "peer_frame.h"

#include "dragonflystair/net/json_text.h"

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

/// Frames up to this size cannot nest deep enough to matter, which spares most frames the check.
constexpr std::size_t max_unchecked_bytes = 1024;

/// Stops the msgpack reader, which calls itself for each level, at the depth that texts may have.
class depth_check : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool key(string_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                     const nlohmann::detail::exception& /*fault*/) override {
        return false;
    }

private:
    bool enter() { return ++depth_ <= max_json_depth; }
    bool leave() {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

json decoded_frame(std::string_view content) {
    if (content.size() > max_unchecked_bytes) {
        depth_check check;
        if (!json::sax_parse(content.begin(), content.end(), &check, json::input_format_t::msgpack,
                             true)) {
            return json(json::value_t::discarded);
        }
    }
    return json::from_msgpack(content.begin(), content.end(), true, false);
}

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
    out = decoded_frame(content);
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
