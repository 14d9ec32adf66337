#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace dragonflystair::support {

/// Hash of strings for unordered containers that are searched by `std::string_view`.
struct string_hash {
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const noexcept {
        return std::hash<std::string_view>{}(text);
    }
};

} // namespace dragonflystair::support
