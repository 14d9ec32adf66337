#include "dragonflystair/net/engine_client.h"

#include "dragonflystair/net/json_text.h"
#include "dragonflystair/net/problem.h"

#include "json_members.h"

#include <fmt/format.h>

#include <utility>

namespace dragonflystair::net {

using support::error;
using support::error_kind;
using support::json;

namespace {

/// Limit for reading the body of an error response; messages are short.
constexpr std::size_t max_error_body_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_error_message_bytes = 512;

/// Limit on the size of one event. Events hold a few tokens.
constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

/// Extracts the message of an error response: OpenAI's `error.message`, problem details, or the
/// text itself.
std::string error_message(int status, const std::string& body) {
    const json value = parse_json(body);
    if (value.is_object()) {
        const json& inner = value.contains("error") ? value["error"] : value;
        for (const auto* const name : {"message", "detail", "title"}) {
            if (inner.is_object() && inner.contains(name) && inner[name].is_string()) {
                return inner[name].get<std::string>().substr(0, max_error_message_bytes);
            }
        }
        if (inner.is_string()) {
            return inner.get<std::string>().substr(0, max_error_message_bytes);
        }
    }
    return body.empty() ? fmt::format("engine responded with status {}", status)
                        : body.substr(0, max_error_message_bytes);
}

/// Maps an unsuccessful response to an order or a cancellation to an error.
error order_error(const http_response& response) {
    const auto retry_after = retry_after_of(response.headers);
    auto message = error_message(response.status, response.body);
    switch (response.status) {
    case 409:
        return {error_kind::conflict, std::move(message), retry_after};
    case 503:
    case 507:
        return {error_kind::refused, std::move(message), retry_after};
    default:
        // After any other server error, the engine may have carried out the order.
        return {response.status >= 500 ? error_kind::unknown : error_kind::refused,
                std::move(message), retry_after};
    }
}

async_result<http_request> post(std::string target, const json& message) {
    auto body = serialize_json(message);
    if (!body) {
        return error{error_kind::malformed, "request body is not UTF-8", {}};
    }
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers["Content-Type"] = "application/json";
    request.body = std::move(*body);
    return request;
}

/// Sends an order on a new connection. A reused one may be closed by the engine before it reads the
/// order, which gives `unknown`; if the engine is down, a new one reliably gives `unavailable`.
awaitable<async_result<void>> order(http_client* http, std::string address, std::string target,
                                    json message, std::chrono::milliseconds timeout) {
    auto request = post(std::move(target), message);
    if (!request) {
        co_return request.error();
    }
    auto response =
        co_await http->request(std::move(address), std::move(request.value()), timeout, false);
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != 200) {
        co_return order_error(response.value());
    }
    co_return boost::outcome_v2::success();
}

async_result<engine_state> parse_state(const std::string& body) {
    const json value = parse_json(body);
    json_members members(value);
    engine_state state;
    state.start = members.text("start");
    state.model = members.text("model");
    state.slots = members.number("slots");
    state.batch_limit = members.number("batch_limit");
    state.running = members.number("running");
    state.queued = members.number("queued");
    state.resident = members.texts("resident");
    for (const auto& [name, count] : members.object("active").items()) {
        if (!count.is_number_unsigned()) {
            members.fail("active");
            break;
        }
        state.active[name] = count.get<std::size_t>();
    }
    if (!members.ok()) {
        return members.error();
    }
    return state;
}

/// Reads the body of an error response. If the read fails, returns the part received before.
awaitable<std::string> error_body(http_body_stream* body, std::chrono::milliseconds timeout) {
    std::string text;
    while (text.size() < max_error_body_bytes) {
        auto chunk = co_await body->read(timeout);
        if (!chunk || !chunk.value()) {
            break;
        }
        text += *chunk.value();
    }
    co_return text;
}

} // namespace

awaitable<async_result<std::optional<stream::sse_event>>>
engine_stream::next(std::chrono::milliseconds timeout) {
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (true) {
        auto event = reader_.next();
        if (event) {
            co_return std::move(event);
        }
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        if (remaining.count() <= 0 || reader_.buffered_bytes() > max_event_bytes) {
            body_->close();
            co_return error{
                error_kind::unknown, "no whole event in time or within the size limit", {}};
        }
        auto chunk = co_await body_->read(remaining);
        if (!chunk) {
            co_return chunk.error();
        }
        if (!chunk.value()) {
            co_return std::optional<stream::sse_event>();
        }
        reader_.feed(*chunk.value());
    }
}

awaitable<async_result<engine_state>> engine_client::state(std::string address,
                                                           std::chrono::milliseconds timeout) {
    http_request request;
    request.target = "/v1/state";
    auto response = co_await http_.request(std::move(address), std::move(request), timeout);
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != 200) {
        co_return error{error_kind::unavailable,
                        error_message(response.value().status, response.value().body),
                        retry_after_of(response.value().headers)};
    }
    co_return parse_state(response.value().body);
}

awaitable<async_result<void>> engine_client::load(std::string address, std::string adapter,
                                                  std::uint64_t fence,
                                                  std::chrono::milliseconds timeout) {
    json message{{"lora_name", std::move(adapter)}, {"fence", fence}};
    return order(&http_, std::move(address), "/v1/load_lora_adapter", std::move(message), timeout);
}

awaitable<async_result<void>> engine_client::unload(std::string address, std::string adapter,
                                                    std::uint64_t fence,
                                                    std::chrono::milliseconds timeout) {
    json message{{"lora_name", std::move(adapter)}, {"fence", fence}};
    return order(&http_, std::move(address), "/v1/unload_lora_adapter", std::move(message),
                 timeout);
}

awaitable<async_result<std::unique_ptr<engine_stream>>>
engine_client::complete(std::string address, engine_call call, std::chrono::milliseconds timeout) {
    if (!call.body.is_object()) {
        co_return error{error_kind::malformed, "request body is not a JSON object", {}};
    }
    call.body["stream"] = true;
    std::string target = call.chat ? "/v1/chat/completions" : "/v1/completions";
    auto request = post(std::move(target), call.body);
    if (!request) {
        co_return request.error();
    }
    request.value().headers["X-Request-Id"] = call.request_id;
    if (call.resume_from > 0) {
        request.value().headers["X-Resume-From"] = std::to_string(call.resume_from);
    }
    auto body = co_await http_.open_stream(std::move(address), std::move(request.value()), timeout);
    if (!body) {
        co_return body.error();
    }
    const auto status = body.value()->head().status;
    if (status != 200) {
        const auto retry_after = retry_after_of(body.value()->head().headers);
        const auto text = co_await error_body(body.value().get(), timeout);
        co_return error{error_kind::refused, error_message(status, text), retry_after};
    }
    co_return std::make_unique<engine_stream>(std::move(body.value()));
}

awaitable<async_result<void>> engine_client::cancel(std::string address, std::string request_id,
                                                    std::chrono::milliseconds timeout) {
    json message{{"request_id", std::move(request_id)}};
    return order(&http_, std::move(address), "/v1/cancel", std::move(message), timeout);
}

} // namespace dragonflystair::net
