#include "model_request.h"

#include "dragonflystair/net/json_text.h"
#include "dragonflystair/support/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace dragonflystair::node {

namespace {

std::optional<std::uint64_t> number_of(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || fault != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

problem bad_request(std::string reason, std::string detail, int status = 400) {
    problem item;
    item.status = status;
    item.reason = std::move(reason);
    item.detail = std::move(detail);
    return item;
}

} // namespace

support::time_point deadline_of(const net::http_headers& headers, support::time_point now) {
    const auto named = number_of(net::header(headers, "X-Deadline-Ms"));
    if (!named) {
        return now + default_deadline;
    }
    const auto limit = static_cast<std::uint64_t>(longest_deadline.count());
    return now + std::chrono::milliseconds(std::min(*named, limit));
}

std::variant<model_request, problem> read_model_request(const net::http_request& request, bool chat,
                                                        const config_view& config,
                                                        support::time_point now) {
    model_request item;
    item.body = net::parse_json(request.body);
    if (item.body.is_discarded()) {
        return bad_request("malformed_json", "the body is not valid JSON in UTF-8");
    }
    if (!item.body.is_object() || !item.body.contains("model") || !item.body["model"].is_string()) {
        return bad_request("missing_model", "the body needs a string member 'model'");
    }
    const auto named = item.body["model"].get<std::string>();
    const auto full = config.deployment.full_name(named);
    const auto* adapter = config.deployment.find_adapter(named);
    if (!full || adapter == nullptr) {
        return bad_request("unknown_model", fmt::format("no adapter and version '{}'", named), 404);
    }
    if (item.body.contains("stream") && !item.body["stream"].is_boolean()) {
        return bad_request("malformed_request", "'stream' is not a boolean");
    }
    const auto last_id = net::header(request.headers, "Last-Event-ID");
    const auto last_position = number_of(last_id);
    if (!last_id.empty() && !last_position) {
        return bad_request("malformed_request", "Last-Event-ID is not a position");
    }
    item.service = adapter->service;
    item.model = *full;
    item.chat = chat;
    item.stream = item.body.value("stream", false);
    item.long_work = adapter->long_work;
    item.fingerprint = support::fingerprint(request.body);
    item.first_position = last_position ? *last_position + 1 : 0;
    item.deadline = deadline_of(request.headers, now);
    return item;
}

} // namespace dragonflystair::node
