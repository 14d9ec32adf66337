#pragma once

#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

/// Behaviour of the store towards its callers.
enum class store_mode {
    serve,
    refuse,       ///< Responds with 503 and does nothing.
    lose_answers, ///< Executes the request and aborts the response.
};

/// Stand-in of the platform's metadata store with the functions that gateways use: topics with one
/// partition that keep all records, and groups whose first live member is assigned everything.
class store_stand_in {
public:
    /// Fencing number of the first holder of a group.
    static constexpr std::uint64_t first_generation = 7;

    explicit store_stand_in(const net::executor& context)
        : server_(
              context, "127.0.0.1:0", {},
              [this](net::http_exchange& exchange) { return serve(exchange); }, counters_) {
        server_.start();
    }

    [[nodiscard]] std::string address() const { return server_.address(); }

    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        topics_[topic].emplace_back(key, value);
    }

    void set_mode(store_mode mode) { mode_ = mode; }

private:
    struct group {
        std::uint64_t generation = first_generation - 1;
        std::string holder;
        support::time_point expires;
    };

    static void append_big_endian(std::string& out, std::uint64_t value, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
        }
    }

    /// Returns the end offset, the first available offset, and the records from `from` on with
    /// their lengths.
    std::string page(const std::string& topic, std::uint64_t from) {
        const std::lock_guard lock(mutex_);
        const auto& records = topics_[topic];
        std::string out;
        append_big_endian(out, records.size(), 8);
        append_big_endian(out, 0, 8);
        for (auto i = from; i < records.size(); ++i) {
            const auto& [key, value] = records[i];
            append_big_endian(out, 1 + key.size() + value.size(), 4);
            append_big_endian(out, key.size(), 1);
            out += key + value;
        }
        return out;
    }

    bool has_records(const std::string& topic, std::uint64_t from) {
        const std::lock_guard lock(mutex_);
        return topics_[topic].size() > from;
    }

    /// Appends one record: four bytes of length, one byte of key length, key and value.
    void append(const std::string& topic, std::string_view body) {
        constexpr std::size_t head = 5;
        const auto length = static_cast<std::size_t>(static_cast<unsigned char>(body.at(head - 1)));
        put(topic, std::string(body.substr(head, length)), std::string(body.substr(head + length)));
    }

    std::string join(const support::json& body) {
        const std::lock_guard lock(mutex_);
        const auto now = support::boot_clock::now();
        auto& entry = groups_[body.at("group").get<std::string>()];
        const auto member = body.at("member").get<std::string>();
        if (entry.holder.empty() || entry.expires <= now) {
            entry.generation += entry.holder == member ? 0 : 1;
            entry.holder = member;
        }
        auto parts = support::json::array();
        if (entry.holder == member) {
            entry.expires = now + std::chrono::milliseconds(body.at("ttl-ms").get<int>());
            parts.push_back({"placement", 0, 0});
        }
        return support::json{{"generation", entry.generation}, {"parts", parts}}.dump();
    }

    void leave(const support::json& body) {
        const std::lock_guard lock(mutex_);
        auto& entry = groups_[body.at("group").get<std::string>()];
        if (entry.holder == body.at("member").get<std::string>()) {
            entry.holder.clear();
        }
    }

    net::http_response answer(const net::http_request& request) {
        net::http_response response;
        const auto path = net::path_of(request.target);
        const auto topic = net::query_value(request.target, "topic");
        response.body = "{}";
        if (path.ends_with("log-newest")) {
            response.body = R"({"items":[],"has-more":false,"end":0})";
        } else if (path.ends_with("log-read")) {
            response.body = page(topic, std::stoull(net::query_value(request.target, "from")));
        } else if (path.ends_with("log-append")) {
            append(topic, request.body);
        } else if (path.ends_with("log-join")) {
            response.body = join(support::json::parse(request.body));
        } else if (path.ends_with("log-leave")) {
            leave(support::json::parse(request.body));
        }
        return response;
    }

    /// Waits until a read has records to return or the wait time of the request has passed.
    net::awaitable<void> wait_for_records(const net::http_request& request) {
        const auto wait = net::query_value(request.target, "wait-ms");
        const auto topic = net::query_value(request.target, "topic");
        if (wait.empty()) {
            co_return;
        }
        const auto from = std::stoull(net::query_value(request.target, "from"));
        const auto end = support::boot_clock::now() + std::chrono::milliseconds(std::stoi(wait));
        boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
        while (!has_records(topic, from) && support::boot_clock::now() < end) {
            pause.expires_after(std::chrono::milliseconds{5});
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
    }

    net::awaitable<void> serve(net::http_exchange& exchange) {
        co_await wait_for_records(exchange.request());
        net::http_response response;
        if (mode_ == store_mode::refuse) {
            response.status = 503;
            co_await exchange.respond(std::move(response));
            co_return;
        }
        response = answer(exchange.request());
        if (mode_ == store_mode::lose_answers) {
            // A stream without an end breaks the connection.
            co_await exchange.begin_stream(std::move(response));
            co_return;
        }
        co_await exchange.respond(std::move(response));
    }

    std::atomic<store_mode> mode_{store_mode::serve};
    std::mutex mutex_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
    std::map<std::string, group> groups_;
    support::counters counters_;
    net::http_server server_;
};

/// Stand-in of an endpoint whose responses to orders and calls are set by the test.
class endpoint_stand_in {
public:
    using call_handler = std::function<net::awaitable<void>(net::http_exchange&)>;

    endpoint_stand_in(const net::executor& context, call_handler on_call)
        : on_call_(std::move(on_call)),
          server_(
              context, "127.0.0.1:0", {},
              [this](net::http_exchange& exchange) { return serve(exchange); }, counters_) {
        server_.start();
    }

    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] int calls() const { return calls_; }
    void set_order_status(int status) { order_status_ = status; }
    /// Sets the limit that responses name, no limit if it is empty. Handlers of calls add it by
    /// `add_limit`.
    void set_limit(const std::string& value) {
        const std::lock_guard lock(mutex_);
        limit_ = value;
    }
    /// Returns the times at which requests of any kind arrived, in order.
    [[nodiscard]] std::vector<support::time_point> arrivals() const {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    /// Adds the limit, if any, to a response.
    void add_limit(net::http_response& response) const {
        const std::lock_guard lock(mutex_);
        if (!limit_.empty()) {
            response.headers["Server-Limit"] = limit_;
        }
    }

    /// Returns a response head that repeats the request id and has a signature.
    static net::http_response signed_head(const net::http_exchange& exchange) {
        net::http_response head;
        head.headers["Request-Id"] =
            std::string(net::header(exchange.request().headers, "Request-Id"));
        head.headers["Server-Stamp"] = "signature";
        return head;
    }

private:
    net::awaitable<void> serve(net::http_exchange& exchange) {
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(support::boot_clock::now());
        }
        const auto& target = exchange.request().target;
        if (target.ends_with("/order") || target.ends_with("/report")) {
            net::http_response response;
            if (target.ends_with("/order")) {
                response.status = order_status_;
            } else {
                response.body =
                    R"({"seq":0,"models":[{"name":"base","version":1,"adapters":["known@1"]}]})";
            }
            add_limit(response);
            co_await exchange.respond(std::move(response));
            co_return;
        }
        ++calls_;
        co_await on_call_(exchange);
    }

    call_handler on_call_;
    mutable std::mutex mutex_;
    std::string limit_;
    std::vector<support::time_point> arrivals_;
    std::atomic<int> order_status_{202};
    std::atomic<int> calls_{0};
    support::counters counters_;
    net::http_server server_;
};

} // namespace dragonflystair::gateway
