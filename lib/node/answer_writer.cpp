#include "answer_writer.h"

#include "dragonflystair/stream/sse.h"

#include <fmt/format.h>

namespace dragonflystair::node {

namespace {

std::string event_text(const std::string& id, const std::string& event, const std::string& data) {
    return stream::render({id, event, data});
}

} // namespace

answer_writer::answer_writer(net::http_exchange& exchange, const model_request& request)
    : exchange_(exchange), request_(request) {}

net::awaitable<void> answer_writer::begin() {
    started_ = true;
    net::http_response head;
    head.headers["Content-Type"] = "text/event-stream";
    head.headers["Cache-Control"] = "no-store";
    co_await exchange_.begin_stream(std::move(head));
}

net::awaitable<bool> answer_writer::write(std::uint64_t position, const std::string& data) {
    if (!request_.stream) {
        buffer_event(data);
        co_return !exchange_.disconnected();
    }
    if (!started_) {
        co_await begin();
    }
    const auto text = event_text(fmt::format("{}", position), "", data);
    co_return co_await exchange_.write(text);
}

void answer_writer::buffer_event(const std::string& data) {
    auto event = support::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() ||
        event["choices"].empty() || !event["choices"][0].is_object()) {
        return;
    }
    const auto& choice = event["choices"][0];
    const auto& message = request_.chat && choice.contains("delta") ? choice["delta"] : choice;
    const auto member = request_.chat ? "content" : "text";
    if (message.is_object() && message.contains(member) && message[member].is_string()) {
        text_ += message[member].get<std::string>();
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        finish_reason_ = choice["finish_reason"].get<std::string>();
    }
    last_event_ = std::move(event);
}

net::awaitable<void> answer_writer::finish() {
    if (request_.stream) {
        if (!started_) {
            co_await begin();
        }
        const auto text = event_text("", "", "[DONE]");
        co_await exchange_.write(text);
        co_await exchange_.end_stream();
        co_return;
    }
    auto response = buffered_response();
    co_await exchange_.respond(std::move(response));
}

net::http_response answer_writer::buffered_response() const {
    support::json choice{{"index", 0},
                         {"finish_reason", finish_reason_.empty() ? "stop" : finish_reason_}};
    if (request_.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text_}};
    } else {
        choice["text"] = text_;
    }
    support::json body{{"object", request_.chat ? "chat.completion" : "text_completion"},
                       {"model", request_.model}};
    body["choices"] = support::json::array({std::move(choice)});
    if (last_event_.is_object() && last_event_.contains("id")) {
        body["id"] = last_event_["id"];
    }
    net::http_response response;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump();
    return response;
}

net::awaitable<void> answer_writer::refuse(const problem& refusal) {
    if (!started_) {
        co_await exchange_.respond(problem_response(refusal));
        co_return;
    }
    const auto text = event_text("", "error", problem_body(refusal));
    co_await exchange_.write(text);
    co_await exchange_.end_stream();
}

} // namespace dragonflystair::node
