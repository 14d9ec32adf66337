#include "dragonflystair/fleet/quota_allocator.h"

#include "dragonflystair/fleet/quota_capacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Longest time to a grant that is estimated.
constexpr double max_estimate_s = 60;

/// Parts of the overrun and of the slack for shares that are not reserved any more. The rest covers
/// tokens that are granted and not sent yet: of a window of 8 s and an overrun of 0.1, this leaves
/// 0.7 s of the rate, which are the lifetime of grants and `min_quota_capacity_s`.
constexpr double released_overrun_share = 0.125;
constexpr double released_slack_share = 0.5;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

/// Returns the seconds of a rate by which the use in one window may exceed it.
double quota_allocator::overrun_s() const {
    return bounds_.overrun * seconds_of(bounds_.window);
}

/// Returns the most tokens that may be sent at once, at any time: the bucket's and those that are
/// granted and not sent yet.
double quota_allocator::potential(const bucket& target) const {
    // One more, since tokens are granted as whole numbers.
    return 1 + target.rate * overrun_s() * (1 - released_overrun_share) +
           target.burst * (1 + bounds_.overrun) + target.slack * (1 - released_slack_share);
}

/// Returns the most tokens that a bucket may have. What is granted and not sent yet may all be sent
/// in the same window as what is granted next, so it counts too.
double quota_allocator::capacity(const bucket& target, time_point now) const {
    const double unspent = target.granted.sum_since(now - quota_grant_lifetime);
    return std::clamp(potential(target) - unspent - target.held, 0.0,
                      quota_capacity(target.rate, target.burst));
}

/// Returns how many returned tokens a bucket may take. They may have been granted before the window
/// in which they are granted again. So what was granted since any time in `max_return_age`, without
/// what was returned of it, must not exceed what a bucket allows that takes no tokens back.
double quota_allocator::room_for_returned(const bucket& target, time_point now) const {
    const double rate = std::max(target.rate - reserved(target), 0.0);
    const double allowed = target.granted.level(potential(target) - target.held, rate, now);
    return std::max(std::min(allowed, capacity(target, now)) - target.level, 0.0);
}

void quota_allocator::start(time_point now) {
    running_ = true;
    grants_from_ = now + quota_grant_lifetime;
    // Until then, tokens of a former allocator could be returned.
    returns_from_ = now + max_return_age;
    requesters_.clear();
    touches_.clear();
    history_.clear();
    history_.push_back({now, nodes_});
    for (auto& [name, target] : buckets_) {
        target.level = 0;
        target.filled_at = now;
        target.served.clear();
        target.granted.clear();
        target.held = 0;
    }
}

void quota_allocator::stop() {
    running_ = false;
}

void quota_allocator::configure(std::span<const tenant> tenants, time_point now) {
    fill(now);
    std::map<std::string, bucket, std::less<>> kept;
    for (const auto& tenant : tenants) {
        if (tenant.rate_per_s <= 0) {
            continue;
        }
        bucket target;
        target.filled_at = now;
        if (const auto found = buckets_.find(tenant.name); found != buckets_.end()) {
            target = std::move(found->second);
        }
        target.rate = tenant.rate_per_s;
        target.burst = tenant.burst;
        target.slack = tenant.unit == quota_unit::tokens ? bounds_.slack_tokens : 0;
        target.level = std::min(target.level, capacity(target, now));
        kept.emplace(tenant.name, std::move(target));
    }
    buckets_ = std::move(kept);
}

void quota_allocator::set_nodes(std::size_t nodes, time_point now) {
    if (nodes == nodes_) {
        return;
    }
    if (nodes > nodes_) {
        // A node that has just been registered may have been cut off since.
        history_.push_back({now, nodes});
    }
    nodes_ = nodes;
}

void quota_allocator::on_nodes_in_touch(std::string_view data_centre, std::size_t count,
                                        time_point now) {
    touches_.insert_or_assign(std::string(data_centre), touch{count, now});
}

/// Returns how many nodes are in touch by the leads' reports or, if that is more, by their own
/// requests: a data centre whose lead is being replaced has no report.
std::size_t quota_allocator::nodes_in_touch(time_point now) const {
    std::size_t reported = 0;
    for (const auto& [data_centre, known] : touches_) {
        reported += now - known.received <= touch_lifetime ? known.count : 0;
    }
    std::size_t using_share = 0;
    std::size_t answered = 0;
    for (const auto& [node, known] : requesters_) {
        if (now - known.received <= touch_lifetime) {
            ++(known.uses_share ? using_share : answered);
        }
    }
    return std::min(std::max(reported - std::min(reported, using_share), answered), nodes_);
}

void quota_allocator::update_touched(time_point now) {
    const auto count = nodes_in_touch(now);
    while (!history_.empty() && now - history_.front().at > reserve_time) {
        history_.pop_front();
    }
    while (!history_.empty() && history_.back().count <= count) {
        history_.pop_back();
    }
    history_.push_back({now, count});
    silent_ = nodes_ - count;
    recently_silent_ = std::min(history_.front().count, nodes_) - count;
}

/// Returns the tokens per second that nodes without answers may spend.
double quota_allocator::reserved(const bucket& target) const {
    if (nodes_ == 0) {
        return target.rate; // Nothing is known of the other nodes yet.
    }
    const double share = target.rate / static_cast<double>(nodes_);
    const double released =
        (target.rate * overrun_s() * released_overrun_share +
         (target.burst * bounds_.overrun + target.slack) * released_slack_share) /
        seconds_of(bounds_.window);
    return std::max(share * static_cast<double>(recently_silent_),
                    share * static_cast<double>(silent_) - released);
}

void quota_allocator::fill(time_point now) {
    if (!running_) {
        return;
    }
    update_touched(now);
    for (auto& [name, target] : buckets_) {
        const double rate = std::max(target.rate - reserved(target), 0.0);
        // Nothing accumulates in the time in which tokens of a former allocator may be spent.
        target.granted.expire(now);
        const auto from = std::max(target.filled_at, grants_from_);
        if (now > from) {
            target.level =
                std::min(target.level + rate * seconds_of(now - from), capacity(target, now));
            target.filled_at = now;
        }
    }
}

/// Forgets the tokens that a node has reported to hold.
void quota_allocator::release_held(requester& node) {
    for (const auto& [tenant, amount] : node.held) {
        if (const auto target = buckets_.find(tenant); target != buckets_.end()) {
            target->second.held = std::max(target->second.held - amount, 0.0);
        }
    }
    node.held.clear();
}

/// Puts the tokens that a node returns into the buckets, also if a later request overtook this one.
void quota_allocator::accept_returned(const quota_request& message, time_point sent_after,
                                      time_point now) {
    if (now < returns_from_) {
        return;
    }
    for (const auto& row : message.rows) {
        const auto found = buckets_.find(row.tenant);
        if (row.returned > 0 && row.returned_age <= quota_return_time && found != buckets_.end()) {
            auto& target = found->second;
            target.granted.remove(sent_after - row.returned_age, row.returned);
            target.level += std::min(row.returned, room_for_returned(target, now));
        }
    }
}

/// Returns a time after which a node sent its request, since it had received the answer that the
/// request names. Returns nothing for a request that may be older than `max_request_age`.
std::optional<time_point> quota_allocator::sent_after(requester& node, const quota_request& message,
                                                      time_point now) {
    std::erase_if(node.answers,
                  [now](const answer& item) { return now - item.at > max_request_age; });
    const auto found = std::ranges::find(node.answers, message.answered, &answer::stamp);
    return found == node.answers.end() ? std::nullopt : std::optional(found->at);
}

void quota_allocator::record_answer(requester& node, time_point now) {
    if (node.answers.empty() || node.answers.back().stamp != node.stamp) {
        node.answers.push_back({node.stamp, now});
    }
}

void quota_allocator::request(std::string_view node, const quota_request& message, time_point now) {
    if (!running_) {
        return;
    }
    fill(now);
    auto& known = requesters_[std::string(node)];
    if (const auto sent = sent_after(known, message, now)) {
        accept_returned(message, *sent, now);
    }
    if (message.stamp < known.stamp) {
        return;
    }
    known.stamp = message.stamp;
    known.uses_share = message.uses_share;
    known.answer_due = true;
    known.received = now;
    known.rows.clear();
    release_held(known);
    for (const auto& row : message.rows) {
        const auto target = buckets_.find(row.tenant);
        if (target == buckets_.end()) {
            continue;
        }
        auto& tokens = target->second;
        known.held[row.tenant] += row.held;
        tokens.held += row.held;
        known.rows.insert_or_assign(
            row.tenant,
            pending_row{std::ceil(row.wanted), std::ceil(row.waiting), std::ceil(row.quantum)});
    }
}

/// Grants a tenant's tokens to nodes in the order of their last grants. If there are not enough for
/// all, waiting calls come first, and each node gets a share by demand, but no less than it can
/// use. A node whose turn it is waits for that amount, so that those with larger calls are not
/// passed over for ever.
void quota_allocator::divide(const std::string& tenant, bucket& target, grants& out,
                             time_point now) {
    struct candidate {
        const std::string* node = nullptr;
        pending_row* row = nullptr;
        time_point served;
    };
    std::vector<candidate> candidates;
    double total = 0;
    double waiting = 0;
    for (auto& [node, known] : requesters_) {
        const auto row = known.rows.find(tenant);
        if (row == known.rows.end()) {
            continue;
        }
        if (row->second.wanted <= 0) {
            if (known.answer_due) {
                out[node].rows.push_back({tenant, 0, milliseconds{0}});
            }
            continue;
        }
        const auto served = target.served.find(node);
        candidates.push_back(
            {&node, &row->second, served == target.served.end() ? time_point{} : served->second});
        total += row->second.wanted;
        waiting += row->second.waiting;
    }
    std::ranges::stable_sort(candidates, {}, &candidate::served);
    const bool only_waiting = total > target.level && waiting > 0;
    const double divided = only_waiting ? waiting : total;
    const double share = divided > target.level ? target.level / divided : 1;
    const double rate = std::max(target.rate - reserved(target), target.rate * 0.01);
    double ahead = 0;
    bool blocked = now < grants_from_;
    for (const auto& [node, row, served] : candidates) {
        const double asked = only_waiting ? row->waiting : row->wanted;
        const double least =
            std::min({asked, row->quantum, std::max(capacity(target, now), target.level)});
        const double amount = std::floor(std::min(asked, std::max(asked * share, least)));
        const bool granted = !blocked && amount > 0 && target.level >= amount;
        blocked = blocked || (!granted && asked > 0);
        if (granted) {
            target.level -= amount;
            target.granted.add(now, amount);
            row->wanted -= amount;
            row->waiting = std::max(row->waiting - amount, 0.0);
            target.served.insert_or_assign(*node, now);
        }
        // Tokens that nodes want ahead of need do not delay a call.
        ahead += row->waiting;
        const double wait =
            std::clamp((ahead + row->quantum - target.level) / rate, 0.0, max_estimate_s);
        if (granted || requesters_.find(*node)->second.answer_due) {
            const auto next_in =
                std::chrono::ceil<milliseconds>(std::chrono::duration<double>(wait));
            out[*node].rows.push_back({tenant, granted ? amount : 0, next_in});
        }
    }
}

std::vector<quota_grant> quota_allocator::take_grants(time_point now) {
    std::vector<quota_grant> result;
    if (!running_) {
        return result;
    }
    fill(now);
    for (auto& [node, known] : requesters_) {
        if (now - known.received > request_lifetime) {
            known.rows.clear();
        }
    }
    grants out;
    for (auto& [tenant, target] : buckets_) {
        divide(tenant, target, out, now);
    }
    for (auto& [node, known] : requesters_) {
        const auto found = out.find(node);
        if (found == out.end() && !known.answer_due) {
            continue;
        }
        known.answer_due = false;
        record_answer(known, now);
        auto grant = found == out.end() ? quota_grant{} : std::move(found->second);
        grant.node = node;
        grant.stamp = known.stamp;
        result.push_back(std::move(grant));
    }
    for (auto entry = requesters_.begin(); entry != requesters_.end();) {
        if (now - entry->second.received <= touch_lifetime) {
            ++entry;
            continue;
        }
        release_held(entry->second);
        entry = requesters_.erase(entry);
    }
    for (auto& [tenant, target] : buckets_) {
        std::erase_if(target.served,
                      [now](const auto& item) { return now - item.second > reserve_time; });
    }
    return result;
}

} // namespace dragonflystair::fleet
