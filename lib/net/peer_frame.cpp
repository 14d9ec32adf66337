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

/// A larger buffer is released once it is empty, so that a link does not retain the memory of a
/// large frame.
constexpr std::size_t max_retained_bytes = std::size_t{64} * 1024;

/// Frames up to this size cannot nest deeply enough to overflow the stack. Most frames are smaller
/// and skip the depth check.
constexpr std::size_t max_unchecked_bytes = 1024;

/// Stops the msgpack parser, which recurses for each nesting level, at the nesting limit of JSON
/// texts.
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

json decode_frame(std::string_view content) {
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
    assert(size <= std::numeric_limits<std::uint32_t>::max() &&
           "the length of a frame has 32 bits");
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(out.data()),
                                 static_cast<std::uint32_t>(size));
    return out;
}

frame_reader::read_status frame_reader::next(json& out) {
    const std::string_view unread = std::string_view(buffer_).substr(consumed_bytes_);
    if (unread.size() < prefix_bytes) {
        discard_consumed();
        return read_status::incomplete;
    }
    const std::size_t size =
        boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(unread.data()));
    if (size > max_bytes_) {
        return read_status::oversized;
    }
    if (unread.size() - prefix_bytes < size) {
        discard_consumed();
        return read_status::incomplete;
    }
    const auto content = unread.substr(prefix_bytes, size);
    out = decode_frame(content);
    consumed_bytes_ += prefix_bytes + size;
    if (!out.is_object()) {
        return read_status::malformed;
    }
    const auto type = out.find("type");
    return type != out.end() && type->is_string() ? read_status::frame : read_status::malformed;
}

void frame_reader::discard_consumed() {
    buffer_.erase(0, std::exchange(consumed_bytes_, 0));
    if (buffer_.capacity() > max_retained_bytes && buffer_.size() < prefix_bytes) {
        buffer_.shrink_to_fit();
    }
}

} // namespace dragonflystair::net
