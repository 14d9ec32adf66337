#include "store_part.h"

#include <algorithm>
#include <string_view>

namespace dragonflystair::stand_ins {

namespace {

constexpr std::string_view prefix = "/v1/adapters/";

} // namespace

store_part::store_part(asio::any_io_executor context, section& settings)
    : part(context, settings), loads_(settings.number("loads_per_second", 6)),
      concurrent_loads_(settings.number("concurrent_loads", 3)),
      transit_limit_(settings.number("transit_limit", 24)),
      base_load_time_(settings.duration("load_time", std::chrono::milliseconds{250})),
      changed_(std::move(context)) {
    on_control("slow", slow_);
    on_control("down", [this](const json& value) {
        down_ = value.get<bool>();
        changed_.notify_all();
    });
}

awaitable<void> store_part::handle(exchange& call) {
    if (call.method() != http::verb::get || !call.path().starts_with(prefix)) {
        co_await call.refuse(http::status::not_found, "no such path");
        co_return;
    }
    if (!down_ && !loads_.allow(steady::now())) {
        count("refused_rate");
        co_await call.refuse(http::status::too_many_requests, "over the load rate");
        co_return;
    }
    most_in_transit_ = std::max(most_in_transit_, ++in_transit_);
    co_await transfer(call);
    --in_transit_;
}

awaitable<void> store_part::transfer(exchange& call) {
    while (!down_ && transferring_ >= concurrent_loads_) {
        co_await changed_.wait();
    }
    if (!down_) {
        ++transferring_;
        co_await changed_.wait_until(steady::now() + load_time());
        --transferring_;
        changed_.notify_all();
    }
    if (down_) {
        count("refused_down");
        co_await call.refuse(http::status::service_unavailable, "outage");
        co_return;
    }
    const auto name = call.path().substr(prefix.size());
    count("loads");
    ++loads_by_adapter_[name];
    const json answer{{"name", name}};
    co_await call.respond(http::status::ok, answer);
}

std::chrono::nanoseconds store_part::load_time() const {
    const auto crowding = std::max(1.0, double(in_transit_) / double(transit_limit_));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(base_load_time_ * slow_ * crowding);
}

json store_part::report() const {
    auto facts = part::report();
    facts["in_transit"] = in_transit_;
    facts["most_in_transit"] = most_in_transit_;
    facts["loads_by_adapter"] = loads_by_adapter_;
    return facts;
}

} // namespace dragonflystair::stand_ins
