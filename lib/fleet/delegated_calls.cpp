#include "dragonflystair/fleet/delegated_calls.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Time for a lead's first answer: a few of its turns on a small share of a core, and a round trip
/// between regions where it is in another one.
constexpr milliseconds answer_time{120};
constexpr milliseconds far_round_trip{60};

/// A lead refuses a waiting call itself when its time is over; if its word does not come, this
/// node does so this much later.
constexpr milliseconds refusal_margin{60};

struct delegated_call {
    pending_call call;
    std::string lead;
    std::string data_centre;
    std::string endpoint;
    bool placed = false;
    time_point due;
};

} // namespace

struct delegated_calls::impl {
    [[nodiscard]] const delegated_call* find(std::uint64_t number) const {
        const auto found = calls.find(number);
        return found == calls.end() ? nullptr : &found->second;
    }

    /// Removes the calls that wait for their lead and for which the condition holds.
    template <class Condition> std::vector<returned_call> take_if(const Condition& condition) {
        std::vector<returned_call> out;
        for (auto item = calls.begin(); item != calls.end();) {
            if (!item->second.placed && condition(item->second)) {
                out.push_back({std::move(item->second.call), item->second.lead});
                item = calls.erase(item);
            } else {
                ++item;
            }
        }
        return out;
    }

    std::map<std::uint64_t, delegated_call> calls;
};

delegated_calls::delegated_calls() : impl_(std::make_unique<impl>()) {}

delegated_calls::~delegated_calls() = default;

void delegated_calls::add(pending_call call, std::string lead, std::string data_centre, bool far,
                          time_point now) {
    const auto number = call.number;
    delegated_call item;
    item.due = now + answer_time + (far ? far_round_trip : milliseconds{0});
    item.call = std::move(call);
    item.lead = std::move(lead);
    item.data_centre = std::move(data_centre);
    impl_->calls.insert_or_assign(number, std::move(item));
}

void delegated_calls::on_waiting(std::uint64_t number) {
    if (const auto found = impl_->calls.find(number); found != impl_->calls.end()) {
        const auto& call = found->second.call;
        found->second.due = std::max(call.queue_deadline, call.load_deadline) + refusal_margin;
    }
}

bool delegated_calls::on_placed(std::uint64_t number, std::string endpoint) {
    const auto found = impl_->calls.find(number);
    if (found == impl_->calls.end() || found->second.placed) {
        return false;
    }
    found->second.placed = true;
    found->second.endpoint = std::move(endpoint);
    return true;
}

std::optional<pending_call> delegated_calls::take(std::uint64_t number) {
    auto node = impl_->calls.extract(number);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped().call));
}

bool delegated_calls::contains(std::uint64_t number) const {
    return impl_->calls.contains(number);
}

std::string delegated_calls::lead_of(std::uint64_t number) const {
    const auto* item = impl_->find(number);
    return item == nullptr ? std::string{} : item->lead;
}

std::string delegated_calls::data_centre_of(std::uint64_t number) const {
    const auto* item = impl_->find(number);
    return item == nullptr ? std::string{} : item->data_centre;
}

std::string delegated_calls::endpoint_of(std::uint64_t number) const {
    const auto* item = impl_->find(number);
    return item == nullptr ? std::string{} : item->endpoint;
}

std::vector<delegated_calls::returned_call> delegated_calls::take_overdue(time_point now) {
    return impl_->take_if([now](const delegated_call& item) { return item.due <= now; });
}

std::vector<delegated_calls::returned_call> delegated_calls::take_lost(std::string_view lead) {
    return impl_->take_if([lead](const delegated_call& item) { return item.lead == lead; });
}

std::optional<time_point> delegated_calls::next_due() const {
    std::optional<time_point> earliest;
    for (const auto& [number, item] : impl_->calls) {
        if (!item.placed) {
            earliest = earliest ? std::min(*earliest, item.due) : item.due;
        }
    }
    return earliest;
}

} // namespace dragonflystair::fleet
