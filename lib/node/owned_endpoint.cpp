#include "owned_endpoint.h"

#include "dragonflystair/support/log.h"

#include "sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflystair::node {

namespace {

constexpr std::chrono::milliseconds state_period{1'000};
constexpr std::chrono::milliseconds state_timeout{1'000};
/// Name of no adapter: services and adapters have no blanks in their names.
constexpr std::string_view fence_probe = "fence probe";
/// Failed polls after which the endpoint is no longer offered to peers.
constexpr unsigned max_failed_polls = 3;
/// A permit with less time left than this is given back, since the load might outlast it.
constexpr std::chrono::milliseconds shortest_load{500};

policy::scheduler_limits limits_of(const endpoint_setup& setup) {
    policy::scheduler_limits limits;
    limits.load_time = setup.load_time;
    // A new holder of the store's permits issues none for a permit's lifetime, which must not be
    // taken for a store that is down.
    limits.permit_patience = policy::store_limits{}.permit_lifetime + std::chrono::seconds{3};
    return limits;
}

} // namespace

owned_endpoint::owned_endpoint(owner_services services, endpoint_setup setup)
    : services_(std::move(services)), setup_(std::move(setup)), scheduler_(limits_of(setup_)) {}

void owned_endpoint::start() {
    boost::asio::co_spawn(
        services_.context.executor, [self = shared_from_this()] { return self->poll_loop(); },
        boost::asio::detached);
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
        co_await sleep_for(state_period);
    }
}

net::awaitable<bool> owned_endpoint::announce_fence() {
    // An engine that checks fencing refuses a former holder only once it has seen a larger number,
    // so an order without effect goes first: the unload of an adapter that does not exist.
    auto answer = co_await services_.engines.unload(setup_.address, std::string(fence_probe),
                                                    setup_.fence, state_timeout);
    const bool seen = answer.has_value() || answer.error().kind == support::error_kind::refused;
    if (!seen) {
        services_.context.counters.increment("fence_announcements_failed_total",
                                             to_string(answer.error().kind));
    }
    co_return seen;
}

net::awaitable<bool> owned_endpoint::refresh() {
    if (setup_.checks_fencing && !fence_announced_) {
        fence_announced_ = co_await announce_fence();
        if (!fence_announced_) {
            co_return false;
        }
    }
    auto state = co_await services_.engines.state(setup_.address, state_timeout);
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
    const auto unusable = setup_.checks_fencing ? std::vector<std::string>{}
                                                : services_.members.foreign_intents(setup_.id);
    std::vector<std::uint64_t> in_flight;
    bool restarted = false;
    {
        const std::lock_guard lock(mutex_);
        failed_polls_ = 0;
        if (!ready_) {
            scheduler_.on_takeover(report, unusable, now);
            ready_ = true;
            unusable_ = unusable;
        } else {
            for (const auto& adapter : unusable_) {
                if (std::ranges::find(unusable, adapter) == unusable.end()) {
                    scheduler_.allow_adapter(adapter);
                }
            }
            unusable_ = unusable;
            for (const auto& id : scheduler_.on_report(report, now)) {
                const auto found = attempts_.find(id);
                if (found != attempts_.end()) {
                    found->second->crashed = true;
                    in_flight.push_back(found->second->item.fingerprint);
                }
            }
        }
        restarted = !start_id_.empty() && start_id_ != state.start;
        start_id_ = state.start;
    }
    if (!restarted) {
        return;
    }
    fence_announced_ = false;
    support::log_change("engine_restarted", {{"endpoint", setup_.id}});
    services_.context.counters.increment("engine_restarts_total");
    if (!in_flight.empty()) {
        services_.crashes.on_crash(in_flight, now);
        services_.announce_suspects(in_flight);
    }
    resolve_intents_after_restart();
}

void owned_endpoint::resolve_intents_after_restart() {
    // An order to an earlier run of the engine cannot take effect on this run.
    for (const auto& intent : services_.members.intents_on(setup_.id)) {
        services_.member_writer.append(
            ledger::eviction_done{setup_.id, intent.session, intent.adapter});
    }
}

void owned_endpoint::submit(attempt item, const call_sink& sink) {
    const auto now = node_context::now();
    if (item.isolated) {
        // The first crash may have been at an endpoint of another owner.
        services_.crashes.on_suspicion(item.fingerprint, now);
    }
    std::optional<policy::refusal> refused;
    {
        const std::lock_guard lock(mutex_);
        if (!ready_ || retired_) {
            refused =
                policy::refusal{policy::refusal_reason::not_owner, std::chrono::milliseconds{500}};
        } else {
            auto active = std::make_shared<active_attempt>();
            active->item = std::move(item);
            active->sink = sink;
            attempts_[active->item.id] = active;
            refused = scheduler_.submit(to_policy_request(active->item), now);
            if (refused) {
                attempts_.erase(active->item.id);
            }
        }
    }
    if (refused) {
        sink(attempt_end{attempt_end_kind::refused, std::string(policy::to_string(refused->reason)),
                         refused->retry_after});
        return;
    }
    pump();
}

void owned_endpoint::cancel(const std::string& id) {
    std::shared_ptr<net::engine_stream> stream;
    {
        const std::lock_guard lock(mutex_);
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        if (!scheduler_.cancel(id, node_context::now())) {
            attempts_.erase(found);
            return;
        }
        found->second->cancelled = true;
        stream = found->second->stream;
    }
    if (stream) {
        stream->close();
    }
    cancel_at_engine(id);
}

void owned_endpoint::cancel_at_engine(const std::string& id) {
    boost::asio::co_spawn(
        services_.context.executor,
        [self = shared_from_this(), id]() -> net::awaitable<void> {
            // Best effort: an engine that does not hear of it ends the request by itself.
            [[maybe_unused]] const auto answer =
                co_await self->services_.engines.cancel(self->setup_.address, id, state_timeout);
        },
        boost::asio::detached);
}

void owned_endpoint::on_permit(const std::string& adapter, const held_permit& permit) {
    const auto now = node_context::now();
    const bool usable = permit.ends_at - now >= shortest_load;
    {
        const std::lock_guard lock(mutex_);
        if (usable) {
            permits_[adapter] = permit;
        }
        scheduler_.on_permit(adapter, usable, now);
    }
    if (!usable) {
        services_.permits.give_back(permit, false);
    }
    pump();
}

void owned_endpoint::drop_permit(const std::string& adapter) {
    std::optional<held_permit> held;
    {
        const std::lock_guard lock(mutex_);
        const auto found = permits_.find(adapter);
        if (found != permits_.end()) {
            held = found->second;
            permits_.erase(found);
        }
    }
    if (held) {
        services_.permits.give_back(*held, false);
        return;
    }
    services_.permits.withdraw(setup_.id, adapter);
}

void owned_endpoint::prefetch(const std::string& adapter, double urgency) {
    {
        const std::lock_guard lock(mutex_);
        scheduler_.prefetch(adapter, urgency, node_context::now());
    }
    pump();
}

void owned_endpoint::begin_leaving() {
    {
        const std::lock_guard lock(mutex_);
        scheduler_.begin_leaving();
    }
    pump();
}

void owned_endpoint::end_leaving() {
    const std::lock_guard lock(mutex_);
    if (!retired_) {
        scheduler_.end_leaving();
    }
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
    const bool may_order = services_.members.fence_if_held(setup_.id, now) == setup_.fence;
    const bool may_serve = services_.members.may_serve(now);
    std::vector<policy::scheduler_action> actions;
    {
        const std::lock_guard lock(mutex_);
        if (!ready_) {
            return;
        }
        scheduler_.allow_orders(may_order && !retired_);
        scheduler_.allow_dispatch(may_serve && !retired_);
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
            boost::asio::detached);
    } else if (const auto* wanted = std::get_if<policy::want_permit_action>(&action)) {
        services_.permits.want(setup_.id, wanted->adapter, wanted->urgency);
    } else if (const auto* dropped = std::get_if<policy::drop_permit_action>(&action)) {
        drop_permit(dropped->adapter);
    } else if (const auto* load = std::get_if<policy::load_action>(&action)) {
        boost::asio::co_spawn(
            executor, [self, adapter = load->adapter] { return self->run_load(adapter); },
            boost::asio::detached);
    } else if (const auto* unload = std::get_if<policy::unload_action>(&action)) {
        boost::asio::co_spawn(
            executor, [self, adapter = unload->adapter] { return self->run_unload(adapter); },
            boost::asio::detached);
    } else if (const auto* refused = std::get_if<policy::refuse_action>(&action)) {
        refuse(refused->request, refused->why);
    }
}

void owned_endpoint::refuse(const std::string& id, const policy::refusal& why) {
    call_sink sink;
    {
        const std::lock_guard lock(mutex_);
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        sink = found->second->sink;
        attempts_.erase(found);
    }
    sink(attempt_end{attempt_end_kind::refused, std::string(policy::to_string(why.reason)),
                     why.retry_after});
}

net::awaitable<void> owned_endpoint::run_load(std::string adapter) {
    held_permit permit;
    {
        const std::lock_guard lock(mutex_);
        permit = permits_[adapter];
        permits_.erase(adapter);
    }
    const auto now = node_context::now();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(permit.ends_at - now);
    const auto fence = services_.members.fence_if_held(setup_.id, now);
    bool loaded = false;
    if (fence == setup_.fence && left.count() > 0) {
        auto answer = co_await services_.engines.load(setup_.address, adapter, setup_.fence, left);
        loaded = answer.has_value();
        services_.context.counters.increment("adapter_loads_total",
                                             loaded ? "loaded" : to_string(answer.error().kind));
    }
    services_.permits.give_back(permit, !loaded);
    {
        const std::lock_guard lock(mutex_);
        scheduler_.on_load_done(adapter, loaded, node_context::now());
    }
    pump();
}

net::awaitable<bool> owned_endpoint::announce_eviction(std::string adapter) {
    const auto own = services_.members.own_session();
    if (!own) {
        co_return false;
    }
    ledger::record intent = ledger::eviction_intent{setup_.id, *own, adapter};
    const auto place = co_await services_.member_writer.append_and_wait(std::move(intent),
                                                                        std::chrono::seconds{2});
    if (!place) {
        services_.member_writer.append(ledger::eviction_done{setup_.id, *own, adapter});
    }
    co_return place.has_value();
}

net::awaitable<std::optional<bool>> owned_endpoint::order_unload(std::string adapter) {
    // The lease is checked last, right before the order leaves the process.
    if (services_.members.fence_if_held(setup_.id, node_context::now()) != setup_.fence) {
        co_return false;
    }
    auto answer =
        co_await services_.engines.unload(setup_.address, adapter, setup_.fence, state_timeout);
    services_.context.counters.increment(
        "adapter_unloads_total", answer.has_value() ? "unloaded" : to_string(answer.error().kind));
    if (answer.has_value()) {
        co_return true;
    }
    if (answer.error().kind == support::error_kind::unknown) {
        co_return std::nullopt;
    }
    co_return false;
}

net::awaitable<void> owned_endpoint::run_unload(std::string adapter) {
    std::optional<bool> unloaded = false;
    const bool announced = setup_.checks_fencing || co_await announce_eviction(adapter);
    if (announced) {
        unloaded = co_await order_unload(adapter);
    }
    // An intent whose order got no answer stays unresolved, since the order may still take effect.
    if (announced && !setup_.checks_fencing && unloaded) {
        if (const auto own = services_.members.own_session()) {
            services_.member_writer.append(ledger::eviction_done{setup_.id, *own, adapter});
        }
    }
    {
        const std::lock_guard lock(mutex_);
        scheduler_.on_unload_done(adapter, unloaded, node_context::now());
    }
    pump();
}

net::awaitable<void> owned_endpoint::run_attempt(active_ptr active, bool priority) {
    const auto end = co_await stream_attempt(active, priority);
    finish(active, end);
}

net::engine_call owned_endpoint::engine_call_of(const active_attempt& active, bool priority) {
    net::engine_call call{active.item.id, active.item.body, active.item.chat, active.next_position};
    call.body["model"] = active.item.model;
    call.body["stream"] = true;
    call.body["priority"] = priority ? 1 : 0;
    return call;
}

net::awaitable<attempt_end> owned_endpoint::stream_attempt(active_ptr active, bool priority) {
    constexpr int max_reconnects = 2;
    const auto timeout = services_.context.settings.progress_timeout;
    active->next_position = active->item.resume_from;
    for (int tries = 0; tries <= max_reconnects; ++tries) {
        auto call = engine_call_of(*active, priority);
        auto opened = co_await services_.engines.complete(setup_.address, std::move(call), timeout);
        if (!opened.has_value() && opened.error().kind == support::error_kind::refused) {
            co_return ended(attempt_end_kind::interrupted, "engine_refused");
        }
        if (opened.has_value()) {
            const std::shared_ptr<net::engine_stream> stream = std::move(opened.value());
            const auto result = co_await read_events(active, stream);
            if (result == read_result::done) {
                co_return attempt_end{};
            }
            if (result == read_result::cancelled) {
                co_return ended(attempt_end_kind::caller_gone, "cancelled");
            }
            if (result == read_result::rejected) {
                co_return ended(attempt_end_kind::interrupted, "engine_error");
            }
        }
        // A broken stream may mean that the engine has restarted, which its state shows.
        services_.context.counters.increment("stream_reconnects_total");
        const bool reachable = co_await refresh();
        if (active->crashed) {
            co_return ended(attempt_end_kind::crashed, "engine_restarted");
        }
        if (!reachable) {
            break;
        }
    }
    co_return ended(attempt_end_kind::interrupted, "engine_silent");
}

net::awaitable<owned_endpoint::read_result>
owned_endpoint::read_events(active_ptr active, std::shared_ptr<net::engine_stream> stream) {
    const auto timeout = services_.context.settings.progress_timeout;
    {
        const std::lock_guard lock(mutex_);
        active->stream = stream;
    }
    for (;;) {
        auto event = co_await stream->next(timeout);
        if (active->cancelled) {
            co_return read_result::cancelled;
        }
        if (!event.has_value() || !event.value()) {
            co_return read_result::broken;
        }
        const auto& item = *event.value();
        if (item.data == "[DONE]") {
            co_return read_result::done;
        }
        if (item.event == "error") {
            co_return read_result::rejected;
        }
        const auto position = std::strtoull(item.id.c_str(), nullptr, 10);
        if (position == active->item.resume_from) {
            const std::lock_guard lock(mutex_);
            scheduler_.on_first_token(active->item.id, node_context::now());
        }
        active->next_position = position + 1;
        active->sink(token_event{position, item.data});
    }
}

void owned_endpoint::finish(const active_ptr& active, const attempt_end& end) {
    const std::size_t tokens = active->next_position - active->item.resume_from;
    auto how = policy::finish_kind::failed;
    if (end.kind == attempt_end_kind::completed) {
        how = policy::finish_kind::done;
        services_.crashes.on_finished(active->item.fingerprint);
    } else if (end.kind == attempt_end_kind::caller_gone) {
        how = policy::finish_kind::cancelled;
    } else if (end.kind == attempt_end_kind::interrupted) {
        // The engine may still run the request behind a silent connection.
        cancel_at_engine(active->item.id);
    }
    {
        const std::lock_guard lock(mutex_);
        scheduler_.on_finished(active->item.id, how, tokens, node_context::now());
        attempts_.erase(active->item.id);
    }
    if (!active->cancelled) {
        active->sink(end);
    }
    pump();
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
