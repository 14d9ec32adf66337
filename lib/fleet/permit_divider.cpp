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

/// A node whose calls could not wait keeps its place in the line for this long after its last
/// request. Otherwise a node that always has calls waiting would be served alone.
constexpr milliseconds place_lifetime{5'000};

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
        entry->second.waiting_since = now;
    }
    entry->second.wanted = wanted;
    entry->second.request = request;
    entry->second.expires = now + request_lifetime;
    entry->second.answer_due = wanted > 0;
}

void permit_divider::charge(std::string_view endpoint, time_point now) {
    if (const auto found = buckets_.find(endpoint); found != buckets_.end()) {
        fill(found->second, now);
        found->second.permits -= 1;
    }
}

/// Grants the available permits one at a time to the node that has waited longest. A node that
/// wants more queues again.
void permit_divider::grant(bucket& target, time_point now) {
    while (target.permits >= 1) {
        waiting_node* next = nullptr;
        for (auto& [name, node] : target.nodes) {
            if (node.wanted > 0 && node.expires > now &&
                (next == nullptr || node.waiting_since < next->waiting_since)) {
                next = &node;
            }
        }
        if (next == nullptr) {
            return;
        }
        target.permits -= 1;
        --next->wanted;
        ++next->granted;
        next->waiting_since = now;
    }
}

/// Estimates the times of a node's next permits from the nodes that wait now.
void permit_divider::estimate(const bucket& target, const waiting_node& node, permit_grant& answer,
                              time_point now) {
    double before = 0;
    double waiting = 1; // Including the node itself.
    for (const auto& [name, other] : target.nodes) {
        if (&other != &node && other.wanted > 0 && other.expires > now) {
            waiting += 1;
            before += other.waiting_since < node.waiting_since ? 1 : 0;
        }
    }
    const auto after = [&](double permits) {
        return std::chrono::ceil<milliseconds>(
            std::chrono::duration<double>(std::max(permits, 0.0) / target.per_s));
    };
    answer.next_in = after(before + 1 - target.permits);
    answer.interval = after(waiting);
}

std::vector<permit_grant> permit_divider::take_grants(time_point now) {
    std::vector<permit_grant> grants;
    for (auto& [endpoint, target] : buckets_) {
        fill(target, now);
        grant(target, now);
        for (auto& [name, node] : target.nodes) {
            if (!node.answer_due && node.granted == 0) {
                continue;
            }
            node.answer_due = false;
            permit_grant answer{endpoint,     name, std::exchange(node.granted, 0),
                                node.request, {},   {}};
            estimate(target, node, answer, now);
            grants.push_back(std::move(answer));
        }
        std::erase_if(target.nodes, [now](const auto& item) {
            return now - item.second.expires >= place_lifetime;
        });
    }
    return grants;
}

std::optional<time_point> permit_divider::next_due(time_point now) const {
    std::optional<time_point> earliest;
    for (const auto& [endpoint, target] : buckets_) {
        const bool waited_for = std::ranges::any_of(target.nodes, [now](const auto& item) {
            return item.second.wanted > 0 && item.second.expires > now;
        });
        if (waited_for) {
            const std::chrono::duration<double> missing((1 - target.permits) / target.per_s);
            const auto due = target.filled_at + std::chrono::ceil<support::duration>(missing);
            earliest = earliest ? std::min(*earliest, due) : due;
        }
    }
    return earliest;
}

} // namespace dragonflystair::fleet
