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

/// More of an error's body is not read; messages are short.
constexpr std::size_t max_error_body_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_error_message_bytes = 512;

/// Message of an error body: OpenAI's `error.message`, problem details, or the text itself.
std::string message_of(int status, const std::string& body) {
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
    return body.empty() ? fmt::format("engine answered {}", status)
                        : body.substr(0, max_error_message_bytes);
}

/// Error of an order or a cancellation that was answered with `response`.
error order_error(const http_response& response) {
    const auto retry_after = retry_after_of(response.headers);
    auto message = message_of(response.status, response.body);
    switch (response.status) {
    case 409:
        return {error_kind::conflict, std::move(message), retry_after};
    case 503:
    case 507:
        return {error_kind::refused, std::move(message), retry_after};
    default:
        // An engine that fails in another way may have obeyed.
        return {response.status >= 500 ? error_kind::unknown : error_kind::refused,
                std::move(message), retry_after};
    }
}

async_result<http_request> post(std::string target, const json& message) {
    auto body = serialize_json(message);
    if (!body) {
        return error{error_kind::malformed, "body is not UTF-8", {}};
    }
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers["Content-Type"] = "application/json";
    request.body = std::move(*body);
    return request;
}

/// Sends an order on a new connection, so that `unknown` is rare and `unavailable` is certain.
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

async_result<engine_state> read_state(const std::string& body) {
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

/// Reads the body of an error answer. A broken one gives what came until then.
awaitable<std::string> error_body(http_body_stream* body, std::chrono::milliseconds timeout) {
    std::string text;
    while (text.size() < max_error_body_bytes) {
        auto piece = co_await body->read(timeout);
        if (!piece || !piece.value()) {
            break;
        }
        text += *piece.value();
    }
    co_return text;
}

} // namespace

awaitable<async_result<std::optional<stream::sse_event>>>
engine_stream::next(std::chrono::milliseconds timeout) {
    while (true) {
        auto item = reader_.next();
        if (item) {
            co_return std::move(item);
        }
        auto piece = co_await body_->read(timeout);
        if (!piece) {
            co_return piece.error();
        }
        if (!piece.value()) {
            co_return std::optional<stream::sse_event>();
        }
        reader_.feed(*piece.value());
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
                        message_of(response.value().status, response.value().body),
                        retry_after_of(response.value().headers)};
    }
    co_return read_state(response.value().body);
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
        co_return error{error_kind::malformed, "body is not an object", {}};
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
        co_return error{error_kind::refused, message_of(status, text), retry_after};
    }
    co_return std::make_unique<engine_stream>(std::move(body.value()));
}

awaitable<async_result<void>> engine_client::cancel(std::string address, std::string request_id,
                                                    std::chrono::milliseconds timeout) {
    json message{{"request_id", std::move(request_id)}};
    return order(&http_, std::move(address), "/v1/cancel", std::move(message), timeout);
}

} // namespace dragonflystair::net
