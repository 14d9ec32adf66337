#include "dragonflystair/config/deployment.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>

namespace dragonflystair::config {
namespace {

std::string percent_decoded(std::string_view text) {
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned char code = 0;
        const auto digits = text.substr(at + 1, 2);
        if (text[at] == '%' && digits.size() == 2 &&
            std::from_chars(digits.begin(), digits.end(), code, 16).ptr == digits.end()) {
            decoded += static_cast<char>(code);
            at += 2;
            continue;
        }
        decoded += text[at];
    }
    return decoded;
}

/// Path without query, escapes, empty and dot segments. A plain service may take such spellings of
/// a path for the same one, and a stamp must not be repeated because its path was spelled
/// differently.
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
    return std::ranges::any_of(non_idempotent, [&](const operation& item) {
        return boost::algorithm::iequals(item.method, method) &&
               is_within(requested, normalised(item.path));
    });
}

} // namespace dragonflystair::config
