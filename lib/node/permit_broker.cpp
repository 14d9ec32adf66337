#include "permit_broker.h"

#include "dragonflystair/support/log.h"

#include <vector>

namespace dragonflystair::node {

namespace {

std::int64_t to_ms(support::time_point when) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(when.time_since_epoch()).count();
}

support::time_point from_ms(std::int64_t stamp) {
    return support::time_point{std::chrono::milliseconds{stamp}};
}

} // namespace

permit_broker::permit_broker(node_context& context, member_table& members, hooks callbacks)
    : context_(context), members_(members), hooks_(std::move(callbacks)) {}

std::string permit_broker::holder() const {
    const auto owner = members_.owner_of(store_resource);
    return owner ? owner->session.incarnation : std::string{};
}

void permit_broker::want(const std::string& endpoint, const std::string& adapter, double urgency) {
    const auto holder_peer = holder();
    {
        const std::lock_guard lock(mutex_);
        auto& item = waiting_[{endpoint, adapter}];
        item.urgency = urgency;
        ask({endpoint, adapter}, item, holder_peer);
    }
    tick();
}

void permit_broker::ask(const place& where, waiting_request& item, const std::string& holder_peer) {
    if (holder_peer.empty()) {
        return;
    }
    // The stamp comes back with the permit. The permit was issued after the stamp was made, so its
    // lifetime can be counted from the stamp on this node's own clock.
    item.asked_at = node_context::now();
    item.asked = true;
    const support::json frame{{"type", "permit_request"},
                              {"endpoint", where.first},
                              {"adapter", where.second},
                              {"urgency", item.urgency},
                              {"stamp_ms", to_ms(item.asked_at)}};
    if (holder_peer == context_.incarnation) {
        requesters_[where] = {holder_peer, to_ms(item.asked_at)};
        return;
    }
    hooks_.send(holder_peer, frame);
}

void permit_broker::withdraw(const std::string& endpoint, const std::string& adapter) {
    const auto holder_peer = holder();
    {
        const std::lock_guard lock(mutex_);
        waiting_.erase({endpoint, adapter});
        if (holder_peer == context_.incarnation) {
            forget_request({endpoint, adapter});
            return;
        }
    }
    if (!holder_peer.empty()) {
        hooks_.send(holder_peer,
                    {{"type", "permit_withdraw"}, {"endpoint", endpoint}, {"adapter", adapter}});
    }
}

void permit_broker::forget_request(const place& where) {
    requesters_.erase(where);
    if (permits_) {
        permits_->withdraw(where.first, where.second);
    }
}

void permit_broker::return_permit(const held_permit& permit, bool failed) {
    if (permit.issuer != context_.incarnation) {
        hooks_.send(permit.issuer,
                    {{"type", "permit_return"}, {"number", permit.number}, {"failed", failed}});
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (permits_) {
            permits_->return_permit(permit.number, failed, node_context::now());
        }
    }
    tick();
}

void permit_broker::on_frame(std::string_view peer, const support::json& frame) {
    const auto type = frame.value("type", "");
    if (type == "permit_request") {
        on_request(peer, frame);
        tick();
        return;
    }
    if (type == "permit") {
        on_granted(peer, frame);
        return;
    }
    if (type == "permit_withdraw") {
        const std::lock_guard lock(mutex_);
        forget_request({frame.value("endpoint", ""), frame.value("adapter", "")});
        return;
    }
    if (type == "permit_return") {
        {
            const std::lock_guard lock(mutex_);
            if (permits_) {
                permits_->return_permit(frame.value("number", std::uint64_t{0}),
                                        frame.value("failed", false), node_context::now());
            }
        }
        tick();
    }
}

void permit_broker::on_request(std::string_view peer, const support::json& frame) {
    const std::lock_guard lock(mutex_);
    const place where{frame.value("endpoint", ""), frame.value("adapter", "")};
    requesters_[where] = {std::string(peer), frame.value("stamp_ms", std::int64_t{0})};
    if (permits_) {
        permits_->request(where.first, where.second, frame.value("urgency", 0.0),
                          node_context::now());
    }
}

void permit_broker::on_granted(std::string_view peer, const support::json& frame) {
    const place where{frame.value("endpoint", ""), frame.value("adapter", "")};
    const auto asked_at = from_ms(frame.value("stamp_ms", std::int64_t{0}));
    held_permit permit{frame.value("number", std::uint64_t{0}), std::string(peer),
                       asked_at + hooks_.limits().permit_lifetime};
    bool wanted = false;
    {
        const std::lock_guard lock(mutex_);
        wanted = waiting_.erase(where) > 0;
    }
    if (!wanted) {
        // A repeated request crossed the permit for the first one, so this one is of no use.
        context_.counters.increment("load_permits_unused_total");
        return_permit(permit, false);
        return;
    }
    hooks_.on_permit(where.first, where.second, permit);
}

void permit_broker::tick() {
    const auto now = node_context::now();
    const auto fence = members_.fence_if_held(store_resource, now);
    const auto limits = hooks_.limits();
    const auto holder_peer = holder();
    std::vector<std::string> peers;
    std::vector<support::json> frames;
    {
        const std::lock_guard lock(mutex_);
        if (!fence) {
            permits_.reset();
        } else if (!permits_ || permits_fence_ != *fence) {
            permits_.emplace(limits, now, *fence);
            permits_fence_ = *fence;
            support::log_change("load_permits_taken_over");
        }
        if (permits_) {
            permits_->set_limits(limits);
        }
        for (auto& [where, item] : waiting_) {
            if (!item.asked || now - item.asked_at >= repeat_period) {
                ask(where, item, holder_peer);
            }
        }
        if (permits_) {
            for (const auto& [where, item] : waiting_) {
                if (holder_peer == context_.incarnation) {
                    permits_->request(where.first, where.second, item.urgency, now);
                }
            }
            frames = issue(peers);
        }
    }
    for (std::size_t index = 0; index < frames.size(); ++index) {
        if (peers[index] == context_.incarnation) {
            on_granted(peers[index], frames[index]);
            continue;
        }
        hooks_.send(peers[index], frames[index]);
    }
}

std::vector<support::json> permit_broker::issue(std::vector<std::string>& peers) {
    std::vector<support::json> frames;
    for (const auto& permit : permits_->poll(node_context::now())) {
        const auto found = requesters_.find({permit.endpoint, permit.adapter});
        if (found == requesters_.end()) {
            permits_->return_permit(permit.number, false, node_context::now());
            continue;
        }
        frames.push_back({{"type", "permit"},
                          {"number", permit.number},
                          {"endpoint", permit.endpoint},
                          {"adapter", permit.adapter},
                          {"stamp_ms", found->second.stamp_ms}});
        peers.push_back(found->second.peer);
        requesters_.erase(found);
        context_.counters.increment("load_permits_issued_total");
    }
    return frames;
}

std::size_t permit_broker::outstanding() const {
    const std::lock_guard lock(mutex_);
    return permits_ ? permits_->outstanding(node_context::now()) : 0;
}

} // namespace dragonflystair::node
