#include "placement_frames.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::json;
using support::time_point;

namespace {

/// Limit on times in frames; a longer one means a damaged frame.
constexpr std::int64_t max_ms = 3'600'000;

std::int64_t ms_between(time_point from, time_point until) {
    return std::chrono::duration_cast<milliseconds>(until - from).count();
}

std::int64_t number_of(const json& frame, const char* name) {
    const auto found = frame.find(name);
    return found != frame.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

std::string text_of(const json& frame, const char* name) {
    const auto found = frame.find(name);
    return found != frame.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

time_point after_ms(time_point from, const json& frame, const char* name) {
    return from + milliseconds{std::clamp(number_of(frame, name), -max_ms, max_ms)};
}

std::vector<fleet::prompt_part> parts_of(const json& frame) {
    std::vector<fleet::prompt_part> parts;
    const auto found = frame.find("v");
    if (found == frame.end() || !found->is_array()) {
        return parts;
    }
    for (const auto& row : *found) {
        if (row.is_array() && row.size() == 2 && row[0].is_number_unsigned() &&
            row[1].is_number_unsigned()) {
            parts.push_back({row[0].get<std::uint64_t>(), row[1].get<std::size_t>()});
        }
    }
    return parts;
}

std::vector<std::string> excluded_of(const json& frame) {
    std::vector<std::string> names;
    const auto found = frame.find("x");
    if (found == frame.end() || !found->is_array()) {
        return names;
    }
    for (const auto& name : *found) {
        if (name.is_string()) {
            names.push_back(name.get<std::string>());
        }
    }
    return names;
}

} // namespace

std::optional<std::uint64_t> decode_call_number(const json& frame) {
    const auto found = frame.find("n");
    if (found == frame.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

json placement_request_frame(const fleet::pending_call& call, time_point now) {
    json parts = json::array();
    for (const auto& part : call.prompt) {
        parts.push_back(json::array({part.id, part.tokens}));
    }
    json frame{{"type", "p"},
               {"n", call.number},
               {"s", call.service},
               {"m", call.model.model},
               {"a", call.model.adapter},
               {"v", std::move(parts)},
               {"t", call.prompt_tokens},
               {"i", call.priority},
               {"w", ms_between(call.arrived, now)},
               {"b", ms_between(now, call.objective_deadline)},
               {"g", ms_between(now, call.queue_deadline)},
               {"h", ms_between(now, std::max(call.queue_deadline, call.load_deadline))},
               {"f", call.may_divert}};
    if (!call.data_centre.empty()) {
        frame["d"] = call.data_centre;
    }
    if (!call.excluded.empty()) {
        frame["x"] = call.excluded;
    }
    if (call.output_tokens > 0) {
        frame["o"] = call.output_tokens;
    }
    if (!call.tenant.empty()) {
        frame["c"] = call.tenant;
    }
    return frame;
}

std::optional<fleet::pending_call> decode_placement_request(const json& frame, time_point now) {
    const auto number = decode_call_number(frame);
    fleet::pending_call call;
    call.service = text_of(frame, "s");
    call.data_centre = text_of(frame, "d");
    if (!number || call.service.empty()) {
        return std::nullopt;
    }
    call.number = *number;
    call.model = {text_of(frame, "m"), text_of(frame, "a")};
    call.prompt = parts_of(frame);
    call.prompt_tokens = static_cast<std::size_t>(std::max<std::int64_t>(number_of(frame, "t"), 0));
    call.output_tokens = static_cast<std::size_t>(std::max<std::int64_t>(number_of(frame, "o"), 0));
    call.tenant = text_of(frame, "c");
    constexpr std::int64_t lowest_priority = 9;
    call.priority =
        static_cast<int>(std::clamp<std::int64_t>(number_of(frame, "i"), 0, lowest_priority));
    call.arrived = now - (after_ms(now, frame, "w") - now);
    call.objective_deadline = after_ms(now, frame, "b");
    call.queue_deadline = after_ms(now, frame, "g");
    call.load_deadline = after_ms(now, frame, "h");
    call.excluded = excluded_of(frame);
    const auto pass = frame.find("f");
    call.may_divert = pass != frame.end() && *pass == true;
    return call;
}

json placement_answer_frame(const placement_answer& answer) {
    const auto& decision = answer.decision;
    json frame{{"type", "g"}, {"n", decision.number}};
    if (answer.waiting) {
        frame["q"] = true;
        return frame;
    }
    frame["e"] = decision.endpoint;
    if (decision.version) {
        frame["v"] = *decision.version;
    }
    if (decision.endpoint.empty()) {
        frame["r"] = static_cast<std::uint64_t>(decision.reason);
        frame["a"] = decision.retry_after.count();
    }
    return frame;
}

std::optional<placement_answer> decode_placement_answer(const json& frame) {
    const auto number = decode_call_number(frame);
    if (!number) {
        return std::nullopt;
    }
    placement_answer answer;
    auto& decision = answer.decision;
    decision.number = *number;
    const auto waiting = frame.find("q");
    answer.waiting = waiting != frame.end() && *waiting == true;
    decision.endpoint = text_of(frame, "e");
    if (const auto version = frame.find("v");
        version != frame.end() && version->is_number_unsigned()) {
        decision.version = version->get<std::uint64_t>();
    }
    const auto reason = number_of(frame, "r");
    if (reason < 0 || reason > static_cast<std::int64_t>(fleet::refusal::too_large)) {
        return std::nullopt;
    }
    decision.reason = static_cast<fleet::refusal>(reason);
    decision.retry_after = milliseconds{std::clamp<std::int64_t>(number_of(frame, "a"), 0, max_ms)};
    return answer;
}

json placement_started_frame(std::uint64_t number) {
    return {{"type", "b"}, {"n", number}};
}

json placement_end_frame(const placement_end& end) {
    json frame{{"type", "f"}, {"n", end.number}};
    if (end.outcome != send_outcome::none) {
        frame["k"] = static_cast<std::uint64_t>(end.outcome);
    }
    return frame;
}

std::optional<placement_end> decode_placement_end(const json& frame) {
    const auto number = decode_call_number(frame);
    const auto outcome = number_of(frame, "k");
    if (!number || outcome < 0 || outcome > static_cast<std::int64_t>(send_outcome::not_resident)) {
        return std::nullopt;
    }
    return placement_end{*number, static_cast<send_outcome>(outcome)};
}

} // namespace dragonflystair::gateway
