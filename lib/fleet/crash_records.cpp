#include "crash_records.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

constexpr std::size_t max_records = 64;
constexpr std::size_t max_requests_per_record = 128;
constexpr std::size_t max_traits_per_generation = 8'192;

/// Reports of one crash arrive within this time. A later one means that the former was none, since
/// the same run of the endpoint was still there.
constexpr std::chrono::seconds max_report_spread{2};

} // namespace

bool has_trait(const request_traits& request, const trait& what) {
    return what.kind == trait_kind::request
               ? request.fingerprint == what.id
               : std::ranges::find(request.parts, what.id) != request.parts.end();
}

bool crash_record::has(const trait& what) const {
    return std::ranges::any_of(requests,
                               [&](const auto& request) { return has_trait(request, what); });
}

bool crash_record::has_part(std::uint64_t part) const {
    return has({trait_kind::prompt_part, part});
}

const crash_record& crash_records::add(const endpoint_crash& crash, support::time_point now) {
    const auto at = now - crash.age;
    auto found = std::ranges::find_if(records_, [&](const auto& record) {
        return record.endpoint == crash.endpoint && record.started_ms == crash.started_ms;
    });
    if (found == records_.end() || at > found->at + max_report_spread) {
        if (found != records_.end()) {
            records_.erase(found);
        }
        append({crash.endpoint, crash.started_ms, at, {}});
        found = std::prev(records_.end());
    }
    found->at = std::min(found->at, at);
    for (const auto& request : crash.requests) {
        if (found->requests.size() >= max_requests_per_record) {
            break;
        }
        found->requests.push_back(request);
    }
    return *found;
}

void crash_records::append(crash_record record) {
    if (records_.size() >= max_records) {
        records_.pop_front();
    }
    records_.push_back(std::move(record));
}

void crash_records::refute(std::string_view endpoint, std::uint64_t started_ms,
                           support::time_point response_to) {
    std::erase_if(records_, [&](auto& record) {
        const bool refuted = record.at < response_to && record.started_ms == started_ms &&
                             record.endpoint == endpoint;
        if (refuted) {
            if (refuted_.size() >= max_records) {
                refuted_.pop_front();
            }
            refuted_.push_back({response_to, std::move(record)});
        }
        return refuted;
    });
}

void crash_records::restore(std::string_view endpoint, std::uint64_t started_ms,
                            support::time_point since) {
    std::erase_if(refuted_, [&](auto& refuted) {
        auto& record = refuted.record;
        const bool restored =
            refuted.at >= since && record.started_ms == started_ms && record.endpoint == endpoint;
        if (restored) {
            append(std::move(record));
        }
        return restored;
    });
}

void crash_records::expire(support::time_point before) {
    std::erase_if(records_, [before](const auto& record) { return record.at < before; });
    std::erase_if(refuted_, [before](const auto& refuted) { return refuted.record.at < before; });
}

void served_traits::add(const trait& what, support::time_point at) {
    if (young_.size() >= max_traits_per_generation && !young_.contains(what)) {
        old_ = std::exchange(young_, {});
    }
    auto& time = young_[what];
    time = std::max(time, at);
}

support::time_point served_traits::last(const trait& what) const {
    support::time_point latest{};
    for (const auto* generation : {&young_, &old_}) {
        if (const auto found = generation->find(what); found != generation->end()) {
            latest = std::max(latest, found->second);
        }
    }
    return latest;
}

} // namespace dragonflystair::fleet
