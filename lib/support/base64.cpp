#include "dragonflystair/support/base64.h"

#include <openssl/evp.h>

namespace dragonflystair::support {

namespace {

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* bytes_of(std::string& text) {
    return reinterpret_cast<unsigned char*>(text.data());
}

} // namespace

std::string to_base64(std::string_view bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(bytes_of(text), bytes_of(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> from_base64(std::string_view text) {
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    if (EVP_DecodeBlock(bytes_of(bytes), bytes_of(text), static_cast<int>(text.size())) < 0) {
        return std::nullopt;
    }
    const auto last = text.find_last_not_of('=');
    const auto padding = last == std::string_view::npos ? text.size() : text.size() - last - 1;
    if (padding > 2) {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace dragonflystair::support
