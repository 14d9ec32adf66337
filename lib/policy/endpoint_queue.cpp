#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

lane_queue& endpoint_scheduler::impl::lane(work_class work) {
    return work == work_class::short_work ? short_lane : long_lane;
}

work_class endpoint_scheduler::impl::lane_of(const request& req) const {
    const double tokens =
        req.expected_tokens > 0 ? req.expected_tokens : service.learned_tokens(req.adapter);
    return tokens > limits.long_tokens ? work_class::long_work : req.work;
}

void endpoint_scheduler::impl::enqueue(request req, work_class work, support::time_point now) {
    const lane_key key{req.deadline, ++last_sequence};
    auto& count = queued_by_adapter[req.adapter];
    ++(work == work_class::short_work ? count.short_work : count.long_work);
    queued_by_id.emplace(req.id, std::pair(work, key));
    lane(work).emplace(key, queued_request{std::move(req), work, now});
}

queued_request endpoint_scheduler::impl::remove(lane_queue& from, lane_queue::iterator it) {
    auto removed = std::move(it->second);
    from.erase(it);
    queued_by_id.erase(removed.req.id);
    const auto count = queued_by_adapter.find(removed.req.adapter);
    --(removed.lane == work_class::short_work ? count->second.short_work : count->second.long_work);
    if (count->second.total() == 0) {
        queued_by_adapter.erase(count);
    }
    return removed;
}

void endpoint_scheduler::impl::refuse_where(
    const std::function<std::optional<refusal>(const queued_request&)>& refusal_of, actions& out) {
    for (auto* queue : {&short_lane, &long_lane}) {
        for (auto it = queue->begin(); it != queue->end();) {
            const auto current = it++;
            if (const auto refused = refusal_of(current->second)) {
                out.emplace_back(refuse_action{remove(*queue, current).req.id, *refused});
            }
        }
    }
}

} // namespace dragonflystair::policy
