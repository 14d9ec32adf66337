#include "peer_frames.h"

#include "platform/call_headers.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::gateway {

using support::json;

namespace {

std::string text_at(const json& row, std::size_t index) {
    return row.size() > index && row[index].is_string() ? row[index].get<std::string>()
                                                        : std::string{};
}

std::uint64_t number_at(const json& row, std::size_t index) {
    return row.size() > index && row[index].is_number_unsigned() ? row[index].get<std::uint64_t>()
                                                                 : 0;
}

/// Returns the rows of a list member; entries that are not arrays are skipped.
std::vector<json> rows_of(const json& frame, const char* name) {
    std::vector<json> rows;
    const auto found = frame.find(name);
    if (found == frame.end() || !found->is_array()) {
        return rows;
    }
    std::ranges::copy_if(*found, std::back_inserter(rows),
                         [](const json& row) { return row.is_array(); });
    return rows;
}

/// Returns an unsigned member of a frame; 0 if it is missing or of another type.
std::uint64_t unsigned_in(const json& frame, const char* name) {
    const auto found = frame.find(name);
    return found != frame.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/// Returns whether a member of a frame is true.
bool flag_in(const json& frame, const char* name) {
    const auto found = frame.find(name);
    return found != frame.end() && *found == true;
}

/// Returns a text member of a frame; empty if it is missing or of another type.
std::string text_in(const json& frame, const char* name) {
    const auto found = frame.find(name);
    return found != frame.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// Returns the era, or 0, which is older than any, if it is damaged.
std::uint64_t checked_era(std::uint64_t era) {
    return era <= fleet::max_store_era ? era : 0;
}

std::uint64_t era_in(const json& frame) {
    return checked_era(unsigned_in(frame, "g"));
}

std::vector<held_lease> leases_of(const json& frame, const char* name) {
    std::vector<held_lease> leases;
    for (const auto& row : rows_of(frame, name)) {
        const bool active = row.size() > 2 && row[2] == true;
        leases.push_back({text_at(row, 0), number_at(row, 1), active});
    }
    return leases;
}

std::chrono::milliseconds silence_of(const json& frame) {
    constexpr std::uint64_t max_ms = 60'000; // Of a node that has been without the store for long.
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(std::min(unsigned_in(frame, "a"), max_ms))};
}

std::chrono::milliseconds returns_after_of(const json& row) {
    constexpr std::uint64_t max_ms = 60'000; // A longer time means a damaged frame.
    const auto ms = number_at(row, 5);
    return std::chrono::milliseconds{ms > max_ms ? 0 : static_cast<std::int64_t>(ms)};
}

} // namespace

json status_frame(const node_status& status) {
    json leases = json::array();
    for (const auto& lease : status.leases) {
        leases.push_back(json::array({lease.data_centre, lease.fence, lease.active}));
    }
    json observed = json::array();
    for (const auto& lease : status.observed_leases) {
        observed.push_back(json::array({lease.data_centre, lease.fence, lease.active}));
    }
    json ends = json::array();
    for (const auto& [topic, end] : status.topic_ends) {
        ends.push_back(json::array({topic, end.offset, end.era}));
    }
    return {{"type", "s"},
            {"n", status.name},
            {"d", status.data_centre},
            {"c", status.caller_address},
            {"r", status.ready},
            {"x", status.leaving},
            {"b", status.reads_store},
            {"a", static_cast<std::uint64_t>(status.store_silence.count())},
            {"l", std::move(leases)},
            {"k", std::move(observed)},
            {"p", status.lead},
            {"e", std::move(ends)},
            {"v", status.version_sum}};
}

std::optional<node_status> decode_status(const json& frame) {
    if (!frame.contains("n") || !frame["n"].is_string() || !frame.contains("d") ||
        !frame["d"].is_string() || !frame.contains("c") || !frame["c"].is_string()) {
        return std::nullopt;
    }
    node_status status;
    status.name = frame["n"].get<std::string>();
    status.data_centre = frame["d"].get<std::string>();
    status.caller_address = frame["c"].get<std::string>();
    status.ready = flag_in(frame, "r");
    status.leaving = flag_in(frame, "x");
    status.reads_store = flag_in(frame, "b");
    status.store_silence = silence_of(frame);
    status.leases = leases_of(frame, "l");
    status.observed_leases = leases_of(frame, "k");
    status.lead = text_in(frame, "p");
    for (const auto& row : rows_of(frame, "e")) {
        status.topic_ends.emplace(
            text_at(row, 0),
            fleet::log_position{checked_era(number_at(row, 2)), number_at(row, 1)});
    }
    status.version_sum = unsigned_in(frame, "v");
    return status;
}

json loads_frame(const fleet::load_report& report) {
    json rows = json::array();
    for (const auto& [endpoint, load] : report.loads) {
        auto row = json::array({endpoint, load.calls, load.pending_prefill_tokens});
        if (load.held_tokens > 0) {
            row.push_back(load.held_tokens);
        }
        rows.push_back(std::move(row));
    }
    json frame{{"type", "l"}, {"e", std::move(rows)}};
    if (report.sum) {
        frame["s"] = true;
    }
    return frame;
}

fleet::load_report decode_loads(const json& frame) {
    fleet::load_report report;
    constexpr std::uint64_t max_tokens = 1'000'000'000; // More means a damaged frame.
    for (const auto& row : rows_of(frame, "e")) {
        const auto held_tokens = std::min(number_at(row, 3), max_tokens);
        report.loads.emplace(text_at(row, 0), fleet::endpoint_load{number_at(row, 1),
                                                                   number_at(row, 2), held_tokens});
    }
    report.sum = flag_in(frame, "s");
    return report;
}

json demand_frame(const demand_notice& notice) {
    json demand = json::array();
    for (const auto& entry : notice.demand) {
        demand.push_back(json::array({entry.model.model, entry.model.adapter, entry.waiting,
                                      entry.diverted, entry.crowded, entry.retry_after.count()}));
    }
    json used = json::array();
    for (const auto& [name, calls] : notice.used) {
        used.push_back(json::array({name.model, name.adapter, calls}));
    }
    return {
        {"type", "d"}, {"d", notice.data_centre}, {"w", std::move(demand)}, {"u", std::move(used)}};
}

demand_notice decode_demand(const json& frame) {
    demand_notice notice;
    notice.data_centre = text_in(frame, "d");
    for (const auto& row : rows_of(frame, "w")) {
        notice.demand.push_back({{text_at(row, 0), text_at(row, 1)},
                                 notice.data_centre,
                                 number_at(row, 2),
                                 number_at(row, 3),
                                 number_at(row, 4),
                                 returns_after_of(row)});
    }
    for (const auto& row : rows_of(frame, "u")) {
        notice.used.insert_or_assign({text_at(row, 0), text_at(row, 1)}, number_at(row, 2));
    }
    return notice;
}

json residency_frame(std::span<const fleet::residency_change> changes) {
    json rows = json::array();
    for (const auto& change : changes) {
        rows.push_back(json::array({change.endpoint, change.model.model, change.model.adapter,
                                    static_cast<std::uint64_t>(change.state), change.version,
                                    change.run_tag}));
    }
    return {{"type", "h"}, {"c", std::move(rows)}};
}

std::vector<fleet::residency_change> decode_residency(const json& frame) {
    std::vector<fleet::residency_change> changes;
    for (const auto& row : rows_of(frame, "c")) {
        const auto state = number_at(row, 3);
        if (state <= static_cast<std::uint64_t>(fleet::residency::ready)) {
            changes.push_back({text_at(row, 0),
                               {text_at(row, 1), text_at(row, 2)},
                               static_cast<fleet::residency>(state),
                               number_at(row, 4),
                               number_at(row, 5)});
        }
    }
    return changes;
}

json records_request(const std::string& topic, fleet::log_position end) {
    return {{"type", "q"}, {"k", topic}, {"f", end.offset}, {"g", end.era}};
}

fleet::log_position decode_records_request(const json& frame) {
    return {era_in(frame), unsigned_in(frame, "f")};
}

json records_frame(const std::string& topic, const fleet::keyed_page& page) {
    json rows = json::array();
    for (const auto& record : page.records) {
        rows.push_back(json::array({record.key, record.offset, record.value.has_value(),
                                    record.value.value_or(""), record.inferred}));
    }
    return {{"type", "r"},    {"k", topic},    {"f", page.from},
            {"e", page.next}, {"g", page.era}, {"v", std::move(rows)}};
}

void mark_as_read(json& frame) {
    frame["a"] = true;
}

bool was_just_read(const json& frame) {
    return flag_in(frame, "a");
}

fleet::keyed_page decode_records(const json& frame) {
    fleet::keyed_page page;
    const auto damaged = [](const json& bound) { return !bound.is_number_unsigned(); };
    if (damaged(frame.value("e", json(0U))) || damaged(frame.value("f", json(0U)))) {
        return page; // Without its bounds, a page implies nothing about any record.
    }
    page.next = unsigned_in(frame, "e");
    // A page without a start offset implies nothing about the records before it.
    page.from = frame.contains("f") ? unsigned_in(frame, "f") : page.next;
    page.era = era_in(frame);
    for (const auto& row : rows_of(frame, "v")) {
        fleet::keyed_record record;
        record.key = text_at(row, 0);
        record.offset = number_at(row, 1);
        if (row.size() > 2 && row[2] == true) {
            record.value = text_at(row, 3);
        }
        record.inferred = row.size() > 4 && row[4] == true;
        page.records.push_back(std::move(record));
    }
    return page;
}

json removals_frame(std::span<const fleet::removed_endpoint> removed) {
    json rows = json::array();
    for (const auto& endpoint : removed) {
        rows.push_back(json::array({endpoint.id, endpoint.started_ms}));
    }
    return {{"type", "u"}, {"e", std::move(rows)}};
}

std::vector<fleet::removed_endpoint> decode_removals(const json& frame) {
    std::vector<fleet::removed_endpoint> removed;
    for (const auto& row : rows_of(frame, "e")) {
        if (auto id = text_at(row, 0); !id.empty()) {
            removed.push_back({std::move(id), number_at(row, 1)});
        }
    }
    return removed;
}

json forwarded_notice_frame(const forwarded_notice& notice) {
    return {{"type", "n"},
            {"e", notice.endpoint},
            {"t", notice.started_ms},
            {"l", notice.leaving},
            {"p", notice.pause.count()}};
}

std::optional<forwarded_notice> decode_forwarded_notice(const json& frame) {
    const auto row = json::array({frame.value("e", json()), frame.value("t", json()),
                                  frame.value("l", json()), frame.value("p", json())});
    forwarded_notice notice;
    notice.endpoint = text_at(row, 0);
    notice.started_ms = number_at(row, 1);
    notice.leaving = row[2] == true;
    constexpr std::uint64_t max_ms = 86'400'000; // One day, the longest possible pause.
    notice.pause =
        std::chrono::milliseconds{static_cast<std::int64_t>(std::min(number_at(row, 3), max_ms))};
    return notice.endpoint.empty() ? std::nullopt : std::optional(std::move(notice));
}

namespace {

/// Upper bound of the time that a frame takes on its way through two leads.
constexpr std::chrono::milliseconds max_relay_time{500};
constexpr std::uint64_t max_age_ms = 86'400'000;
/// Bound of counts in damaged frames, far above what a node can have waiting.
constexpr std::uint64_t max_permits = 1'000'000;

std::uint64_t age_ms(support::time_point then, support::time_point now) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
    return std::clamp<std::uint64_t>(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)), 0,
                                     max_age_ms);
}

json limit_row(const forwarded_limit& limit, support::time_point now) {
    const auto& observed = limit.observed;
    return json::array({limit.endpoint, observed.started_ms, observed.per_s.value_or(0),
                        age_ms(observed.sent, now), age_ms(observed.received_at, now)});
}

/// Reads a limit with its times widened by the time that the frame may have taken.
std::optional<forwarded_limit> limit_of(const json& row, support::time_point now) {
    using std::chrono::milliseconds;
    forwarded_limit limit;
    limit.endpoint = text_at(row, 0);
    if (limit.endpoint.empty() || row.size() < 5 || !row[2].is_number()) {
        return std::nullopt;
    }
    limit.observed.started_ms = number_at(row, 1);
    const auto per_s = row[2].get<double>();
    if (per_s < 0 || per_s > platform::max_endpoint_limit) {
        return std::nullopt;
    }
    if (per_s > 0) {
        limit.observed.per_s = per_s;
    }
    const auto age_at = [&](std::size_t index) {
        return milliseconds{static_cast<std::int64_t>(std::min(number_at(row, index), max_age_ms))};
    };
    limit.observed.sent = now - age_at(3) - max_relay_time;
    limit.observed.received_at = now - age_at(4);
    return limit;
}

} // namespace

json limit_frame(const forwarded_limit& limit, support::time_point now) {
    return {{"type", "m"}, {"l", limit_row(limit, now)}};
}

std::optional<forwarded_limit> decode_limit(const json& frame, support::time_point now) {
    const auto row = frame.find("l");
    return row == frame.end() || !row->is_array() ? std::nullopt : limit_of(*row, now);
}

json permit_request_frame(const permit_requests& requests, support::time_point now) {
    json rows = json::array();
    for (const auto& row : requests.rows) {
        auto cells = limit_row(row.limit, now);
        cells.push_back(row.wanted);
        rows.push_back(std::move(cells));
    }
    return {{"type", "a"}, {"o", requests.origin}, {"s", requests.request}, {"l", std::move(rows)}};
}

std::optional<permit_requests> decode_permit_requests(const json& frame, support::time_point now) {
    const auto head = json::array({frame.value("o", json()), frame.value("s", json())});
    permit_requests requests;
    requests.origin = text_at(head, 0);
    requests.request = number_at(head, 1);
    for (const auto& row : rows_of(frame, "l")) {
        if (auto limit = limit_of(row, now)) {
            requests.rows.push_back({std::move(*limit), std::min(number_at(row, 5), max_permits)});
        }
    }
    return requests.origin.empty() ? std::nullopt : std::optional(std::move(requests));
}

json permit_answer_frame(const permit_answer& answer) {
    const auto ms = [](std::chrono::milliseconds value) {
        return static_cast<std::uint64_t>(value.count());
    };
    return {{"type", "v"},
            {"l", json::array({answer.origin, answer.request, answer.endpoint, answer.count,
                               ms(answer.next_in), ms(answer.interval)})}};
}

std::optional<permit_answer> decode_permit_answer(const json& frame) {
    const auto row = frame.find("l");
    if (row == frame.end() || !row->is_array()) {
        return std::nullopt;
    }
    const auto ms_at = [&row](std::size_t index) {
        return std::chrono::milliseconds{
            static_cast<std::int64_t>(std::min(number_at(*row, index), max_age_ms))};
    };
    permit_answer answer;
    answer.origin = text_at(*row, 0);
    answer.request = number_at(*row, 1);
    answer.endpoint = text_at(*row, 2);
    answer.count = std::min(number_at(*row, 3), max_permits);
    answer.next_in = ms_at(4);
    answer.interval = ms_at(5);
    return answer.origin.empty() || answer.endpoint.empty() ? std::nullopt
                                                            : std::optional(std::move(answer));
}

} // namespace dragonflystair::gateway
