#include "dragonflystair/ledger/group_committer.h"

#include <algorithm>
#include <cassert>

namespace dragonflystair::ledger {

std::uint64_t group_committer::add(record item) {
    const auto ticket = next_ticket_++;
    queue_.push_back({ticket, std::move(item)});
    return ticket;
}

bool group_committer::withdraw(std::uint64_t ticket) {
    const auto waiting = std::ranges::find(queue_, ticket, &waiting_record::ticket);
    if (waiting == queue_.end()) {
        return false;
    }
    queue_.erase(waiting);
    return true;
}

std::optional<append_request> group_committer::next() {
    if (outstanding_) {
        if (sent_) {
            return std::nullopt;
        }
        sent_ = true;
        return outstanding_;
    }
    if (queue_.empty()) {
        return std::nullopt;
    }
    const auto limit = std::min<std::size_t>(max_records_, max_records_per_append);
    auto payload = support::json::array();
    while (!queue_.empty() && payload.size() < limit) {
        payload.push_back(to_json(queue_.front().item));
        queue_.pop_front();
    }
    outstanding_ = append_request{next_sequence_++, std::move(payload)};
    sent_ = true;
    return outstanding_;
}

void group_committer::on_appended() {
    assert(outstanding_ && "an append was answered that was not ordered");
    outstanding_.reset();
    sent_ = false;
}

void group_committer::on_failed() {
    assert(outstanding_ && "an append failed that was not ordered");
    sent_ = false;
}

} // namespace dragonflystair::ledger
