#include "log_part.h"

#include <algorithm>
#include <string_view>

namespace dragonflystair::stand_ins {

namespace {

constexpr std::string_view prefix = "/v1/streams/";
/// Bounds how long a reader that has gone away is kept.
constexpr std::uint64_t longest_wait_ms = 60'000;
constexpr std::uint64_t largest_page = 1'000;

} // namespace

log_part::log_part(asio::any_io_executor context, section& settings)
    : part(std::move(context), settings), appends_(settings.number("appends_per_second", 500)),
      retention_(settings.number("retention", 100'000)) {
    on_control("lose_answers", lose_answers_);
    on_control("outage", [this](const json& value) {
        outage_ = value.get<bool>();
        for (auto& [name, target] : streams_) {
            target.appended.notify_all();
        }
    });
}

awaitable<void> log_part::handle(exchange& call) {
    const auto path = call.path();
    const auto slash = path.rfind('/');
    if (!path.starts_with(prefix) || slash < prefix.size()) {
        co_await call.refuse(http::status::not_found, "no such path");
        co_return;
    }
    auto& target = stream_named(path.substr(prefix.size(), slash - prefix.size()));
    const auto action = path.substr(slash + 1);
    if (outage_) {
        count("refused_outage");
        co_await call.refuse(http::status::service_unavailable, "outage");
    } else if (call.method() == http::verb::post && action == "append") {
        co_await append(call, target);
    } else if (call.method() == http::verb::get && action == "records") {
        co_await read(call, target);
    } else {
        co_await call.refuse(http::status::not_found, "no such path");
    }
}

log_part::stream& log_part::stream_named(const std::string& name) {
    return streams_.try_emplace(name, context()).first->second;
}

awaitable<void> log_part::append(exchange& call, stream& target) {
    const auto body = call.body();
    if (!body.at("payload").is_array()) {
        throw std::runtime_error("payload is not an array");
    }
    if (!appends_.allow(steady::now())) {
        count("refused_rate");
        co_await call.refuse(http::status::too_many_requests, "over the append rate");
        co_return;
    }
    const auto offset = target.next();
    target.records.push_back({{"offset", offset},
                              {"writer", body.at("writer").get<std::string>()},
                              {"sequence", body.at("sequence").get<std::uint64_t>()},
                              {"payload", body.at("payload")}});
    if (target.records.size() > retention_) {
        target.records.pop_front();
        ++target.first;
    }
    count("appends");
    target.appended.notify_all();
    if (take_one(lose_answers_)) {
        call.drop();
        co_return;
    }
    const json answer{{"offset", offset}};
    co_await call.respond(http::status::ok, answer);
}

awaitable<void> log_part::read(exchange& call, stream& source) {
    const auto from = call.query_number("from", 0);
    const auto limit = std::min(call.query_number("limit", largest_page), largest_page);
    const auto wait_ms = std::min(call.query_number("wait_ms", 0), longest_wait_ms);
    const auto deadline = steady::now() + std::chrono::milliseconds{wait_ms};
    while (!outage_ && from >= source.next() && steady::now() < deadline) {
        co_await source.appended.wait_until(deadline);
    }
    if (outage_) {
        co_await call.refuse(http::status::service_unavailable, "outage");
        co_return;
    }
    if (from < source.first) {
        const json oldest{{"first", source.first}};
        co_await call.respond(http::status::gone, oldest);
        co_return;
    }
    auto records = json::array();
    for (auto offset = from; offset < source.next() && records.size() < limit; ++offset) {
        records.push_back(source.records[offset - source.first]);
    }
    const auto next = from + records.size();
    count("reads");
    const json page{{"first", source.first}, {"next", next}, {"records", std::move(records)}};
    co_await call.respond(http::status::ok, page);
}

json log_part::report() const {
    auto facts = part::report();
    for (const auto& [name, item] : streams_) {
        facts["streams"][name] = {{"first", item.first}, {"next", item.next()}};
    }
    return facts;
}

} // namespace dragonflystair::stand_ins
