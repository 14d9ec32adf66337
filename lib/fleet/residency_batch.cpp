#include "dragonflystair/fleet/residency_batch.h"

namespace dragonflystair::fleet {

void residency_batch::add(std::span<const residency_change> changes) {
    for (const auto& item : changes) {
        changes_.insert_or_assign({item.endpoint, item.model}, item);
    }
}

std::vector<residency_change> residency_batch::take() {
    std::vector<residency_change> out;
    out.reserve(changes_.size());
    for (auto& [key, item] : changes_) {
        out.push_back(std::move(item));
    }
    changes_.clear();
    return out;
}

} // namespace dragonflystair::fleet
