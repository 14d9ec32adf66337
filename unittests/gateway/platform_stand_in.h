#pragma once

#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

/// The platform's metadata store with what one gateway needs of it: topics of one partition whose
/// newest records are kept, and groups whose only member holds everything.
class store_stand_in {
public:
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

private:
    static void append_big_endian(std::string& out, std::uint64_t value, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
        }
    }

    /// End, first kept offset, and the records from `from` on with their lengths.
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

    net::http_response answer(const net::http_request& request) {
        net::http_response response;
        const auto path = net::path_of(request.target);
        const auto topic = net::query_value(request.target, "topic");
        if (path.ends_with("log-newest")) {
            response.body = R"({"items":[],"has-more":false,"end":0})";
        } else if (path.ends_with("log-read")) {
            response.body = page(topic, std::stoull(net::query_value(request.target, "from")));
        } else if (path.ends_with("log-join")) {
            response.body = R"({"generation":7,"parts":[["placement",0,0]]})";
        } else {
            response.body = "{}";
        }
        return response;
    }

    net::awaitable<void> serve(net::http_exchange& exchange) {
        auto response = answer(exchange.request());
        co_await exchange.respond(std::move(response));
    }

    std::mutex mutex_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
    support::counters counters_;
    net::http_server server_;
};

/// An endpoint whose answers to orders and calls a test chooses.
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

    /// Head of an answer that repeats the request's id and carries a signature.
    static net::http_response signed_head(const net::http_exchange& exchange) {
        net::http_response head;
        head.headers["Request-Id"] =
            std::string(net::header(exchange.request().headers, "Request-Id"));
        head.headers["Server-Stamp"] = "signature";
        return head;
    }

private:
    net::awaitable<void> serve(net::http_exchange& exchange) {
        if (exchange.request().target.ends_with("/order")) {
            net::http_response response;
            response.status = order_status_;
            co_await exchange.respond(std::move(response));
            co_return;
        }
        ++calls_;
        co_await on_call_(exchange);
    }

    call_handler on_call_;
    std::atomic<int> order_status_{202};
    std::atomic<int> calls_{0};
    support::counters counters_;
    net::http_server server_;
};

} // namespace dragonflystair::gateway
