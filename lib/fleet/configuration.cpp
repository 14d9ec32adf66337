#include "dragonflystair/fleet/configuration.h"

#include <algorithm>

namespace dragonflystair::fleet {

const base_model* engine_class::find(std::string_view name) const {
    const auto found = std::ranges::find(models, name, &base_model::name);
    return found == models.end() ? nullptr : &*found;
}

const route* configuration::match(std::string_view host, std::string_view path) const {
    const route* best = nullptr;
    for (const auto& candidate : routes) {
        if (candidate.host != host || !path.starts_with(candidate.path_prefix)) {
            continue;
        }
        if (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size()) {
            best = &candidate;
        }
    }
    return best;
}

const service* configuration::find_service(std::string_view name) const {
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

const tenant* configuration::find_tenant(std::string_view name) const {
    const auto found = std::ranges::find(tenants, name, &tenant::name);
    return found == tenants.end() ? nullptr : &*found;
}

} // namespace dragonflystair::fleet
