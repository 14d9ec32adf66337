#include "soak_endpoint.h"

#include "dragonflystair/support/hash.h"

#include "platform/names.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace dragonflystair::soak {

using std::chrono::milliseconds;
using support::json;

namespace {

/// Short enough for many calls in a run, long enough that faults occur while calls are in flight.
constexpr milliseconds work_time{15};
constexpr milliseconds event_pause{10};
constexpr milliseconds load_time{60};
constexpr milliseconds queue_interval{2};

/// One call in `slow_call_ratio` takes this long: less than callers wait, and longer than a gateway
/// that stops has left after it has closed its listening socket.
constexpr milliseconds slow_work_time{1'200};
constexpr std::size_t slow_call_ratio = 20;

/// Draws by request id, so that a call is the same in each run of a seed.
std::size_t draw_of(std::string_view id, std::size_t choices) {
    return support::fingerprint(id) % choices;
}

bool is_slow(std::string_view id) {
    return draw_of(id, slow_call_ratio) == 0;
}

net::awaitable<void> pause_for(milliseconds time) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

net::http_response status_only(int status) {
    net::http_response response;
    response.status = status;
    return response;
}

int first_event_of(const net::http_request& request) {
    const auto last = net::header(request.headers, platform::last_event_header);
    int number = 0;
    std::from_chars(last.data(), last.data() + last.size(), number);
    return number + 1;
}

/// Returns the adapter part of a model name `BASE/ADAPTER`, or an empty string.
std::string adapter_of(const net::http_request& request) {
    const auto model = net::header(request.headers, platform::model_header);
    const auto slash = model.find('/');
    return slash == std::string_view::npos ? std::string{} : std::string(model.substr(slash + 1));
}

} // namespace

soak_endpoint::soak_endpoint(const net::executor& context, guarantee_checker& checked,
                             std::string service, std::string name, std::string data_centre,
                             registry publish)
    : checked_(checked), service_(std::move(service)), name_(std::move(name)),
      data_centre_(std::move(data_centre)), publish_(std::move(publish)),
      server_(
          context, "127.0.0.1:0", {},
          [this](net::http_exchange& exchange) { return serve(exchange); }, counters_) {
    server_.start();
}

void soak_endpoint::register_at(const std::string& advertised) {
    {
        const std::lock_guard lock(mutex_);
        advertised_ = advertised;
        id_ = fmt::format("{}-{}", name_, ++starts_);
        listed_ = true;
    }
    publish_record();
}

void soak_endpoint::set_failure(endpoint_failure failure) {
    const std::lock_guard lock(mutex_);
    failure_ = failure;
}

void soak_endpoint::name_limit(std::optional<double> per_s) {
    const std::lock_guard lock(mutex_);
    limit_per_s_ = per_s;
    limit_named_at_.reset();
    arrivals_.clear();
}

/// Checks the requests of the last 4 s, as the platform does once 4 s have passed since the limit
/// was first named; requests of the first half second are excused.
void soak_endpoint::check_limit() {
    constexpr std::chrono::seconds window{4};
    const std::lock_guard lock(mutex_);
    const auto now = support::boot_clock::now();
    if (!limit_named_at_ || now - *limit_named_at_ < milliseconds{500}) {
        return;
    }
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= window) {
        arrivals_.pop_front();
    }
    const double allowed = 1.5 * *limit_per_s_ * window.count() + 5;
    if (now - *limit_named_at_ >= window && static_cast<double>(arrivals_.size()) > allowed) {
        checked_.report_violation(
            fmt::format("{} got {} requests in 4 s with a limit of {} a second", id_,
                        arrivals_.size(), *limit_per_s_));
        arrivals_.clear();
    }
}

void soak_endpoint::announce_draining(bool checked) {
    {
        const std::lock_guard lock(mutex_);
        draining_ = true;
    }
    publish_record();
    const std::lock_guard lock(mutex_);
    if (checked) {
        withdrawn_at_ = support::boot_clock::now();
    }
}

void soak_endpoint::unlist(bool store_stable) {
    std::string id;
    {
        const std::lock_guard lock(mutex_);
        id = id_;
        listed_ = false;
    }
    publish_(id, "");
    const std::lock_guard lock(mutex_);
    if (store_stable) {
        withdrawn_at_ = support::boot_clock::now();
    }
}

/// Forgets everything, as an endpoint does that starts.
void soak_endpoint::clear_state_locked() {
    listed_ = true;
    draining_ = false;
    withdrawn_at_.reset();
    limit_per_s_.reset();
    limit_named_at_.reset();
    arrivals_.clear();
    adapters_.clear();
    holders_.clear();
    orders_accepted_ = 0;
    highest_fence_ = 0;
}

void soak_endpoint::restart() {
    std::string former;
    {
        const std::lock_guard lock(mutex_);
        former = std::exchange(id_, fmt::format("{}-{}", name_, ++starts_));
        started_ += std::chrono::seconds{1};
        clear_state_locked();
    }
    publish_(former, "");
    publish_record();
}

void soak_endpoint::restart_in_place(milliseconds clock_step) {
    {
        const std::lock_guard lock(mutex_);
        started_ += clock_step;
        clear_state_locked();
    }
    publish_record();
}

void soak_endpoint::heartbeat() {
    bool listed = false;
    {
        const std::lock_guard lock(mutex_);
        listed = listed_;
    }
    if (listed) {
        publish_record();
    }
}

void soak_endpoint::expire_record() {
    std::string id;
    {
        const std::lock_guard lock(mutex_);
        if (listed_) {
            return;
        }
        id = id_;
    }
    publish_(id, "");
}

std::pair<std::string, std::string> soak_endpoint::record() {
    const std::lock_guard lock(mutex_);
    return {id_, json{{"service", service_},
                      {"addr", advertised_},
                      {"zone", data_centre_},
                      {"slots", slots},
                      {"state", draining_ ? "draining" : "ready"},
                      {"seq", orders_accepted_},
                      {"born", started_.count()},
                      {"models", models_locked()}}
                     .dump()};
}

std::string soak_endpoint::log_prefix() {
    const std::lock_guard lock(mutex_);
    return fmt::format("event=endpoint endpoint={} ", id_);
}

bool soak_endpoint::is_ready_by(std::string_view line) {
    const std::lock_guard lock(mutex_);
    return line.find(fmt::format(" started_ms={} state=ready", started_.count())) !=
           std::string_view::npos;
}

void soak_endpoint::publish_record() {
    const auto [id, text] = record();
    publish_(id, text);
}

json soak_endpoint::models_locked() const {
    if (!is_engine()) {
        return json::array();
    }
    json held = json::array();
    for (const auto& [name, item] : adapters_) {
        if (item.ready_at <= support::boot_clock::now()) {
            held.push_back(fmt::format("{}@{}", name, item.version));
        }
    }
    return json::array({{{"name", "base"}, {"version", 1}, {"adapters", held}}});
}

net::http_response soak_endpoint::report() {
    const std::lock_guard lock(mutex_);
    net::http_response response;
    response.body = json{{"stage", "mixed"},
                         {"busy", false},
                         {"seq", orders_accepted_},
                         {"born", started_.count()},
                         {"models", models_locked()}}
                        .dump();
    return response;
}

net::http_response soak_endpoint::take_order(const json& order) {
    const std::lock_guard lock(mutex_);
    const auto fence = order.at("fence").get<std::uint64_t>();
    const auto holder = order.at("holder").get<std::string>();
    if (fence < highest_fence_) {
        return status_only(412);
    }
    highest_fence_ = fence;
    if (const auto known = holders_.try_emplace(fence, holder).first; known->second != holder) {
        checked_.report_violation(fmt::format("{} got orders of {} and {} with fencing number {}",
                                              id_, known->second, holder, fence));
    }
    const auto name = order.value("adapter", "");
    const auto held = adapters_.find(name);
    const bool loads = order.at("op") == "load";
    if (name.empty() || (!loads && held == adapters_.end())) {
        return status_only(200);
    }
    if (loads && held != adapters_.end()) {
        return status_only(held->second.ready_at <= support::boot_clock::now() ? 200 : 202);
    }
    if (order.value("precondition", orders_accepted_) != orders_accepted_) {
        return status_only(409);
    }
    ++orders_accepted_;
    if (!loads) {
        adapters_.erase(held);
        return status_only(200);
    }
    if (adapters_.size() >= adapter_slots) {
        checked_.report_violation(
            fmt::format("{} was ordered to load more adapters than fit", id_));
        return status_only(400);
    }
    adapters_[name].ready_at = support::boot_clock::now() + load_time;
    return status_only(202);
}

void soak_endpoint::add_notice(net::http_response& response) {
    const std::lock_guard lock(mutex_);
    if (draining_) {
        response.headers[std::string(platform::leaving_header)] = "1";
    }
    if (limit_per_s_) {
        response.headers[std::string(platform::limit_header)] = fmt::format("{}", *limit_per_s_);
        limit_named_at_ = limit_named_at_.value_or(support::boot_clock::now());
    }
    if (response.status == 503 && failure_ == endpoint_failure::full) {
        response.headers[std::string(platform::retry_after_header)] = "1";
    }
}

std::optional<support::time_point> soak_endpoint::withdrawn_since() {
    const std::lock_guard lock(mutex_);
    return withdrawn_at_;
}

/// Returns whether a request is addressed to another incarnation of this endpoint.
bool soak_endpoint::misdirected(const net::http_request& request) {
    const std::lock_guard lock(mutex_);
    return net::header(request.headers, platform::expected_endpoint_header) != id_;
}

int soak_endpoint::rejection(const net::http_request& request) {
    if (misdirected(request)) {
        return 421;
    }
    const std::lock_guard lock(mutex_);
    if (is_engine()) {
        const auto held = adapters_.find(adapter_of(request));
        if (held == adapters_.end() || held->second.ready_at > support::boot_clock::now()) {
            return 421;
        }
    }
    return held_ >= slots + queue_places_ || failure_ == endpoint_failure::full ? 503 : 0;
}

net::awaitable<void> soak_endpoint::serve(net::http_exchange& exchange) {
    const auto& request = exchange.request();
    check_limit();
    net::http_response response;
    const bool to_engine =
        request.target == platform::order_path || request.target == platform::report_path;
    if (to_engine && misdirected(request)) {
        response.status = 421;
    } else if (request.target == platform::order_path) {
        response = take_order(json::parse(request.body));
    } else if (request.target == platform::report_path) {
        response = report();
    } else {
        co_await serve_call(exchange);
        co_return;
    }
    add_notice(response);
    co_await exchange.respond(std::move(response));
}

net::awaitable<void> soak_endpoint::serve_call(net::http_exchange& exchange) {
    const auto& request = exchange.request();
    const std::string id(net::header(request.headers, platform::request_id_header));
    const int status = rejection(request);
    if (on_arrival_) {
        on_arrival_(request, status == 0);
    }
    if (status != 0) {
        auto response = status_only(status);
        response.headers[std::string(platform::request_id_header)] = id;
        response.headers[std::string(platform::not_run_header)] = "1";
        add_notice(response);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (const auto since = withdrawn_since()) {
        checked_.note_arrival_at_gone_endpoint(id, support::boot_clock::now() - *since);
    }
    checked_.note_run(id, service_, first_event_of(request));
    if (!request.target.ends_with(id) || request.body != request_body(id)) {
        checked_.report_violation(
            fmt::format("{} was altered in transit: {} {}", id, request.target, request.body));
    }
    {
        const std::lock_guard lock(mutex_);
        ++held_;
    }
    while (!take_slot()) {
        co_await pause_for(queue_interval);
    }
    if (is_engine()) {
        co_await serve_stream(exchange, id);
    } else {
        co_await serve_plain(exchange, id);
    }
    const std::lock_guard lock(mutex_);
    --held_;
    --running_;
}

net::awaitable<void> soak_endpoint::serve_plain(net::http_exchange& exchange,
                                                const std::string& id) {
    co_await pause_for(is_slow(id) ? slow_work_time : work_time);
    endpoint_failure failure{};
    {
        const std::lock_guard lock(mutex_);
        failure = failure_;
    }
    net::http_response response;
    response.headers[std::string(platform::request_id_header)] = id;
    response.headers[std::string(platform::signature_header)] = signature_of(id);
    add_notice(response);
    if (failure == endpoint_failure::loses_answer) {
        // Returning without `end_stream` closes the connection.
        co_await exchange.begin_stream(std::move(response));
        co_return;
    }
    response.status = failure == endpoint_failure::fails ? 500 : 200;
    response.body = plain_body(id);
    co_await exchange.respond(std::move(response));
}

net::awaitable<void> soak_endpoint::serve_stream(net::http_exchange& exchange,
                                                 const std::string& id) {
    net::http_response head;
    head.headers[std::string(platform::request_id_header)] = id;
    head.headers[std::string(platform::signature_header)] = signature_of(id);
    head.headers["Content-Type"] = "text/event-stream";
    add_notice(head);
    const int first = first_event_of(exchange.request());
    co_await exchange.begin_stream(std::move(head));
    for (int number = first; number <= stream_events; ++number) {
        co_await pause_for(is_slow(id) ? slow_work_time / stream_events : event_pause);
        bool breaks = false;
        {
            const std::lock_guard lock(mutex_);
            breaks = failure_ == endpoint_failure::loses_answer;
        }
        auto text = event_text(id, number);
        if (breaks && number > 1) {
            // Truncates the stream in the middle of an event.
            text.resize(text.size() / 2);
            co_await exchange.write(text);
            if (draw_of(id, 2) == 0) {
                // Ends the body regularly, as a server does whose source of events has failed.
                co_await exchange.end_stream();
            }
            co_return;
        }
        if (!co_await exchange.write(text)) {
            co_return;
        }
    }
    co_await exchange.end_stream();
}

} // namespace dragonflystair::soak
