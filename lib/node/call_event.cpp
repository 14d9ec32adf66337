#include "call_event.h"

#include <string_view>
#include <utility>

namespace dragonflystair::node {

attempt_end ended(attempt_end_kind kind, std::string reason,
                  std::chrono::milliseconds retry_after) {
    return {kind, std::move(reason), retry_after};
}

std::string model_of(std::string_view data) {
    const auto parsed = support::json::parse(data, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("model") || !parsed["model"].is_string()) {
        return {};
    }
    return parsed["model"].get<std::string>();
}

} // namespace dragonflystair::node
