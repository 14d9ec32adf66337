#include "model_request.h"

#include "dragonflystair/net/json_text.h"
#include "dragonflystair/support/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace dragonflystair::node {

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || fault != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

problem bad_request(std::string reason, std::string detail, int status = 400) {
    problem refusal;
    refusal.status = status;
    refusal.reason = std::move(reason);
    refusal.detail = std::move(detail);
    return refusal;
}

} // namespace

support::time_point deadline_of(const net::http_headers& headers, support::time_point now) {
    const auto requested = parse_number(net::header(headers, "X-Deadline-Ms"));
    if (!requested) {
        return now + default_deadline;
    }
    const auto limit = static_cast<std::uint64_t>(max_deadline.count());
    return now + std::chrono::milliseconds(std::min(*requested, limit));
}

std::variant<model_request, problem> read_model_request(const net::http_request& request, bool chat,
                                                        const config_view& config,
                                                        support::time_point now) {
    model_request parsed;
    parsed.body = net::parse_json(request.body);
    if (parsed.body.is_discarded()) {
        return bad_request("malformed_json", "the request body is not valid UTF-8 JSON");
    }
    if (!parsed.body.is_object() || !parsed.body.contains("model") ||
        !parsed.body["model"].is_string()) {
        return bad_request("missing_model", "the request body has no string member 'model'");
    }
    const auto requested = parsed.body["model"].get<std::string>();
    const auto full = config.deployment.full_name(requested);
    const auto* adapter = config.deployment.find_adapter(requested);
    if (!full || adapter == nullptr) {
        return bad_request("unknown_model",
                           fmt::format("no such adapter or version: '{}'", requested), 404);
    }
    if (parsed.body.contains("stream") && !parsed.body["stream"].is_boolean()) {
        return bad_request("malformed_request", "'stream' is not a boolean");
    }
    const auto last_id = net::header(request.headers, "Last-Event-ID");
    const auto last_position = parse_number(last_id);
    if (!last_id.empty() && !last_position) {
        return bad_request("malformed_request", "Last-Event-ID is not a stream position");
    }
    parsed.service = adapter->service;
    parsed.model = *full;
    parsed.chat = chat;
    parsed.stream = parsed.body.value("stream", false);
    parsed.long_work = adapter->long_work;
    parsed.fingerprint = support::fingerprint(request.body);
    parsed.first_position = last_position ? *last_position + 1 : 0;
    parsed.deadline = deadline_of(request.headers, now);
    return parsed;
}

} // namespace dragonflystair::node
