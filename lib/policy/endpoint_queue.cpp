#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

lane_queue& endpoint_scheduler::impl::lane(work_class which) {
    return which == work_class::short_work ? short_lane : long_lane;
}

work_class endpoint_scheduler::impl::lane_of(const request& item) const {
    const double tokens =
        item.expected_tokens > 0 ? item.expected_tokens : service.learned_tokens(item.adapter);
    return tokens > limits.long_tokens ? work_class::long_work : item.work;
}

void endpoint_scheduler::impl::enqueue(request item, work_class which, support::time_point now) {
    const lane_key key{item.deadline, ++last_sequence};
    auto& count = waiting[item.adapter];
    ++(which == work_class::short_work ? count.short_work : count.long_work);
    queued_by_id.emplace(item.id, std::pair(which, key));
    lane(which).emplace(key, queued_request{std::move(item), which, now});
}

queued_request endpoint_scheduler::impl::remove(lane_queue& from, lane_queue::iterator place) {
    auto item = std::move(place->second);
    from.erase(place);
    queued_by_id.erase(item.item.id);
    const auto count = waiting.find(item.item.adapter);
    --(item.lane == work_class::short_work ? count->second.short_work : count->second.long_work);
    if (count->second.total() == 0) {
        waiting.erase(count);
    }
    return item;
}

void endpoint_scheduler::impl::refuse_where(
    const std::function<std::optional<refusal>(const queued_request&)>& judge, actions& out) {
    for (auto* queue : {&short_lane, &long_lane}) {
        for (auto place = queue->begin(); place != queue->end();) {
            const auto current = place++;
            if (const auto why = judge(current->second)) {
                out.emplace_back(refuse_action{remove(*queue, current).item.id, *why});
            }
        }
    }
}

} // namespace dragonflystair::policy
