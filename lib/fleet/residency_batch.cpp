#include "dragonflystair/fleet/residency_batch.h"

namespace dragonflystair::fleet {

void residency_batch::add(std::span<const residency_change> changes) {
    for (const auto& change : changes) {
        changes_.insert_or_assign({change.endpoint, change.model}, change);
    }
}

std::vector<residency_change> residency_batch::take() {
    std::vector<residency_change> result;
    result.reserve(changes_.size());
    for (auto& [key, change] : changes_) {
        result.push_back(std::move(change));
    }
    changes_.clear();
    return result;
}

} // namespace dragonflystair::fleet
