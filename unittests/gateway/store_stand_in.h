#pragma once

#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/support/base64.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

/// Behaviour of the store towards its callers.
enum class store_mode {
    serve,
    refuse,       ///< Responds with 503 and does nothing.
    disconnect,   ///< Does nothing and aborts the response.
    lose_answers, ///< Executes the request and aborts the response.
};

/// A group of the store whose only member holds everything.
struct store_group {
    std::uint64_t generation = 0;
    std::string holder;
    support::time_point expires;
};

/// Records of all topics, as pairs of key and value in the order of their offsets, and all groups
/// at some time.
struct store_copy {
    support::time_point taken;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics;
    std::map<std::string, store_group> groups;
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
        state_.topics[topic].emplace_back(key, value);
    }

    void set_mode(store_mode mode) {
        const std::lock_guard lock(mutex_);
        mode_ = mode;
    }

    /// Names the era in all responses from now on. The store names none before.
    void set_era(std::uint64_t era) {
        const std::lock_guard lock(mutex_);
        era_ = era;
    }

    /// Returns a copy of the present state.
    [[nodiscard]] store_copy copy() const {
        const std::lock_guard lock(mutex_);
        auto copy = state_;
        copy.taken = support::boot_clock::now();
        return copy;
    }

    /// Replaces the state by a copy, raises the era and serves. Memberships last as long as they
    /// would have from the time of the copy.
    void restore(store_copy copy) {
        const std::lock_guard lock(mutex_);
        const auto age = support::boot_clock::now() - copy.taken;
        for (auto& [name, entry] : copy.groups) {
            entry.expires += age;
        }
        state_ = std::move(copy);
        lists_served_.clear();
        ++restorations_;
        if (era_) {
            ++*era_;
        }
        mode_ = store_mode::serve;
    }

    /// Limits the number of items in a page of a list of newest records.
    void set_page_limit(std::size_t items) {
        const std::lock_guard lock(mutex_);
        page_limit_ = items;
    }

    /// Restores the store once, from this copy, after the next page of such a list that is not its
    /// last one.
    void restore_within_list(store_copy copy) {
        const std::lock_guard lock(mutex_);
        within_list_ = std::move(copy);
    }

    /// Returns how many lists of newest records of a topic were served to their last page since the
    /// last restoration.
    [[nodiscard]] int lists_served(const std::string& topic) const {
        const std::lock_guard lock(mutex_);
        const auto found = lists_served_.find(topic);
        return found == lists_served_.end() ? 0 : found->second;
    }

    /// Returns whether a topic has a value for a key.
    [[nodiscard]] bool has(const std::string& topic, const std::string& key) const {
        const std::lock_guard lock(mutex_);
        const auto found = state_.topics.find(topic);
        if (found == state_.topics.end()) {
            return false;
        }
        const auto newest = newest_offsets(found->second);
        const auto offset = newest.find(key);
        return offset != newest.end() && !found->second[offset->second].second.empty();
    }

private:
    using records = std::vector<std::pair<std::string, std::string>>;

    static constexpr std::size_t max_page_items = 500;

    static void append_big_endian(std::string& out, std::uint64_t value, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
        }
    }

    static std::map<std::string, std::size_t> newest_offsets(const records& log) {
        std::map<std::string, std::size_t> offsets;
        for (std::size_t i = 0; i < log.size(); ++i) {
            offsets.insert_or_assign(log[i].first, i);
        }
        return offsets;
    }

    /// Returns the end offset, the first available offset, and the records from `from` on with
    /// their lengths.
    static std::string page(const records& log, std::uint64_t from) {
        std::string out;
        append_big_endian(out, log.size(), 8);
        append_big_endian(out, 0, 8);
        for (auto i = from; i < log.size(); ++i) {
            const auto& [key, value] = log[i];
            append_big_endian(out, 1 + key.size() + value.size(), 4);
            append_big_endian(out, key.size(), 1);
            out += key + value;
        }
        return out;
    }

    net::http_response read(const std::string& topic, std::uint64_t from) {
        const auto& log = state_.topics[topic];
        net::http_response response;
        if (from > log.size()) {
            response.status = 410;
            response.body = R"({"first":0})";
            return response;
        }
        response.body = page(log, from);
        return response;
    }

    /// Returns a page of the newest records by key.
    std::string newest(const std::string& topic, const std::string& after) {
        const auto& log = state_.topics[topic];
        const auto offsets = newest_offsets(log);
        auto items = support::json::array();
        bool more = false;
        for (auto at = offsets.upper_bound(after); at != offsets.end() && !more; ++at) {
            const auto& value = log[at->second].second;
            if (value.empty()) {
                continue;
            }
            more = items.size() == page_limit_;
            if (!more) {
                items.push_back({{"key", at->first},
                                 {"value", support::to_base64(value)},
                                 {"offset", at->second}});
            }
        }
        restoration_due_ = more && within_list_.has_value();
        lists_served_[topic] += more ? 0 : 1;
        return support::json{{"items", items}, {"has-more", more}, {"end", log.size()}}.dump();
    }

    /// Appends one record: four bytes of length, one byte of key length, key and value.
    void append(const std::string& topic, std::string_view body) {
        constexpr std::size_t head = 5;
        const auto length = static_cast<std::size_t>(static_cast<unsigned char>(body.at(head - 1)));
        state_.topics[topic].emplace_back(std::string(body.substr(head, length)),
                                          std::string(body.substr(head + length)));
    }

    std::string join(const support::json& body) {
        const auto now = support::boot_clock::now();
        const auto [found, added] = state_.groups.try_emplace(
            body.at("group").get<std::string>(), store_group{first_generation - 1, {}, {}});
        auto& entry = found->second;
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
        auto& entry = state_.groups[body.at("group").get<std::string>()];
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
            response.body = newest(topic, net::query_value(request.target, "after"));
        } else if (path.ends_with("log-read")) {
            response = read(topic, std::stoull(net::query_value(request.target, "from")));
        } else if (path.ends_with("log-append")) {
            append(topic, request.body);
        } else if (path.ends_with("log-join")) {
            response.body = join(support::json::parse(request.body));
        } else if (path.ends_with("log-leave")) {
            leave(support::json::parse(request.body));
        }
        return response;
    }

    /// Returns whether a read need not wait any longer. One that began before a restoration ends
    /// with it.
    bool read_is_due(const std::string& topic, std::uint64_t from, int restorations) {
        const std::lock_guard lock(mutex_);
        return mode_ == store_mode::refuse || mode_ == store_mode::disconnect ||
               restorations != restorations_ || state_.topics[topic].size() != from;
    }

    int restorations() const {
        const std::lock_guard lock(mutex_);
        return restorations_;
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
        const auto before = restorations();
        boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
        while (!read_is_due(topic, from, before) && support::boot_clock::now() < end) {
            pause.expires_after(std::chrono::milliseconds{5});
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
    }

    /// Executes a request, unless the mode forbids it. The state that a response shows is that of
    /// the era that it names.
    std::pair<store_mode, net::http_response> execute(const net::http_request& request) {
        const std::lock_guard lock(mutex_);
        net::http_response response;
        if (mode_ == store_mode::refuse) {
            response.status = 503;
        } else if (mode_ != store_mode::disconnect) {
            response = answer(request);
        }
        if (era_) {
            response.headers["Store-Era"] = std::to_string(*era_);
        }
        return {mode_, std::move(response)};
    }

    /// Restores the store if that is due within the list that the last response began.
    void restore_if_due() {
        std::optional<store_copy> copy;
        {
            const std::lock_guard lock(mutex_);
            if (std::exchange(restoration_due_, false)) {
                copy = std::exchange(within_list_, std::nullopt);
            }
        }
        if (copy) {
            restore(std::move(*copy));
        }
    }

    net::awaitable<void> serve(net::http_exchange& exchange) {
        co_await wait_for_records(exchange.request());
        auto [mode, response] = execute(exchange.request());
        restore_if_due();
        if (mode == store_mode::lose_answers || mode == store_mode::disconnect) {
            // A stream without an end breaks the connection.
            co_await exchange.begin_stream(std::move(response));
            co_return;
        }
        co_await exchange.respond(std::move(response));
    }

    mutable std::mutex mutex_;
    store_mode mode_ = store_mode::serve;
    store_copy state_;
    std::optional<std::uint64_t> era_;
    int restorations_ = 0;
    std::size_t page_limit_ = max_page_items;
    std::optional<store_copy> within_list_;
    bool restoration_due_ = false;
    std::map<std::string, int> lists_served_;
    support::counters counters_;
    net::http_server server_;
};

} // namespace dragonflystair::gateway
