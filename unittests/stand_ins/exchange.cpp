#include "exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace dragonflystair::stand_ins {

namespace {

/// Fits the largest append: 4,096 records, each up to 16 KiB for an outcome.
constexpr std::uint64_t body_limit_bytes = 64ULL * 1024 * 1024;

std::uint64_t parse_number(std::string_view text, std::string_view name) {
    std::uint64_t value = 0;
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc{} || stop != text.data() + text.size()) {
        throw std::runtime_error(fmt::format("{} is not a number", name));
    }
    return value;
}

} // namespace

awaitable<bool> exchange::read() {
    http::request_parser<http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    const auto [fault, size] = co_await http::async_read(stream_, buffer_, parser, returned);
    if (fault || closed_) {
        co_return false;
    }
    while (silent_) {
        buffer_.clear();
        const auto [ended, count] =
            co_await stream_.async_read_some(buffer_.prepare(16'384), returned);
        if (ended) {
            co_return false;
        }
    }
    request_ = parser.release();
    co_return true;
}

bool exchange::is(http::verb method, std::string_view path) const {
    return request_.method() == method && this->path() == path;
}

std::string exchange::path() const {
    const std::string target(request_.target());
    return target.substr(0, target.find('?'));
}

std::string exchange::header(std::string_view name) const {
    const auto found = request_.find(beast::string_view(name.data(), name.size()));
    return found == request_.end() ? std::string{} : std::string(found->value());
}

std::uint64_t exchange::query_number(std::string_view name, std::uint64_t fallback) const {
    const std::string target(request_.target());
    const auto question = std::min(target.find('?'), target.size() - 1);
    const auto query = "&" + target.substr(question + 1);
    const auto label = fmt::format("&{}=", name);
    const auto found = query.find(label);
    if (found == std::string::npos) {
        return fallback;
    }
    const auto begin = found + label.size();
    const auto end = std::min(query.find('&', begin), query.size());
    return parse_number(std::string_view(query).substr(begin, end - begin), name);
}

std::uint64_t exchange::header_number(std::string_view name, std::uint64_t fallback) const {
    const auto value = header(name);
    return value.empty() ? fallback : parse_number(value, name);
}

awaitable<void> exchange::respond(http::status status, json body) {
    const auto headers = std::exchange(headers_, {});
    if (mute()) {
        co_return;
    }
    http::response<http::string_body> response(status, request_.version());
    response.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : headers) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.body() = body.dump();
    response.prepare_payload();
    if (std::exchange(repeats_, false) && has_previous_) {
        const auto [fault, size] = co_await http::async_write(stream_, previous_, returned);
        closed_ = closed_ || fault;
    }
    const auto [fault, size] = co_await http::async_write(stream_, response, returned);
    closed_ = closed_ || fault;
    previous_ = std::move(response);
    has_previous_ = true;
}

awaitable<void> exchange::begin_stream() {
    if (mute()) {
        co_return;
    }
    http::response<http::empty_body> response(http::status::ok, request_.version());
    response.set(http::field::content_type, "text/event-stream");
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    const auto [fault, size] = co_await http::async_write_header(stream_, serializer, returned);
    closed_ = closed_ || fault;
}

template <class Buffers> awaitable<void> exchange::send(Buffers buffers) {
    if (mute()) {
        co_return;
    }
    const auto [fault, size] = co_await asio::async_write(stream_, buffers, returned);
    closed_ = closed_ || fault;
}

awaitable<void> exchange::write(std::string bytes) {
    co_await send(http::make_chunk(asio::buffer(bytes)));
}

awaitable<void> exchange::end_stream() {
    co_await send(http::make_chunk_last());
}

void exchange::drop() {
    closed_ = true;
    stream_.close();
}

bool exchange::caller_disconnected() {
    if (closed_ || silent_) {
        return closed_;
    }
    char byte = 0;
    closed_ = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    return closed_;
}

} // namespace dragonflystair::stand_ins
