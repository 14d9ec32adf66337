#include "dragonflystair/fleet/delegated_calls.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Timeout for a lead's first answer. Covers a few event-loop iterations of a lead that has a small
/// share of a core; for a lead in another region, `far_round_trip` is added.
constexpr milliseconds answer_time{120};
constexpr milliseconds far_round_trip{60};

/// A lead rejects a queued call itself when its deadline passes. If that answer does not arrive,
/// the call returns to this node after this additional time.
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

    /// Removes and returns the calls that await placement and meet the condition.
    template <class Condition> std::vector<returned_call> take_if(const Condition& condition) {
        std::vector<returned_call> result;
        for (auto entry = calls.begin(); entry != calls.end();) {
            if (!entry->second.placed && condition(entry->second)) {
                result.push_back({std::move(entry->second.call), entry->second.lead});
                entry = calls.erase(entry);
            } else {
                ++entry;
            }
        }
        return result;
    }

    std::map<std::uint64_t, delegated_call> calls;
};

delegated_calls::delegated_calls() : impl_(std::make_unique<impl>()) {}

delegated_calls::~delegated_calls() = default;

void delegated_calls::add(pending_call call, std::string lead, std::string data_centre, bool far,
                          time_point now) {
    const auto number = call.number;
    delegated_call delegated;
    delegated.due = now + answer_time + (far ? far_round_trip : milliseconds{0});
    delegated.call = std::move(call);
    delegated.lead = std::move(lead);
    delegated.data_centre = std::move(data_centre);
    impl_->calls.insert_or_assign(number, std::move(delegated));
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

const pending_call* delegated_calls::call_of(std::uint64_t number) const {
    const auto* delegated = impl_->find(number);
    return delegated == nullptr ? nullptr : &delegated->call;
}

std::map<std::string, std::size_t, std::less<>>
delegated_calls::calls_by_data_centre(std::string_view service) const {
    std::map<std::string, std::size_t, std::less<>> result;
    for (const auto& [number, delegated] : impl_->calls) {
        if (delegated.call.service == service) {
            ++result[delegated.data_centre];
        }
    }
    return result;
}

std::string delegated_calls::lead_of(std::uint64_t number) const {
    const auto* delegated = impl_->find(number);
    return delegated == nullptr ? std::string{} : delegated->lead;
}

std::string delegated_calls::data_centre_of(std::uint64_t number) const {
    const auto* delegated = impl_->find(number);
    return delegated == nullptr ? std::string{} : delegated->data_centre;
}

std::string delegated_calls::endpoint_of(std::uint64_t number) const {
    const auto* delegated = impl_->find(number);
    return delegated == nullptr ? std::string{} : delegated->endpoint;
}

std::vector<delegated_calls::returned_call> delegated_calls::take_overdue(time_point now) {
    return impl_->take_if([now](const delegated_call& delegated) { return delegated.due <= now; });
}

std::vector<delegated_calls::returned_call> delegated_calls::take_lost(std::string_view lead) {
    return impl_->take_if(
        [lead](const delegated_call& delegated) { return delegated.lead == lead; });
}

std::vector<delegated_calls::placed_call> delegated_calls::placed_by(std::string_view lead) const {
    std::vector<placed_call> result;
    for (const auto& [number, delegated] : impl_->calls) {
        if (delegated.placed && delegated.lead == lead) {
            result.push_back({delegated.call, delegated.endpoint});
        }
    }
    return result;
}

std::optional<time_point> delegated_calls::next_due() const {
    std::optional<time_point> earliest;
    for (const auto& [number, delegated] : impl_->calls) {
        if (!delegated.placed) {
            earliest = earliest ? std::min(*earliest, delegated.due) : delegated.due;
        }
    }
    return earliest;
}

} // namespace dragonflystair::fleet
