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

void permit_broker::request_permit(const std::string& endpoint, const std::string& adapter,
                                   double urgency) {
    const auto holder_peer = holder();
    {
        const std::lock_guard lock(mutex_);
        auto& pending = pending_[{endpoint, adapter}];
        pending.urgency = urgency;
        send_request({endpoint, adapter}, pending, holder_peer);
    }
    tick();
}

void permit_broker::send_request(const load_key& key, pending_request& pending,
                                 const std::string& holder_peer) {
    if (holder_peer.empty()) {
        return;
    }
    // The issuer returns the timestamp with the permit. Since the permit is issued after the
    // timestamp was taken, its lifetime can be measured from the timestamp on this node's clock.
    pending.sent_at = node_context::now();
    pending.sent = true;
    const support::json frame{{"type", "permit_request"},
                              {"endpoint", key.first},
                              {"adapter", key.second},
                              {"urgency", pending.urgency},
                              {"stamp_ms", to_ms(pending.sent_at)}};
    if (holder_peer == context_.incarnation) {
        requesters_[key] = {holder_peer, to_ms(pending.sent_at)};
        return;
    }
    hooks_.send(holder_peer, frame);
}

void permit_broker::withdraw(const std::string& endpoint, const std::string& adapter) {
    const auto holder_peer = holder();
    {
        const std::lock_guard lock(mutex_);
        pending_.erase({endpoint, adapter});
        if (holder_peer == context_.incarnation) {
            remove_request({endpoint, adapter});
            return;
        }
    }
    if (!holder_peer.empty()) {
        hooks_.send(holder_peer,
                    {{"type", "permit_withdraw"}, {"endpoint", endpoint}, {"adapter", adapter}});
    }
}

void permit_broker::remove_request(const load_key& key) {
    requesters_.erase(key);
    if (permits_) {
        permits_->withdraw(key.first, key.second);
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
        on_permit_issued(peer, frame);
        return;
    }
    if (type == "permit_withdraw") {
        const std::lock_guard lock(mutex_);
        remove_request({frame.value("endpoint", ""), frame.value("adapter", "")});
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
    const load_key key{frame.value("endpoint", ""), frame.value("adapter", "")};
    requesters_[key] = {std::string(peer), frame.value("stamp_ms", std::int64_t{0})};
    if (permits_) {
        permits_->request(key.first, key.second, frame.value("urgency", 0.0), node_context::now());
    }
}

void permit_broker::on_permit_issued(std::string_view peer, const support::json& frame) {
    const load_key key{frame.value("endpoint", ""), frame.value("adapter", "")};
    const auto sent_at = from_ms(frame.value("stamp_ms", std::int64_t{0}));
    held_permit permit{frame.value("number", std::uint64_t{0}), std::string(peer),
                       sent_at + hooks_.limits().permit_lifetime};
    bool was_pending = false;
    {
        const std::lock_guard lock(mutex_);
        was_pending = pending_.erase(key) > 0;
    }
    if (!was_pending) {
        // The request was resent while its permit was in transit, and this is the second permit.
        context_.counters.increment("load_permits_unused_total");
        return_permit(permit, false);
        return;
    }
    hooks_.on_permit(key.first, key.second, permit);
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
        for (auto& [key, pending] : pending_) {
            if (!pending.sent || now - pending.sent_at >= resend_period) {
                send_request(key, pending, holder_peer);
            }
        }
        if (permits_) {
            for (const auto& [key, pending] : pending_) {
                if (holder_peer == context_.incarnation) {
                    permits_->request(key.first, key.second, pending.urgency, now);
                }
            }
            frames = issue(peers);
        }
    }
    for (std::size_t index = 0; index < frames.size(); ++index) {
        if (peers[index] == context_.incarnation) {
            on_permit_issued(peers[index], frames[index]);
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
