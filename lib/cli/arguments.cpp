#include "arguments.h"

namespace dragonflystair::cli {

bool arguments::has(const std::string& command) const {
    const auto place = values_.find(command);
    return place != values_.end() && place->second.isBool() && place->second.asBool();
}

std::string arguments::text(const std::string& name) const {
    const auto place = values_.find(name);
    return place != values_.end() && place->second.isString() ? place->second.asString() : "";
}

} // namespace dragonflystair::cli
