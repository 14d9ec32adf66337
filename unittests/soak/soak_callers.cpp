#include "soak_callers.h"

#include "dragonflystair/support/hash.h"
#include "dragonflystair/support/json.h"

#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <chrono>
#include <thread>
#include <utility>

namespace dragonflystair::soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds deadline{3'000};
/// Longer than the deadline, so that a late answer is still checked.
constexpr milliseconds answer_timeout{8'000};
constexpr milliseconds resolve_time{1'000};
constexpr int usual_pause_ms = 40;
/// More adapters than an engine has adapter slots; requests favour the low numbers.
constexpr int adapters = 16;
/// Among tenants, all adapters fit, so that calls compete for the slots of engines.
constexpr int adapters_of_tenants = 4;

/// Callers of a surge: more than endpoints have slots.
constexpr std::size_t surge_callers = 96;
constexpr std::size_t surge_number = 1'000;
constexpr int surge_pause_ms = 4;

/// Of as many streams one is read slowly, and one is left by its caller after its first event.
constexpr std::size_t reading_choices = 16;
constexpr std::size_t slow_reader = 1;
constexpr std::size_t early_leaver = 2;
constexpr milliseconds slow_read_pause{200};

constexpr milliseconds stall_probe_interval{20};
constexpr milliseconds min_stall{20};

bool is_refusal(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

soak_callers::soak_callers(const net::executor& context, const soak_cluster& cluster,
                           guarantee_checker& checked, std::uint64_t seed, tenant_checker* tenants)
    : context_(context), cluster_(cluster), checked_(checked), seed_(seed), tenants_(tenants),
      client_(context) {}

void soak_callers::start(std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
        start_caller({number, number % tenant_checker::tenants, usual_pause_ms, nullptr});
    }
    if (tenants_ != nullptr) {
        ++active_;
        boost::asio::co_spawn(
            context_, [this] { return observe_stalls(); }, boost::asio::detached);
    }
}

void soak_callers::start_caller(const role& chosen) {
    ++active_;
    boost::asio::co_spawn(
        context_, [this, chosen] { return run_caller(chosen); }, boost::asio::detached);
}

std::function<void()> soak_callers::begin_surge(std::size_t tenant) {
    const auto ended = std::make_shared<std::atomic<bool>>(false);
    for (std::size_t i = 0; i < surge_callers; ++i) {
        start_caller({surge_number + i, tenant, surge_pause_ms, ended});
    }
    return [ended] { *ended = true; };
}

/// Tells the checker for how long this process did not run when it should have.
net::awaitable<void> soak_callers::observe_stalls() {
    boost::asio::steady_timer timer(context_);
    while (!stopping_) {
        const auto due = support::boot_clock::now() + stall_probe_interval;
        timer.expires_after(stall_probe_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        if (const auto late = support::boot_clock::now() - due; late > min_stall) {
            tenants_->note_stall(late);
        }
    }
    --active_;
}

void soak_callers::stop() {
    stopping_ = true;
    while (active_ > 0) {
        std::this_thread::sleep_for(milliseconds{5});
    }
}

net::awaitable<void> soak_callers::run_caller(role chosen) {
    const auto number = chosen.number;
    std::mt19937_64 random(seed_ * 1'000 + number);
    boost::asio::steady_timer timer(context_);
    const int choices = tenants_ == nullptr ? adapters : adapters_of_tenants;
    const bool keeps_address = number % 2 == 1;
    std::string address;
    while (!stopping_ && !(chosen.ended && *chosen.ended)) {
        timer.expires_after(milliseconds(random() % chosen.longest_pause_ms));
        co_await timer.async_wait(boost::asio::use_awaitable);
        const auto kind = static_cast<call_kind>(random() % call_kinds);
        const auto draw = static_cast<int>(random() % choices);
        const auto second = static_cast<int>(random() % choices);
        if (!keeps_address || address.empty()) {
            address = co_await resolve(number);
        }
        if (address.empty()) {
            continue;
        }
        auto id = fmt::format("{:016x}", next_id_++);
        const auto key_draw = tenants_ == nullptr ? 0 : random();
        const bool answered = co_await call(address, kind, std::move(id), std::min(draw, second),
                                            chosen.tenant, key_draw);
        if (!answered) {
            address.clear();
        }
    }
    --active_;
}

/// Resolves the service through a gateway, starting with the caller's own and trying up to three.
/// Returns one of the addresses, or an empty string if no gateway answers.
net::awaitable<std::string> soak_callers::resolve(std::size_t number) {
    const auto& gateways = cluster_.gateways();
    for (std::size_t step = 0; step < 3; ++step) {
        const auto& asked = *gateways[(number + step) % gateways.size()];
        net::http_request request;
        request.target =
            fmt::format("{}?name=desk&region={}&zone={}", platform::resolve_path,
                        number % 2 == 0 ? "n" : "s", number % 2 == 0 ? "north" : "south");
        const auto answer =
            co_await client_.request(asked.resolve_address(), request, resolve_time);
        if (!answer || answer.value().status != 200) {
            continue;
        }
        const auto body = support::json::parse(answer.value().body, nullptr, false);
        if (!body.is_object() || body.value("addrs", support::json::array()).empty()) {
            checked_.report_violation(
                fmt::format("{} resolved to '{}'", asked.name(), answer.value().body));
            continue;
        }
        const auto& addresses = body["addrs"];
        co_return addresses[number % addresses.size()].get<std::string>();
    }
    co_return std::string();
}

net::awaitable<bool> soak_callers::call(std::string address, call_kind kind, std::string id,
                                        int adapter, std::size_t tenant, std::uint64_t draw) {
    checked_.note_call(id, kind, address);
    net::http_request request;
    request.method = "POST";
    request.target = fmt::format("/{}/{}", to_string(kind), id);
    request.headers["Host"] = "desk";
    request.headers[std::string(platform::request_id_header)] = id;
    request.headers[std::string(platform::deadline_header)] = std::to_string(deadline.count());
    request.body = request_body(id);
    const bool plain = kind == call_kind::stamp || kind == call_kind::lookup;
    if (!plain) {
        request.headers[std::string(platform::model_header)] = fmt::format("base/a{}", adapter);
        request.headers[std::string(platform::tokens_header)] = "200,60";
        request.headers[std::string(platform::prompt_header)] = fmt::format("ab:100,{}:100", id);
    }
    if (tenants_ != nullptr) {
        tenants_->prepare(request, id, tenant, draw);
    }
    if (plain) {
        co_return co_await call_plain(std::move(address), std::move(request), std::move(id));
    }
    co_return co_await call_stream(std::move(address), std::move(request), std::move(id));
}

net::awaitable<bool> soak_callers::call_plain(std::string address, net::http_request request,
                                              std::string id) {
    const auto answer = co_await client_.request(address, std::move(request), answer_timeout);
    if (!answer) {
        checked_.note_end(id, call_end::cut, {}, {});
        co_return false;
    }
    const auto& response = answer.value();
    if (tenants_ != nullptr) {
        tenants_->note_status(id, response.status);
    }
    const auto end = response.status == 200        ? call_end::served
                     : is_refusal(response.status) ? call_end::refused
                                                   : call_end::failed;
    checked_.note_end(id, end, net::header(response.headers, platform::signature_header),
                      response.body);
    co_return true;
}

net::awaitable<bool> soak_callers::call_stream(std::string address, net::http_request request,
                                               std::string id) {
    const auto opened = co_await client_.open_stream(address, std::move(request), answer_timeout);
    if (!opened) {
        checked_.note_end(id, call_end::cut, {}, {});
        co_return false;
    }
    auto& stream = *opened.value();
    if (tenants_ != nullptr) {
        tenants_->note_status(id, stream.head().status);
    }
    const auto reading = tenants_ == nullptr ? 0 : support::fingerprint(id) % reading_choices;
    std::string body;
    bool complete = false;
    for (;;) {
        const auto piece = co_await stream.read(answer_timeout);
        if (!piece) {
            break;
        }
        if (!piece.value()) {
            complete = true;
            break;
        }
        body += *piece.value();
        if (reading == early_leaver) {
            break;
        }
        if (reading == slow_reader) {
            boost::asio::steady_timer pause(context_);
            pause.expires_after(slow_read_pause);
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
    }
    const auto signature = net::header(stream.head().headers, platform::signature_header);
    if (stream.head().status != 200) {
        checked_.note_end(
            id, is_refusal(stream.head().status) ? call_end::refused : call_end::failed, {}, {});
        co_return true;
    }
    checked_.note_end(id, complete ? call_end::served : call_end::cut, signature, body);
    co_return complete || reading == early_leaver;
}

} // namespace dragonflystair::soak
