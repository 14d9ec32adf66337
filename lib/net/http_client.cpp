#include "dragonflystair/net/http_client.h"

#include "http_client_stream.h"
#include "http_pool.h"
#include "response_status.h"
#include "run_on.h"
#include "socket_address.h"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>
#include <variant>

namespace dragonflystair::net {

using support::error;
using support::error_kind;

namespace {

/// Same as the default limit of the server.
constexpr std::uint32_t max_header_bytes = 16 * 1024;

/// Limit of the bytes of interim responses and of late copies that precede a response.
constexpr std::size_t max_skipped_bytes = std::size_t{256} * 1024;

/// A request ready to be sent, or the reason why it cannot be sent.
struct prepared_request {
    std::shared_ptr<const outgoing_request> message;
    tcp::endpoint address;
    std::string fault;
};

/// What a client expects of every response.
struct response_rules {
    std::size_t max_body_bytes = 0;
    std::string id_header; ///< Empty if servers echo no ids.
};

enum class response_owner {
    this_request,
    other_request,
    unidentified, ///< The response carries no id, or several.
};

bool valid_target(std::string_view target) {
    return target.starts_with('/') &&
           std::ranges::all_of(target, [](char c) { return c > ' ' && c != '\x7f'; });
}

prepared_request prepare(const std::string& address, http_request request) {
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        return {{}, {}, "not an address of the form IP:PORT: " + address};
    }
    if (!valid_target(request.target) || request.method.empty() ||
        !valid_headers(request.headers)) {
        return {{}, {}, "request line or headers contain characters that cannot be sent"};
    }
    auto message = std::make_shared<const outgoing_request>(to_beast(std::move(request), address));
    return {std::move(message), *endpoint, {}};
}

/// Returns whether another response follows.
bool is_interim(unsigned status) {
    return status >= 100 && status < 200;
}

connection_fault invalid_status(unsigned status) {
    return {error{error_kind::malformed, "response: status " + std::to_string(status), {}}};
}

connection_fault ended_before_request() {
    return {error{
        error_kind::unknown, "response without a length ended before the request was sent", {}}};
}

connection_fault too_many_skipped() {
    return {error{error_kind::malformed, "too many bytes before the matching response", {}}};
}

/// Closes a connection that is not kept, which also ends a write that is still in progress.
class closing_guard {
public:
    explicit closing_guard(std::shared_ptr<http_connection> connection)
        : connection_(std::move(connection)) {}
    ~closing_guard() {
        if (connection_) {
            connection_->close_now();
        }
    }
    closing_guard(const closing_guard&) = delete;
    closing_guard& operator=(const closing_guard&) = delete;

    void keep() { connection_.reset(); }

private:
    std::shared_ptr<http_connection> connection_;
};

response_owner owner_of(const http::fields& response, const outgoing_request& request,
                        const std::string& id_header) {
    const auto found = response.find(id_header);
    if (found == response.end() || response.count(id_header) > 1) {
        return response_owner::unidentified;
    }
    const auto sent = request.find(id_header);
    return sent != request.end() && sent->value() == found->value() ? response_owner::this_request
                                                                    : response_owner::other_request;
}

using exchange_result = std::variant<http_response, connection_fault>;

/// Reads one whole response, which may be interim, and adds its size to `received_bytes`.
awaitable<std::optional<connection_fault>>
read_response(std::shared_ptr<http_connection> connection,
              http::response_parser<http::string_body>& parser, http::verb method,
              std::size_t& received_bytes) {
    const auto [head_code, head_bytes] =
        co_await http::async_read_header(connection->socket, connection->buffer, parser, no_throw);
    if (head_code) {
        co_return co_await connection->read_fault(head_code, parser.got_some(), method);
    }
    if (!is_response_status(static_cast<int>(parser.get().result_int()))) {
        co_return invalid_status(parser.get().result_int());
    }
    const auto [code, body_bytes] =
        co_await http::async_read(connection->socket, connection->buffer, parser, no_throw);
    if (code) {
        co_return co_await connection->read_fault(code, true, method);
    }
    received_bytes += head_bytes + body_bytes;
    co_return std::nullopt;
}

/// Sends one request and reads the whole response; runs on the connection's strand.
awaitable<exchange_result> run_exchange(std::shared_ptr<http_connection> connection,
                                        std::shared_ptr<const outgoing_request> request,
                                        tcp::endpoint address, deadline::time_point until,
                                        std::weak_ptr<http_pool> pool, response_rules rules) {
    const bool identifies = !rules.id_header.empty();
    closing_guard guard(connection);
    connection->set_deadline(until);
    if (connection->reused && !connection->is_reusable()) {
        co_return connection_fault{
            error{error_kind::unavailable, "idle connection is no longer usable", {}}, true};
    }
    auto fault = co_await connection->send(address, request);
    if (fault) {
        co_return std::move(*fault);
    }
    std::optional<http::response_parser<http::string_body>> parser;
    auto owner = response_owner::unidentified;
    std::size_t received_bytes = 0;
    while (true) {
        parser.emplace();
        parser->header_limit(max_header_bytes);
        parser->body_limit(rules.max_body_bytes);
        parser->skip(request->method() == http::verb::head);
        fault = co_await read_response(connection, *parser, request->method(), received_bytes);
        if (fault) {
            co_return std::move(*fault);
        }
        if (identifies) {
            owner = owner_of(parser->get(), *request, rules.id_header);
        }
        const bool is_other = owner == response_owner::other_request;
        if (!is_other && !is_interim(parser->get().result_int())) {
            break;
        }
        if (received_bytes > max_skipped_bytes) {
            co_return too_many_skipped();
        }
    }
    connection->timer.disarm();
    const bool has_request = co_await connection->server_has_request();
    if (parser->need_eof() && !has_request) {
        co_return ended_before_request();
    }
    if (owner == response_owner::this_request) {
        connection->echoes_ids = true;
    } else if (connection->echoes_ids) {
        co_return connection_fault{
            error{error_kind::unknown,
                  "response without a request id from a server that echoes ids",
                  {}}};
    }
    auto message = parser->release();
    const auto live_pool = pool.lock();
    if (live_pool && message.keep_alive() && !message.need_eof() && has_request) {
        guard.keep();
        live_pool->release(to_string(address), connection);
    }
    http_response response;
    response.status = static_cast<int>(message.result_int());
    response.headers = headers_of(message);
    response.repeated_headers = repeated_headers_of(message);
    response.body = std::move(message.body());
    co_return response;
}

/// Connects, sends the request and reads the head of the response; runs on the connection's strand.
awaitable<std::optional<connection_fault>>
open_stream_on(std::shared_ptr<http_connection> connection,
               std::shared_ptr<const outgoing_request> request, tcp::endpoint address,
               deadline::time_point until,
               std::shared_ptr<std::optional<http_client_stream::body_parser>> parser) {
    closing_guard guard(connection);
    std::size_t skipped_bytes = 0;
    connection->set_deadline(until);
    auto fault = co_await connection->send(address, request);
    if (fault) {
        co_return fault;
    }
    do {
        parser->emplace();
        (*parser)->header_limit(max_header_bytes);
        (*parser)->body_limit(boost::none);
        const auto [code, bytes] = co_await http::async_read_header(
            connection->socket, connection->buffer, **parser, no_throw);
        if (code) {
            co_return co_await connection->read_fault(code, (*parser)->got_some(),
                                                      request->method());
        }
        if (!is_response_status(static_cast<int>((*parser)->get().result_int()))) {
            co_return invalid_status((*parser)->get().result_int());
        }
        skipped_bytes += bytes;
        if (skipped_bytes > max_skipped_bytes) {
            co_return too_many_skipped();
        }
    } while (is_interim((*parser)->get().result_int()));
    connection->timer.disarm();
    guard.keep();
    co_return std::nullopt;
}

} // namespace

struct http_client::impl {
    impl(executor used, response_rules chosen)
        : context(std::move(used)), rules(std::move(chosen)) {}

    executor context;
    response_rules rules;
    std::shared_ptr<http_pool> pool = std::make_shared<http_pool>();
};

http_client::http_client(executor context, std::size_t max_body_bytes, std::string id_header)
    : impl_(std::make_shared<impl>(std::move(context),
                                   response_rules{max_body_bytes, std::move(id_header)})) {}

http_client::~http_client() {
    impl_->pool->close();
}

awaitable<async_result<http_response>> http_client::request(std::string address,
                                                            http_request request,
                                                            std::chrono::milliseconds timeout,
                                                            bool reuse) {
    const auto self = impl_;
    const auto until = std::chrono::steady_clock::now() + timeout;
    const auto prepared = prepare(address, std::move(request));
    if (!prepared.message) {
        co_return error{error_kind::malformed, prepared.fault, {}};
    }
    const std::string key = to_string(prepared.address);
    const auto& id_header = self->rules.id_header;
    const bool may_reuse = reuse && (id_header.empty() || prepared.message->count(id_header) > 0);
    // Terminates because each iteration removes an idle connection from the pool or opens a new
    // one, and the faults of a new one are never retryable.
    while (true) {
        auto connection = may_reuse ? self->pool->acquire(key) : nullptr;
        if (!connection) {
            connection = std::make_shared<http_connection>(self->context);
        }
        const executor strand = connection->strand;
        auto work = run_exchange(connection, prepared.message, prepared.address, until, self->pool,
                                 self->rules);
        connection.reset();
        auto result = co_await run_on(strand, std::move(work));
        if (auto* const response = std::get_if<http_response>(&result)) {
            co_return std::move(*response);
        }
        auto& fault = std::get<connection_fault>(result);
        if (!fault.retryable) {
            co_return std::move(fault.error);
        }
    }
}

awaitable<async_result<std::unique_ptr<http_body_stream>>>
http_client::open_stream(std::string address, http_request request,
                         std::chrono::milliseconds timeout) {
    const auto self = impl_;
    const auto until = std::chrono::steady_clock::now() + timeout;
    const auto prepared = prepare(address, std::move(request));
    if (!prepared.message) {
        co_return error{error_kind::malformed, prepared.fault, {}};
    }
    auto connection = std::make_shared<http_connection>(self->context);
    auto parser = std::make_shared<std::optional<http_client_stream::body_parser>>();
    auto work = open_stream_on(connection, prepared.message, prepared.address, until, parser);
    auto fault = co_await run_on(connection->strand, std::move(work));
    if (fault) {
        co_return std::move(fault->error);
    }
    std::unique_ptr<http_body_stream> stream = std::make_unique<http_client_stream>(
        std::move(connection), std::shared_ptr<http_client_stream::body_parser>(parser, &**parser));
    co_return std::move(stream);
}

} // namespace dragonflystair::net
