#include "dragonflystair/fleet/crash_observer.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::time_point;

namespace {

/// Time to collect the connections that one crash breaks, and for the endpoint to prove otherwise.
constexpr milliseconds collection_time{60};
/// Bytes that arrive this soon after a lost connection may have been sent before the crash.
constexpr milliseconds delivery_time{20};
/// A response that ended this long before the crash may have been ended by it.
constexpr milliseconds max_end_to_crash{500};
/// Time after which it stays open whether a request was served.
constexpr seconds open_time{10};

constexpr std::size_t max_runs = 1'024;
constexpr std::size_t max_requests_per_run = 256;

} // namespace

request_traits traits_of(std::uint64_t fingerprint, std::span<const prompt_part> prompt) {
    request_traits traits;
    traits.fingerprint = fingerprint;
    const auto shared = prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
    for (const auto& part : shared.first(std::min(shared.size(), max_parts_per_request))) {
        if (part.id != 0 && std::ranges::find(traits.parts, part.id) == traits.parts.end()) {
            traits.parts.push_back(part.id);
        }
    }
    return traits;
}

/// Returns the entry for a run of an endpoint; null if there are too many.
crash_observer::entry* crash_observer::entry_for(std::string_view endpoint,
                                                 std::uint64_t started_ms) {
    auto found = entries_.find(run_view{endpoint, started_ms});
    if (found == entries_.end()) {
        if (entries_.size() >= max_runs) {
            return nullptr;
        }
        found = entries_.emplace(std::pair(std::string(endpoint), started_ms), entry{}).first;
    }
    return &found->second;
}

void crash_observer::on_connection_lost(std::string_view endpoint, std::uint64_t started_ms,
                                        const request_traits& request, time_point now) {
    auto* run = entry_for(endpoint, started_ms);
    if (run == nullptr || run->lost.size() >= max_requests_per_run) {
        return;
    }
    run->lost.push_back(request);
    run->lost_at = run->lost_at.value_or(now);
}

void crash_observer::on_ended_with_connection(std::string_view endpoint, std::uint64_t started_ms,
                                              const request_traits& request, time_point now) {
    auto* run = entry_for(endpoint, started_ms);
    if (run != nullptr && run->ended.size() < max_requests_per_run) {
        run->ended.push_back({now, request});
    }
}

void crash_observer::on_gone(std::string_view endpoint, std::uint64_t started_ms, time_point now) {
    const auto found = entries_.find(run_view{endpoint, started_ms});
    if (found != entries_.end() && !found->second.ended.empty()) {
        // The last response is taken to have been ended by the crash.
        auto& run = found->second;
        run.lost_at = run.lost_at.value_or(std::min(now, run.ended.back().at));
    }
}

void crash_observer::on_response(std::string_view endpoint, std::uint64_t started_ms,
                                 time_point now) {
    const auto found = entries_.find(run_view{endpoint, started_ms});
    if (found == entries_.end()) {
        return;
    }
    auto& run = found->second;
    if (run.lost_at && now >= *run.lost_at + delivery_time) {
        run.lost_at.reset();
        run.lost.clear();
    }
    std::erase_if(run.ended, [&](auto& ended) {
        const bool served = now >= ended.at + delivery_time;
        if (served) {
            served_.push_back(std::move(ended.request));
        }
        return served;
    });
    if (!run.lost_at && run.ended.empty()) {
        entries_.erase(found);
    }
}

std::vector<endpoint_crash> crash_observer::take_crashes(time_point now) {
    std::vector<endpoint_crash> crashes;
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& [id, run] = *it;
        if (run.lost_at && now >= *run.lost_at + collection_time) {
            endpoint_crash crash;
            crash.endpoint = id.first;
            crash.started_ms = id.second;
            crash.age = std::chrono::duration_cast<milliseconds>(now - *run.lost_at);
            crash.requests = std::move(run.lost);
            for (auto& ended : run.ended) {
                if (ended.at + max_end_to_crash >= *run.lost_at) {
                    crash.requests.push_back(std::move(ended.request));
                } else {
                    served_.push_back(std::move(ended.request));
                }
            }
            crashes.push_back(std::move(crash));
            it = entries_.erase(it);
            continue;
        }
        std::erase_if(run.ended, [&](const auto& ended) { return now >= ended.at + open_time; });
        it = !run.lost_at && run.ended.empty() ? entries_.erase(it) : std::next(it);
    }
    return crashes;
}

std::vector<request_traits> crash_observer::take_served() {
    return std::exchange(served_, {});
}

} // namespace dragonflystair::fleet
