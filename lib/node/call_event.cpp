#include "call_event.h"

#include <string_view>

namespace dragonflystair::node {

std::string model_of(std::string_view data) {
    const auto parsed = support::json::parse(data, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("model") || !parsed["model"].is_string()) {
        return {};
    }
    return parsed["model"].get<std::string>();
}

} // namespace dragonflystair::node
