#include "dragonflystair/net/log_client.h"

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

/// Timeout of a request, in addition to the time that the service may wait for an entry.
constexpr std::chrono::milliseconds response_timeout{3'000};

error status_error(const http_response& response) {
    const auto retry_after = retry_after_of(response.headers);
    const auto message = fmt::format("log service responded with status {}", response.status);
    switch (response.status) {
    case 410:
        return {error_kind::gone, message, retry_after};
    case 429:
        return {error_kind::rate_limited, message, retry_after};
    case 503:
        return {error_kind::unavailable, message, retry_after};
    default:
        // After any other server error, the service may have appended the record.
        return {response.status >= 500 ? error_kind::unknown : error_kind::refused, message,
                retry_after};
    }
}

async_result<log_page> parse_page(const std::string& body) {
    const json value = parse_json(body);
    json_members members(value);
    log_page page;
    page.first = members.number("first");
    page.next = members.number("next");
    for (const auto& item : members.array("records")) {
        json_members entry(item);
        page.entries.push_back({entry.number("offset"), entry.text("writer"),
                                entry.number("sequence"), entry.any("payload")});
        if (!entry.ok()) {
            return entry.error();
        }
    }
    if (!members.ok()) {
        return members.error();
    }
    return page;
}

http_request read_request(const std::string& stream, std::uint64_t from, std::size_t limit,
                          std::chrono::milliseconds wait) {
    http_request request;
    request.target = fmt::format("/v1/streams/{}/records?from={}&limit={}&wait_ms={}", stream, from,
                                 limit, wait.count());
    return request;
}

} // namespace

log_client::log_client(http_client& http, std::string address)
    : http_(http), address_(std::move(address)) {}

awaitable<async_result<std::uint64_t>> log_client::append(std::string stream, std::string writer,
                                                          std::uint64_t sequence, json payload,
                                                          std::chrono::milliseconds timeout) {
    const json message{
        {"writer", std::move(writer)}, {"sequence", sequence}, {"payload", std::move(payload)}};
    auto body = serialize_json(message);
    if (!body) {
        co_return error{error_kind::malformed, "payload is not UTF-8", {}};
    }
    http_request request;
    request.method = "POST";
    request.target = fmt::format("/v1/streams/{}/append", stream);
    request.headers["Content-Type"] = "application/json";
    request.body = std::move(*body);
    auto response = co_await http_.request(address_, std::move(request), timeout);
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != 200) {
        co_return status_error(response.value());
    }
    const json value = parse_json(response.value().body);
    json_members members(value);
    const auto offset = members.number("offset");
    if (!members.ok()) {
        co_return members.error();
    }
    co_return offset;
}

awaitable<async_result<log_page>> log_client::read(std::string stream, std::uint64_t from,
                                                   std::size_t limit,
                                                   std::chrono::milliseconds wait) {
    auto request = read_request(stream, from, limit, wait);
    auto response = co_await http_.request(address_, std::move(request), wait + response_timeout);
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != 200) {
        co_return status_error(response.value());
    }
    co_return parse_page(response.value().body);
}

awaitable<async_result<std::uint64_t>> log_client::first_offset(std::string stream) {
    auto request = read_request(stream, 0, 1, {});
    auto response = co_await http_.request(address_, std::move(request), response_timeout);
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != 200 && response.value().status != 410) {
        co_return status_error(response.value());
    }
    const json value = parse_json(response.value().body);
    json_members members(value);
    const auto first = members.number("first");
    if (!members.ok()) {
        co_return members.error();
    }
    co_return first;
}

} // namespace dragonflystair::net
