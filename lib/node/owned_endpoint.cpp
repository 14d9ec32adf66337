#include "owned_endpoint.h"

#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "sleep.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflystair::node {

namespace {

constexpr std::chrono::milliseconds state_poll_period{1'000};
/// Adapter name that cannot exist, since names of services and adapters contain no spaces.
constexpr std::string_view fence_probe = "fence probe";
/// Consecutive failed polls after which the endpoint is no longer reported to peers as ready.
constexpr unsigned max_failed_polls = 3;

policy::scheduler_limits limits_of(const endpoint_setup& setup) {
    policy::scheduler_limits limits;
    limits.load_time = setup.load_time;
    // A new owner of the store's permits issues none until the permits of the previous owner have
    // expired. The timeout is longer than a permit's lifetime, so that this pause is not treated as
    // an outage of the store.
    limits.permit_timeout = policy::store_limits{}.permit_lifetime + std::chrono::seconds{3};
    return limits;
}

} // namespace

owned_endpoint::owned_endpoint(owner_services services, endpoint_setup setup)
    : services_(std::move(services)), setup_(std::move(setup)), scheduler_(limits_of(setup_)) {}

void owned_endpoint::start() {
    boost::asio::co_spawn(
        services_.context.executor, [self = shared_from_this()] { return self->poll_loop(); },
        net::exception_logger("owned_endpoint"));
}

net::awaitable<void> owned_endpoint::poll_loop() {
    while (!services_.context.stopping) {
        {
            const std::lock_guard lock(mutex_);
            if (retired_ && attempts_.empty()) {
                co_return;
            }
        }
        co_await refresh();
        pump();
        co_await sleep_for(state_poll_period);
    }
}

net::awaitable<bool> owned_endpoint::send_fencing_number() {
    // An engine that checks fencing numbers rejects the previous owner only after it has received a
    // larger number. A request without effect, the unload of an adapter that does not exist,
    // therefore delivers the new number first.
    auto answer = co_await services_.engines.unload(setup_.address, std::string(fence_probe),
                                                    setup_.fence, engine_request_timeout);
    const bool delivered =
        answer.has_value() || answer.error().kind == support::error_kind::refused;
    if (!delivered) {
        services_.context.counters.increment("fence_announcements_failed_total",
                                             to_string(answer.error().kind));
    }
    co_return delivered;
}

net::awaitable<bool> owned_endpoint::refresh() {
    if (setup_.checks_fencing && !fencing_number_sent_) {
        fencing_number_sent_ = co_await send_fencing_number();
        if (!fencing_number_sent_) {
            co_return false;
        }
    }
    auto state = co_await services_.engines.state(setup_.address, engine_request_timeout);
    if (state.has_value()) {
        on_state(state.value());
        co_return true;
    }
    const std::lock_guard lock(mutex_);
    if (++failed_polls_ == max_failed_polls) {
        support::log_change("endpoint_unreachable", {{"endpoint", setup_.id}});
    }
    co_return false;
}

void owned_endpoint::on_state(const net::engine_state& state) {
    policy::engine_report report;
    report.start = state.start;
    report.resident = state.resident;
    report.slots = state.slots;
    report.batch_limit = state.batch_limit;
    for (const auto& [adapter, count] : state.active) {
        if (count > 0) {
            report.active.push_back(adapter);
        }
    }
    const auto now = node_context::now();
    const auto unusable = setup_.checks_fencing
                              ? std::vector<std::string>{}
                              : services_.members.adapters_with_foreign_intents(setup_.id);
    std::vector<std::uint64_t> before_first_token;
    std::vector<std::uint64_t> after_first_token;
    bool restarted = false;
    {
        const std::lock_guard lock(mutex_);
        failed_polls_ = 0;
        if (!ready_) {
            scheduler_.on_takeover(report, unusable, now);
            ready_ = true;
            unusable_adapters_ = unusable;
        } else {
            for (const auto& adapter : unusable_adapters_) {
                if (std::ranges::find(unusable, adapter) == unusable.end()) {
                    scheduler_.allow_adapter(adapter);
                }
            }
            unusable_adapters_ = unusable;
            for (const auto& id : scheduler_.on_report(report, now)) {
                const auto found = attempts_.find(id);
                if (found != attempts_.end()) {
                    found->second->crashed = true;
                    const auto& request = found->second->request;
                    const bool has_tokens = found->second->next_position > request.resume_from;
                    (has_tokens ? after_first_token : before_first_token)
                        .push_back(request.fingerprint);
                }
            }
        }
        restarted = !start_id_.empty() && start_id_ != state.start;
        start_id_ = state.start;
    }
    if (!restarted) {
        return;
    }
    fencing_number_sent_ = false;
    support::log_change("engine_restarted", {{"endpoint", setup_.id}});
    services_.context.counters.increment("engine_restarts_total");
    services_.crashes.on_crash(before_first_token, after_first_token, now);
    if (!before_first_token.empty()) {
        services_.broadcast_suspects(before_first_token);
    }
    resolve_intents_after_restart();
}

void owned_endpoint::resolve_intents_after_restart() {
    // An unload request sent to an earlier run of the engine cannot take effect on this run.
    for (const auto& intent : services_.members.intents_on(setup_.id)) {
        services_.member_writer.append(
            ledger::eviction_done{setup_.id, intent.session, intent.adapter});
    }
}

void owned_endpoint::set_leaving(bool leaving) {
    const std::lock_guard lock(mutex_);
    if (retired_ || std::exchange(leaving_, leaving) == leaving) {
        return;
    }
    if (leaving) {
        scheduler_.begin_leaving();
    } else {
        scheduler_.end_leaving();
    }
    support::log_change(leaving ? "endpoint_leaving" : "endpoint_staying",
                        {{"endpoint", setup_.id}});
}

void owned_endpoint::retire() {
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(retired_, true)) {
            return;
        }
        scheduler_.begin_leaving();
        scheduler_.allow_orders(false);
    }
    pump();
}

void owned_endpoint::pump() {
    const auto now = node_context::now();
    const bool has_grant = services_.members.fence_if_held(setup_.id, now) == setup_.fence;
    const bool may_dispatch = services_.members.may_dispatch(now);
    std::vector<policy::scheduler_action> actions;
    {
        const std::lock_guard lock(mutex_);
        if (!ready_) {
            return;
        }
        scheduler_.allow_orders(has_grant && !retired_);
        scheduler_.allow_dispatch(may_dispatch && !retired_);
        actions = scheduler_.poll(now);
    }
    for (const auto& action : actions) {
        execute(action);
    }
}

void owned_endpoint::execute(const policy::scheduler_action& action) {
    auto& executor = services_.context.executor;
    const auto self = shared_from_this();
    if (const auto* dispatch = std::get_if<policy::dispatch_action>(&action)) {
        active_ptr active;
        {
            const std::lock_guard lock(mutex_);
            const auto found = attempts_.find(dispatch->request);
            if (found == attempts_.end()) {
                return;
            }
            active = found->second;
        }
        boost::asio::co_spawn(
            executor,
            [self, active, priority = dispatch->priority] {
                return self->run_attempt(active, priority);
            },
            net::exception_logger("owned_endpoint"));
    } else if (const auto* requested = std::get_if<policy::request_permit_action>(&action)) {
        services_.permits.request_permit(setup_.id, requested->adapter, requested->urgency);
    } else if (const auto* released = std::get_if<policy::release_permit_action>(&action)) {
        release_permit(released->adapter);
    } else if (const auto* load = std::get_if<policy::load_action>(&action)) {
        boost::asio::co_spawn(
            executor, [self, adapter = load->adapter] { return self->run_load(adapter); },
            net::exception_logger("owned_endpoint"));
    } else if (const auto* unload = std::get_if<policy::unload_action>(&action)) {
        boost::asio::co_spawn(
            executor, [self, adapter = unload->adapter] { return self->run_unload(adapter); },
            net::exception_logger("owned_endpoint"));
    } else if (const auto* refused = std::get_if<policy::refuse_action>(&action)) {
        refuse(refused->request, refused->cause);
    }
}

policy::endpoint_load owned_endpoint::load() const {
    const std::lock_guard lock(mutex_);
    return scheduler_.load(node_context::now());
}

bool owned_endpoint::report_due(const policy::endpoint_load& load) {
    const std::lock_guard lock(mutex_);
    return reporter_.due(load, node_context::now());
}

bool owned_endpoint::ready() const {
    const std::lock_guard lock(mutex_);
    return ready_ && !retired_ && failed_polls_ < max_failed_polls;
}

std::size_t owned_endpoint::running() const {
    const std::lock_guard lock(mutex_);
    return attempts_.size();
}

} // namespace dragonflystair::node
