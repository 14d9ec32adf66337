#include "dragonflystair/fleet/configuration.h"

#include <algorithm>

namespace dragonflystair::fleet {

const base_model* engine_class::find(std::string_view name) const {
    const auto found = std::ranges::find(models, name, &base_model::name);
    return found == models.end() ? nullptr : &*found;
}

const route* configuration::match(std::string_view host, std::string_view path) const {
    const route* best = nullptr;
    for (const auto& item : routes) {
        if (item.host != host || !path.starts_with(item.path_prefix)) {
            continue;
        }
        if (best == nullptr || item.path_prefix.size() > best->path_prefix.size()) {
            best = &item;
        }
    }
    return best;
}

const service* configuration::find_service(std::string_view name) const {
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace dragonflystair::fleet
