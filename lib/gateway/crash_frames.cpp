#include "crash_frames.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::json;

namespace {

/// Bounds of what is sent and read, so that a crash of a large batch stays within a few kilobytes.
constexpr std::size_t max_crashes = 16;
constexpr std::size_t max_requests = 128;
constexpr std::size_t max_rows = 64;
/// Older evidence does not count.
constexpr std::uint64_t max_age_ms = 600'000;
constexpr std::uint64_t max_block_ms = 86'400'000;
constexpr std::uint64_t max_level = 1'000;

/// Returns the first elements of an array member; none if it is missing or no array.
std::span<const json> rows_of(const json& frame, const char* name, std::size_t most) {
    const auto found = frame.find(name);
    if (found == frame.end() || !found->is_array()) {
        return {};
    }
    const auto& rows = found->get_ref<const json::array_t&>();
    return std::span(rows).first(std::min(rows.size(), most));
}

std::uint64_t number_at(const json& row, std::size_t index) {
    return row.size() > index && row[index].is_number_unsigned() ? row[index].get<std::uint64_t>()
                                                                 : 0;
}

milliseconds milliseconds_at(const json& row, std::size_t index, std::uint64_t most) {
    return milliseconds{static_cast<std::int64_t>(std::min(number_at(row, index), most))};
}

std::uint64_t count_of(milliseconds value) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
}

json trait_row(const fleet::trait& what) {
    return json::array({static_cast<std::uint64_t>(what.kind), what.id});
}

std::optional<fleet::trait> trait_of(const json& row) {
    if (!row.is_array() || row.size() < 2 || !row[0].is_number_unsigned() ||
        !row[1].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto kind = row[0].get<std::uint64_t>();
    if (kind > static_cast<std::uint64_t>(fleet::trait_kind::prompt_part)) {
        return std::nullopt;
    }
    return fleet::trait{static_cast<fleet::trait_kind>(kind), row[1].get<std::uint64_t>()};
}

json request_row(const fleet::request_traits& request) {
    json row = json::array({request.fingerprint});
    for (const auto part : request.parts) {
        row.push_back(part);
    }
    return row;
}

std::optional<fleet::request_traits> request_of(const json& row) {
    if (!row.is_array() || row.empty() || !row[0].is_number_unsigned()) {
        return std::nullopt;
    }
    fleet::request_traits request;
    request.fingerprint = row[0].get<std::uint64_t>();
    for (std::size_t i = 1; i < std::min(row.size(), fleet::max_parts_per_request + 1); ++i) {
        if (row[i].is_number_unsigned()) {
            request.parts.push_back(row[i].get<std::uint64_t>());
        }
    }
    return request;
}

json crash_row(const fleet::endpoint_crash& crash, std::size_t most_requests) {
    json requests = json::array();
    const std::span all(crash.requests);
    for (const auto& request : all.first(std::min(all.size(), most_requests))) {
        requests.push_back(request_row(request));
    }
    return json::array(
        {crash.endpoint, crash.started_ms, count_of(crash.age), std::move(requests)});
}

std::optional<fleet::endpoint_crash> crash_of(const json& row) {
    if (!row.is_array() || row.size() < 4 || !row[0].is_string() || !row[3].is_array()) {
        return std::nullopt;
    }
    fleet::endpoint_crash crash;
    crash.endpoint = row[0].get<std::string>();
    crash.started_ms = number_at(row, 1);
    crash.age = milliseconds_at(row, 2, max_age_ms);
    const auto& requests = row[3].get_ref<const json::array_t&>();
    for (const auto& request : std::span(requests).first(std::min(requests.size(), max_requests))) {
        if (auto decoded = request_of(request)) {
            crash.requests.push_back(std::move(*decoded));
        }
    }
    return crash;
}

json dated_rows(const std::vector<fleet::dated_trait>& traits) {
    json rows = json::array();
    for (const auto& entry : traits) {
        auto row = trait_row(entry.what);
        row.push_back(count_of(entry.age));
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<fleet::dated_trait> dated_traits(const json& frame, const char* name) {
    std::vector<fleet::dated_trait> traits;
    for (const auto& row : rows_of(frame, name, max_rows)) {
        if (const auto what = trait_of(row)) {
            traits.push_back({*what, milliseconds_at(row, 2, max_age_ms)});
        }
    }
    return traits;
}

} // namespace

json crash_evidence_frame(const fleet::crash_notice& notice) {
    json crashes = json::array();
    std::size_t requests = 0;
    for (const auto& crash : notice.crashes) {
        if (crashes.size() >= max_crashes || requests >= max_requests) {
            break;
        }
        crashes.push_back(crash_row(crash, max_requests - requests));
        requests += crash.requests.size();
    }
    return {{"type", "e"}, {"c", std::move(crashes)}, {"o", dated_rows(notice.survived)}};
}

json crash_conclusions_frame(const fleet::crash_notice& notice) {
    json blocks = json::array();
    for (const auto& block : notice.blocks) {
        auto row = trait_row(block.what);
        row.push_back(count_of(block.remaining));
        row.push_back(std::uint64_t{block.level});
        blocks.push_back(std::move(row));
    }
    json lifted = json::array();
    for (const auto& what : notice.lifted) {
        lifted.push_back(trait_row(what));
    }
    return {{"type", "c"},
            {"s", dated_rows(notice.suspected)},
            {"b", std::move(blocks)},
            {"l", std::move(lifted)}};
}

fleet::crash_notice decode_crash_notice(const json& frame) {
    fleet::crash_notice notice;
    for (const auto& row : rows_of(frame, "c", max_crashes)) {
        if (auto crash = crash_of(row)) {
            notice.crashes.push_back(std::move(*crash));
        }
    }
    notice.survived = dated_traits(frame, "o");
    notice.suspected = dated_traits(frame, "s");
    // A new peer is told all blocks at once, so their number is bounded where they are kept.
    for (const auto& row : rows_of(frame, "b", fleet::max_blocked_traits)) {
        if (const auto what = trait_of(row)) {
            notice.blocks.push_back(
                {*what, milliseconds_at(row, 2, max_block_ms),
                 static_cast<std::uint32_t>(std::min(number_at(row, 3), max_level))});
        }
    }
    for (const auto& row : rows_of(frame, "l", max_rows)) {
        if (const auto what = trait_of(row)) {
            notice.lifted.push_back(*what);
        }
    }
    return notice;
}

} // namespace dragonflystair::gateway
