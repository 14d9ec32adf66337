#include "plain_part.h"

#include <algorithm>

namespace dragonflystair::stand_ins {

plain_part::plain_part(asio::any_io_executor context, section& settings)
    : part(std::move(context), settings),
      run_time_(settings.duration("run_time", std::chrono::milliseconds{20})),
      status_prefixes_(
          settings.list("status_prefixes", "/stamps, /permits, /checkouts, /returns")) {
    on_control("slow", slow_);
    on_control("refuse", refuse_);
    on_control("silent_after_run", silent_after_run_);
    on_control("drop_after_run", drop_after_run_);
}

awaitable<void> plain_part::handle(exchange& call) {
    if (call.is(http::verb::get, "/executions")) {
        co_await call.respond(http::status::ok, executions_);
    } else if (is_status_lookup(call)) {
        co_await look_up(call);
    } else if (take_one(refuse_)) {
        count("refused");
        call.add_header("X-Not-Run", "true");
        co_await call.refuse(http::status::service_unavailable, "refused");
    } else {
        co_await run(call);
    }
}

bool plain_part::is_status_lookup(const exchange& call) const {
    const auto path = call.path();
    const auto parent = path.substr(0, path.rfind('/'));
    return call.method() == http::verb::get &&
           std::ranges::find(status_prefixes_, parent) != status_prefixes_.end();
}

awaitable<void> plain_part::look_up(exchange& call) {
    const auto path = call.path();
    const auto found = results_.find(path.substr(path.rfind('/') + 1));
    if (found == results_.end()) {
        co_await call.refuse(http::status::not_found, "no such key");
        co_return;
    }
    co_await call.respond(http::status::ok, found->second);
}

awaitable<void> plain_part::run(exchange& call) {
    co_await sleep(std::chrono::duration_cast<std::chrono::nanoseconds>(run_time_ * slow_));
    const auto key = call.header("Idempotency-Key");
    json result{{"service", name()}, {"path", call.path()}, {"serial", ++serial_}};
    if (!key.empty()) {
        result["key"] = key;
        ++executions_[key];
        results_[key] = result;
    }
    count("runs");
    if (take_one(drop_after_run_)) {
        call.drop();
    } else if (take_one(silent_after_run_)) {
        call.silence();
    }
    co_await call.respond(http::status::ok, result);
}

} // namespace dragonflystair::stand_ins
