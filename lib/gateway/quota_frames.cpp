#include "quota_frames.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

namespace dragonflystair::gateway {

using support::json;

namespace {

/// Upper bounds of members, far beyond what nodes send.
constexpr double max_tokens = 1e12;
constexpr std::size_t max_rows = 4'096;
constexpr std::size_t max_nodes = 100'000;
constexpr std::uint64_t max_wait_ms = 600'000;

/// Tokens are sent as whole numbers, which are shorter. Amounts that are granted or returned are
/// rounded down, so that rounding creates none.
std::uint64_t whole(double tokens) {
    return static_cast<std::uint64_t>(std::clamp(tokens, 0.0, max_tokens));
}

std::optional<double> tokens_at(const json& row, std::size_t index) {
    if (!row.at(index).is_number_unsigned()) {
        return std::nullopt;
    }
    const auto value = row.at(index).get<double>();
    return value <= max_tokens ? std::optional(value) : std::nullopt;
}

std::optional<std::chrono::milliseconds> wait_at(const json& row, std::size_t index) {
    if (!row.at(index).is_number_unsigned() || row.at(index).get<std::uint64_t>() > max_wait_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{row.at(index).get<std::int64_t>()};
}

bool is_row(const json& row, std::size_t members) {
    return row.is_array() && row.size() == members && row.at(0).is_string();
}

std::optional<std::string> text_member(const json& frame, const char* name) {
    const auto found = frame.find(name);
    if (found == frame.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::uint64_t> unsigned_member(const json& frame, const char* name) {
    const auto found = frame.find(name);
    if (found == frame.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

/// Returns the rows of a frame, or null if they are missing, no list or too many.
const json* rows_of(const json& frame) {
    const auto rows = frame.find("r");
    return rows == frame.end() || !rows->is_array() || rows->size() > max_rows ? nullptr : &*rows;
}

} // namespace

json quota_request_frame(const quota_request_message& message) {
    auto rows = json::array();
    for (const auto& row : message.request.rows) {
        rows.push_back(json::array({row.tenant, whole(std::ceil(row.wanted)),
                                    whole(std::ceil(row.waiting)), whole(std::ceil(row.quantum)),
                                    whole(std::ceil(row.held)), whole(row.returned),
                                    static_cast<std::uint64_t>(row.returned_age.count())}));
    }
    json frame{{"type", "y"}, {"o", message.origin}, {"t", message.request.stamp}};
    frame["r"] = std::move(rows);
    if (message.request.answered > 0) {
        frame["a"] = message.request.answered;
    }
    if (message.request.uses_share) {
        frame["f"] = true;
    }
    return frame;
}

std::optional<quota_request_message> decode_quota_request(const json& frame) {
    constexpr std::size_t members = 7;
    const auto origin = text_member(frame, "o");
    const auto stamp = unsigned_member(frame, "t");
    const auto* rows = rows_of(frame);
    if (!origin || !stamp || rows == nullptr) {
        return std::nullopt;
    }
    const auto answered = unsigned_member(frame, "a").value_or(0);
    quota_request_message message{*origin, {*stamp, answered, frame.contains("f"), {}}};
    for (const auto& row : *rows) {
        if (!is_row(row, members)) {
            return std::nullopt;
        }
        const auto wanted = tokens_at(row, 1);
        const auto waiting = tokens_at(row, 2);
        const auto quantum = tokens_at(row, 3);
        const auto held = tokens_at(row, 4);
        const auto returned = tokens_at(row, 5);
        const auto age = wait_at(row, 6);
        if (!wanted || !waiting || !quantum || !held || !returned || !age) {
            return std::nullopt;
        }
        message.request.rows.push_back(
            {row.at(0).get<std::string>(), *wanted, *waiting, *quantum, *held, *returned, *age});
    }
    return message;
}

json touch_report_frame(const touch_report& report) {
    return {{"type", "y"}, {"d", report.data_centre}, {"k", report.nodes}};
}

bool is_touch_report(const json& frame) {
    return frame.contains("k");
}

std::optional<touch_report> decode_touch_report(const json& frame) {
    const auto data_centre = text_member(frame, "d");
    const auto nodes = unsigned_member(frame, "k");
    if (!data_centre || !nodes || *nodes > max_nodes) {
        return std::nullopt;
    }
    return touch_report{*data_centre, static_cast<std::size_t>(*nodes)};
}

json quota_grant_frame(const fleet::quota_grant& grant) {
    auto rows = json::array();
    for (const auto& row : grant.rows) {
        rows.push_back(json::array(
            {row.tenant, whole(row.amount), static_cast<std::uint64_t>(row.next_in.count())}));
    }
    json frame{{"type", "z"}, {"o", grant.node}, {"t", grant.stamp}};
    frame["r"] = std::move(rows);
    return frame;
}

std::optional<fleet::quota_grant> decode_quota_grant(const json& frame) {
    constexpr std::size_t members = 3;
    const auto origin = text_member(frame, "o");
    const auto stamp = unsigned_member(frame, "t");
    const auto* rows = rows_of(frame);
    if (!origin || !stamp || rows == nullptr) {
        return std::nullopt;
    }
    fleet::quota_grant grant{*origin, *stamp, {}};
    for (const auto& row : *rows) {
        if (!is_row(row, members)) {
            return std::nullopt;
        }
        const auto amount = tokens_at(row, 1);
        const auto next_in = wait_at(row, 2);
        if (!amount || !next_in) {
            return std::nullopt;
        }
        grant.rows.push_back({row.at(0).get<std::string>(), *amount, *next_in});
    }
    return grant;
}

} // namespace dragonflystair::gateway
