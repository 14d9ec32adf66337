#include "dragonflystair/fleet/permit_divider.h"

#include "dragonflystair/fleet/send_permits.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Time over which unused permits accumulate, and the least number that may.
constexpr double accumulation_s = 0.25;
constexpr double min_accumulation = 1;

/// A node that has asked before keeps its turn for this long after its last request.
constexpr milliseconds turn_lifetime{5'000};

} // namespace

void permit_divider::set_limit(std::string_view endpoint, std::optional<double> per_s,
                               time_point now) {
    const auto found = buckets_.find(endpoint);
    if (!per_s) {
        if (found != buckets_.end()) {
            buckets_.erase(found);
        }
        return;
    }
    const double rate = std::max(*per_s, min_endpoint_rate);
    if (found != buckets_.end()) {
        fill(found->second, now);
        found->second.per_s = rate;
        return;
    }
    auto& added = buckets_[std::string(endpoint)];
    added.per_s = rate;
    added.filled_at = now;
}

void permit_divider::fill(bucket& target, time_point now) {
    const double elapsed_s = std::chrono::duration<double>(now - target.filled_at).count();
    const double most = min_accumulation + accumulation_s * target.per_s;
    target.permits = std::min(target.permits + elapsed_s * target.per_s, most);
    target.filled_at = now;
}

void permit_divider::request(std::string_view endpoint, std::string_view node, std::size_t wanted,
                             std::uint64_t request, time_point now) {
    const auto found = buckets_.find(endpoint);
    if (found == buckets_.end()) {
        return;
    }
    auto& nodes = found->second.nodes;
    auto entry = nodes.find(node);
    if (entry == nodes.end()) {
        entry = nodes.emplace(std::string(node), waiting_node{}).first;
    }
    entry->second.wanted = wanted;
    entry->second.request = request;
    entry->second.expires = now + request_lifetime;
    entry->second.answer_due = true;
}

void permit_divider::charge(std::string_view endpoint, time_point now) {
    if (const auto found = buckets_.find(endpoint); found != buckets_.end()) {
        fill(found->second, now);
        found->second.permits -= 1;
    }
}

/// Grants the available permits one at a time to the node that was granted one longest ago.
void permit_divider::grant(bucket& target, time_point now) {
    while (target.permits >= 1) {
        waiting_node* next = nullptr;
        for (auto& [name, node] : target.nodes) {
            if (node.wanted > 0 && node.expires > now &&
                (next == nullptr || node.last_granted < next->last_granted)) {
                next = &node;
            }
        }
        if (next == nullptr) {
            return;
        }
        target.permits -= 1;
        --next->wanted;
        ++next->granted;
        next->last_granted = now;
    }
}

std::vector<permit_grant> permit_divider::take_grants(time_point now) {
    std::vector<permit_grant> grants;
    for (auto& [endpoint, target] : buckets_) {
        fill(target, now);
        const auto waiting = std::ranges::count_if(target.nodes, [now](const auto& item) {
            return item.second.wanted > 0 && item.second.expires > now;
        });
        const std::chrono::duration<double> interval(
            static_cast<double>(std::max<std::ptrdiff_t>(waiting, 1)) / target.per_s);
        grant(target, now);
        for (auto& [name, node] : target.nodes) {
            if (!node.answer_due && node.granted == 0) {
                continue;
            }
            node.answer_due = false;
            grants.push_back({endpoint, name, std::exchange(node.granted, 0), node.request,
                              std::chrono::ceil<milliseconds>(interval)});
        }
        std::erase_if(target.nodes, [now](const auto& item) {
            return now - item.second.expires > turn_lifetime;
        });
    }
    return grants;
}

} // namespace dragonflystair::fleet
