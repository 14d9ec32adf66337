#include "dragonflystair/ledger/group_committer.h"

#include <algorithm>
#include <cassert>

namespace dragonflystair::ledger {

std::uint64_t group_committer::add(record content) {
    const auto ticket = next_ticket_++;
    queue_.push_back({ticket, std::move(content)});
    return ticket;
}

bool group_committer::withdraw(std::uint64_t ticket) {
    const auto pending = std::ranges::find(queue_, ticket, &pending_record::ticket);
    if (pending == queue_.end()) {
        return false;
    }
    queue_.erase(pending);
    return true;
}

std::optional<append_request> group_committer::next() {
    if (outstanding_) {
        if (in_flight_) {
            return std::nullopt;
        }
        in_flight_ = true;
        return outstanding_;
    }
    if (queue_.empty()) {
        return std::nullopt;
    }
    const auto limit = std::min<std::size_t>(max_records_, max_records_per_append);
    auto payload = support::json::array();
    while (!queue_.empty() && payload.size() < limit) {
        payload.push_back(to_json(queue_.front().content));
        queue_.pop_front();
    }
    outstanding_ = append_request{next_sequence_++, std::move(payload)};
    in_flight_ = true;
    return outstanding_;
}

void group_committer::on_appended() {
    assert(outstanding_ && "response to an append that was not requested");
    outstanding_.reset();
    in_flight_ = false;
}

void group_committer::on_failed() {
    assert(outstanding_ && "failure of an append that was not requested");
    in_flight_ = false;
}

} // namespace dragonflystair::ledger
