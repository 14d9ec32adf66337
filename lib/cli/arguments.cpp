#include "arguments.h"

namespace dragonflystair::cli {

bool arguments::has(const std::string& command) const {
    const auto found = values_.find(command);
    return found != values_.end() && found->second.isBool() && found->second.asBool();
}

std::string arguments::text(const std::string& name) const {
    const auto found = values_.find(name);
    return found != values_.end() && found->second.isString() ? found->second.asString() : "";
}

} // namespace dragonflystair::cli
