#include "configuration_watch.h"

#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace dragonflystair::soak {

using std::chrono::milliseconds;

namespace {

/// The platform's bound on the time from an acknowledgement until a configuration is in force.
constexpr milliseconds apply_time{2'500};
/// The platform's bound within which a gateway may still act on the version before the one seen.
constexpr milliseconds probe_interval{250};
constexpr milliseconds probe_timeout{3'000};

} // namespace

configuration_watch::configuration_watch(const net::executor& context, guarantee_checker& checked,
                                         std::string store_address)
    : context_(context), checked_(checked), store_address_(std::move(store_address)),
      client_(context) {}

void configuration_watch::note_written(std::uint64_t version, bool acknowledged) {
    const std::lock_guard lock(mutex_);
    acknowledged_at_.insert_or_assign(version, acknowledged ? support::boot_clock::now()
                                                            : support::time_point::max());
}

void configuration_watch::observe(const soak_gateway& target) {
    ++active_;
    boost::asio::co_spawn(
        context_, [this, &target] { return run(target); }, boost::asio::detached);
}

void configuration_watch::stop() {
    stopping_ = true;
    while (active_ > 0) {
        std::this_thread::sleep_for(milliseconds{5});
    }
}

net::awaitable<void> configuration_watch::run(const soak_gateway& target) {
    boost::asio::steady_timer timer(context_);
    int process = 0;
    std::uint64_t seen = 0; ///< Newest version that this process has served.
    std::uint64_t reported = 0;
    while (!stopping_) {
        timer.expires_after(probe_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        if (std::exchange(process, target.starts()) != target.starts()) {
            seen = 0;
        }
        const auto due = due_version(target);
        const auto expected = std::max(seen, due);
        const auto found = co_await find_version(target, expected);
        if (!found || process != target.starts()) {
            continue;
        }
        if (*found == 0 && expected > reported) {
            reported = expected;
            checked_.report_violation(fmt::format(
                "{} acts on a configuration older than {}, which {}", target.name(), expected,
                seen == expected
                    ? "it had in force before"
                    : fmt::format("was acknowledged over {} ms ago", apply_time.count())));
        }
        seen = std::max(seen, *found);
    }
    --active_;
}

/// Returns the oldest version in force from `from` on, or 0 if the gateway knows none of these
/// routes. Returns nullopt if its answers do not tell. Versions are probed in ascending order, so
/// that one that comes into force meanwhile is found.
net::awaitable<std::optional<std::uint64_t>>
configuration_watch::find_version(const soak_gateway& target, std::uint64_t from) {
    while (const auto version = version_from(from)) {
        const int status = co_await probe(target, *version);
        if (status != 404) {
            co_return status == 200 ? version : std::nullopt;
        }
        from = *version + 1;
    }
    co_return 0;
}

/// Returns the status of a call on the route of a version, or 0 without an answer.
net::awaitable<int> configuration_watch::probe(const soak_gateway& target, std::uint64_t version) {
    const auto id = fmt::format("probe-{}", ++probes_);
    checked_.note_call(id, call_kind::lookup, target.caller_address());
    net::http_request request;
    request.method = "POST";
    request.target = fmt::format("/added-{}/{}", version, id);
    request.headers["Host"] = "desk";
    request.headers[std::string(platform::request_id_header)] = id;
    request.headers[std::string(platform::deadline_header)] = std::to_string(probe_timeout.count());
    request.body = request_body(id);
    const auto answer =
        co_await client_.request(target.caller_address(), std::move(request), probe_timeout);
    co_return answer ? answer.value().status : 0;
}

/// Returns the newest version that must be in force at a gateway, or 0 while a fault excuses it.
std::uint64_t configuration_watch::due_version(const soak_gateway& target) const {
    if (checked_.excused(store_address_) || checked_.excused(target.caller_address())) {
        return 0;
    }
    const std::lock_guard lock(mutex_);
    const auto before = support::boot_clock::now() - apply_time;
    std::uint64_t due = 0;
    for (const auto& [version, at] : acknowledged_at_) {
        due = at <= before ? version : due;
    }
    return due;
}

std::optional<std::uint64_t> configuration_watch::version_from(std::uint64_t from) const {
    const std::lock_guard lock(mutex_);
    const auto found = acknowledged_at_.lower_bound(from);
    return found == acknowledged_at_.end() ? std::nullopt : std::optional(found->first);
}

} // namespace dragonflystair::soak
