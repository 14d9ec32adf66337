#include "dragonflystair/config/deployment.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>

namespace dragonflystair::config {
namespace {

std::string percent_decoded(std::string_view text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned char code = 0;
        const auto digits = text.substr(index + 1, 2);
        if (text[index] == '%' && digits.size() == 2 &&
            std::from_chars(digits.begin(), digits.end(), code, 16).ptr == digits.end()) {
            decoded += static_cast<char>(code);
            index += 2;
            continue;
        }
        decoded += text[index];
    }
    return decoded;
}

/// Returns the path without query, percent escapes, empty segments and dot segments. A plain
/// service may treat such spellings as the same path, so a call that is not idempotent must not be
/// retried because its path was spelled differently.
std::string normalised(std::string_view path) {
    const auto decoded = percent_decoded(path.substr(0, path.find_first_of("?#")));
    std::string result;
    for (std::size_t start = 0; start < decoded.size();) {
        const auto end = std::min(decoded.find('/', start), decoded.size());
        const auto segment = decoded.substr(start, end - start);
        if (segment == "..") {
            result.erase(std::min(result.rfind('/'), result.size()));
        }
        if (!segment.empty() && segment != "." && segment != "..") {
            result += '/' + segment;
        }
        start = end + 1;
    }
    return result;
}

bool is_within(std::string_view path, std::string_view prefix) {
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

bool service::is_non_idempotent(std::string_view method, std::string_view path) const {
    const auto requested = normalised(path);
    return std::ranges::any_of(non_idempotent, [&](const operation& listed) {
        return boost::algorithm::iequals(listed.method, method) &&
               is_within(requested, normalised(listed.path));
    });
}

} // namespace dragonflystair::config
