#include "gateway_impl.h"

#include "dragonflystair/net/caller_allowance.h"
#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/hash.h"
#include "dragonflystair/support/log.h"

#include "listener_shares.h"
#include "platform/decode.h"
#include "platform/directory.h"
#include "platform/names.h"
#include "sleep.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Period of the control loop; leases, demand and loads are processed at its multiples.
constexpr milliseconds tick_period{50};
/// Period of the reports of loads and of used adapters. 200 ms: half the duration of a short
/// generation.
constexpr std::uint64_t ticks_per_load{4};
constexpr std::uint64_t ticks_per_load_via_lead{2};  ///< 100 ms: forwarding by the lead adds delay.
constexpr std::uint64_t ticks_per_residency{4};      ///< 200 ms, for nodes whose lead places calls.
constexpr std::uint64_t ticks_per_status{10};        ///< 500 ms.
constexpr std::uint64_t ticks_per_remote_status{20}; ///< 1 s: traffic between regions is billed.
constexpr std::uint64_t ticks_per_freshness{fleet::configuration_freshness::peer_request_period /
                                            tick_period};
constexpr std::uint64_t ticks_per_limited_use{20};     ///< 1 s, for the log.
constexpr std::uint64_t ticks_per_reload{100};         ///< 5 s.
constexpr std::uint64_t ticks_per_full_residency{200}; ///< 10 s: repairs state after lost frames.

/// Times of reads of the topics that change rarely. A silent connection is detected after the wait
/// and the client's own margin, within the 4 s that the platform allows a node to regain contact.
constexpr store_follower::pacing quiet_topic{milliseconds{0}, milliseconds{2'000}};
/// Times of reads of the endpoint list, which changes ten times a second.
constexpr store_follower::pacing endpoint_list{fleet::store_readers::read_interval,
                                               fleet::store_readers::read_wait};

/// Limits of response bodies. The store's pages have 1 MB at most, and base64 adds a third.
constexpr std::size_t max_store_body_bytes = std::size_t{4} * 1024 * 1024;
/// A report lists the models and adapters of one engine. Many engines may answer at the same time.
constexpr std::size_t max_engine_body_bytes = std::size_t{1024} * 1024;

/// A read confirms the configuration as of the time at which it was sent, so it must not wait long
/// where revocations have to be in force in time.
store_follower::pacing operator_topic_pacing(const config::gateway_settings& settings) {
    auto pacing = quiet_topic;
    if (settings.revocation_timeout) {
        pacing.wait =
            std::min(pacing.wait,
                     fleet::configuration_freshness::max_read_wait(*settings.revocation_timeout));
    }
    return pacing;
}

fleet::retry_limits retry_limits_of(const config::gateway_settings& settings) {
    return {settings.retry_ratio, settings.retry_slack, settings.retry_window};
}

fleet::balancing balancing_of(const config::gateway_settings& settings) {
    fleet::balancing result;
    result.learned_speed = settings.learned_speed;
    if (settings.balanced_choice) {
        result.seed = support::fingerprint(settings.name);
    }
    return result;
}

net::http_response text_response(int status, std::string body, std::string_view type) {
    net::http_response response;
    response.status = status;
    response.headers["Content-Type"] = std::string(type);
    response.body = std::move(body);
    return response;
}

} // namespace

gateway::impl::impl(const config::gateway_settings& settings, settings_source reload)
    : io_(1), reload_(std::move(reload)),
      view_{settings,
            support::random_id(),
            io_.get_executor(),
            fleet::topology(settings.data_centre, settings.data_centres),
            counters_,
            first_byte_latency_,
            nullptr,
            fleet::dispatcher(fleet::topology(settings.data_centre, settings.data_centres)),
            fleet::retry_allowance(retry_limits_of(settings)),
            fleet::endpoint_backoff(settings.name),
            net::exchange_client(io_.get_executor(), std::string(platform::request_id_header)),
            1,
            false},
      store_http_(io_.get_executor(), max_store_body_bytes),
      engine_http_(io_.get_executor(), max_engine_body_bytes,
                   std::string(platform::request_id_header)),
      store_(store_http_, settings.store_address, [this](std::uint64_t era) { on_store_era(era); }),
      engines_(engine_http_,
               [this](const auto& receiver, const auto& notice, support::time_point sent) {
                   on_notice(receiver.endpoint, receiver.started_ms, notice, sent);
               }),
      readers_(settings.name),
      placer_(view_, {[this](std::string_view peer, const support::json& frame) {
                          return network_.send(peer, frame);
                      },
                      [this](std::string_view data_centre) { return lead_of(data_centre); },
                      [this] { return nearest_lead(); },
                      [this](const auto& decision) { relay_.decide(decision); }, [this] { pump(); },
                      [] { return boot_clock::now(); }}),
      relay_(view_, placer_,
             {[this](std::string_view endpoint, std::uint64_t started_ms, const auto& notice,
                     support::time_point sent) { on_notice(endpoint, started_ms, notice, sent); },
              [this] { return other_node_ready(); }, [this] { send_quota_request(); }}),
      operator_records_(io_.get_executor(), store_, std::string(platform::operator_topic),
                        operator_topic_pacing(settings), operator_hooks(),
                        [](const auto& record) { return platform::version_of(record); }),
      endpoint_records_(io_.get_executor(), store_, std::string(platform::endpoint_topic),
                        endpoint_list,
                        follower_hooks([this](auto records) { on_endpoint_records(records); })),
      node_records_(io_.get_executor(), store_, std::string(platform::node_topic), quiet_topic,
                    follower_hooks([this](auto records) { on_node_records(records); })),
      network_(
          io_.get_executor(), settings.peer_address, peer_settings_of(settings, view_.incarnation),
          {[this](std::string_view peer, const support::json& frame) { on_frame(peer, frame); },
           [this](std::string_view peer) {
               network_.send(peer, status_frame(own_status()));
               send_removals(peer);
               send_limits(peer);
               send_blocks(peer);
               send_all_residency(peer);
           },
           [this](std::string_view peer) { on_peer_down(peer); }},
          counters_),
      quota_allocator_({settings.quota_window, settings.quota_overrun, settings.quota_slack}),
      caller_server_(
          io_.get_executor(), settings.caller_address, net::request_limits_of(settings.callers),
          [this](net::http_exchange& exchange) {
              last_caller_request_ = boot_clock::now();
              return relay_.serve(exchange);
          },
          counters_, caller_options(settings)),
      ready_server_(
          io_.get_executor(), settings.ready_address, other_limits_of(settings),
          [this](net::http_exchange& exchange) { return serve_ready(exchange); }, counters_,
          other_options_of("ready", settings)),
      resolve_server_(
          io_.get_executor(), settings.resolve_address, other_limits_of(settings),
          [this](net::http_exchange& exchange) { return serve_resolve(exchange); }, counters_,
          other_options_of("resolve", settings)),
      metrics_server_(
          io_.get_executor(), settings.metrics_address, other_limits_of(settings),
          [this](net::http_exchange& exchange) { return serve_metrics(exchange); }, counters_,
          other_options_of("metrics", settings)),
      signals_(io_, SIGTERM, SIGINT, SIGHUP), pump_timer_(io_), grant_timer_(io_) {
    view_.permits = fleet::send_permits(settings.name);
    view_.dispatcher.use_permits(view_.permits);
    view_.dispatcher.balance(balancing_of(settings));
    view_.freshness = fleet::configuration_freshness(settings.revocation_timeout);
    view_.suspects =
        fleet::crash_suspects([this](const fleet::trait& what) { return test_delay(what); });
    for (const auto& [data_centre, region] : view_.settings.data_centres) {
        holder_for(data_centre);
    }
}

store_follower::hooks gateway::impl::follower_hooks(
    std::function<void(std::span<const fleet::keyed_record>)> on_records) {
    return {std::move(on_records), [this] { return view_.stopping; },
            [this] { return has_reader(); }, [this] { return readers_.rank(); },
            [this](const std::string& topic, const fleet::keyed_page& page) {
                forward_records(topic, page);
            }};
}

net::http_server_options gateway::impl::caller_options(const config::gateway_settings& settings) {
    auto options = caller_options_of(settings);
    options.check_head = [this](const net::http_request& head) {
        last_caller_request_ = boot_clock::now();
        return relay_.refuse_from_head(head);
    };
    return options;
}

store_follower::hooks gateway::impl::operator_hooks() {
    auto hooks = follower_hooks([this](auto records) { on_operator_records(records); });
    hooks.on_complete = [this](support::time_point asked) { view_.freshness.on_store_read(asked); };
    return hooks;
}

placement_holder& gateway::impl::holder_for(const std::string& data_centre) {
    auto& holder = holders_[data_centre];
    if (!holder) {
        holder = std::make_shared<placement_holder>(
            view_, store_, engines_, data_centre,
            placement_holder::hooks{
                [this](std::span<const fleet::residency_change> changes) {
                    apply_residency(changes);
                    send_residency(changes);
                    pump();
                },
                [this, data_centre] { return rank_for(data_centre); },
                [this] { return !peers_.empty(); }, [this] { send_status(true); },
                [this](std::string_view endpoint) { return take_order_permit(endpoint); }});
    }
    return *holder;
}

int gateway::impl::run() {
    support::log_change("start", {{"node", view_.settings.name},
                                  {"incarnation", view_.incarnation},
                                  {"data_centre", view_.settings.data_centre},
                                  {"store", view_.settings.store_address}});
    const auto spawn = [this](std::string_view task, auto work) {
        net::spawn(io_.get_executor(), task, std::move(work));
    };
    network_.start();
    dial_peers();
    spawn("register_node", [this] { return register_node(); });
    spawn("operator_records", [this] { return operator_records_.run(); });
    spawn("endpoint_records", [this] { return endpoint_records_.run(); });
    spawn("node_records", [this] { return node_records_.run(); });
    spawn("tick_loop", [this] { return tick_loop(); });
    caller_server_.start();
    ready_server_.start();
    resolve_server_.start();
    metrics_server_.start();
    wait_for_signal();
    net::run_handlers(io_);
    support::log_change("stop", {{"node", view_.settings.name}});
    return 0;
}

/// An exception in one tick must not end the loop: the node would stay up without doing any work.
net::awaitable<void> gateway::impl::tick_loop() {
    while (true) {
        try {
            tick();
        } catch (...) {
            counters_.increment("turns_failed_total");
            net::log_unhandled("tick", std::current_exception());
        }
        co_await sleep_for(io_.get_executor(), tick_period);
    }
}

void gateway::impl::tick() {
    ++ticks_;
    for (const auto& [name, holder] : holders_) {
        holder->tick();
        holder->pump();
    }
    placer_.tick();
    update_crashes();
    view_.permits.set_nodes(view_.live_nodes);
    view_.dispatcher.set_nodes(view_.live_nodes);
    update_quotas();
    if (view_.dispatcher.waiting() > 0) {
        pump();
    } else {
        update_permits();
    }
    watch_.set_store_reachable(endpoint_records_.reachable() || has_reader(), boot_clock::now());
    remove_gone_endpoints();
    view_.dispatcher.set_loads_possible(loads_possible());
    send_demand(ticks_ % ticks_per_load == 0);
    if (ticks_ % (leads_place_calls() ? ticks_per_load_via_lead : ticks_per_load) == 0) {
        send_loads();
    }
    if (ticks_ % ticks_per_residency == 0) {
        flush_residency();
    }
    if (ticks_ % ticks_per_status == 0) {
        send_status(holds_lease() && ticks_ % ticks_per_remote_status == 0);
        restore_registration();
        report_nodes_in_touch();
        dial_peers();
    }
    if (ticks_ % ticks_per_freshness == 0) {
        request_freshness();
    }
    if (ticks_ % ticks_per_limited_use == 0) {
        log_limited_use();
        log_memory_limit();
    }
    if (ticks_ % ticks_per_reload == 0) {
        reload_settings();
    }
    if (ticks_ % ticks_per_full_residency == 0) {
        for (const auto& [name, holder] : holders_) {
            if (holder->active()) {
                send_residency(holder->planner().residencies());
            }
        }
    }
}

/// Delivers the dispatcher's decisions on waiting calls. A decision resumes its coroutine later, so
/// this does not recurse.
void gateway::impl::pump() {
    if (std::exchange(pumping_, true)) {
        return;
    }
    // A call that is diverted to another data centre may return to this dispatcher immediately.
    for (bool decided = true; decided;) {
        decided = false;
        for (const auto& decision : view_.dispatcher.pump(boot_clock::now())) {
            placer_.on_decision(decision);
            decided = true;
        }
        decided = update_permits() || decided;
    }
    pumping_ = false;
    schedule_pump();
    if (view_.dispatcher.take_new_demand()) {
        send_demand(false);
    }
}

void gateway::impl::schedule_pump() {
    const auto due = view_.dispatcher.next_deadline();
    if (!due) {
        return;
    }
    pump_timer_.expires_after(std::max(*due - boot_clock::now(), support::duration{}));
    pump_timer_.async_wait([this](const boost::system::error_code& code) {
        if (!code) {
            pump();
        }
    });
}

bool gateway::impl::ready() const {
    return view_.configuration && !view_.stopping && !endpoint_records_.mirror().empty();
}

net::awaitable<void> gateway::impl::serve_ready(net::http_exchange& exchange) {
    auto response = text_response(ready() ? 200 : 503, {}, "text/plain");
    co_await exchange.respond(std::move(response));
}

/// Returns the addresses of the ready nodes in the caller's data centre, or of all ready nodes if
/// it has none. The response has a short lifetime, so that a caller whose only node fails soon gets
/// other addresses.
std::vector<std::string> gateway::impl::addresses_for(std::string_view data_centre) const {
    constexpr std::size_t max_addresses = 64;
    std::vector<std::string> local;
    std::vector<std::string> remote;
    const auto add = [&](std::string_view node_data_centre, const std::string& address) {
        (node_data_centre == data_centre ? local : remote).push_back(address);
    };
    if (ready()) {
        add(view_.settings.data_centre, caller_server_.address());
    }
    for (const auto& [incarnation, peer] : peers_) {
        if (peer.status.ready && !peer.status.leaving) {
            add(peer.status.data_centre, peer.status.caller_address);
        }
    }
    if (local.empty()) {
        local = std::move(remote);
    }
    if (local.size() > max_addresses) {
        local.resize(max_addresses);
    }
    return local;
}

net::awaitable<void> gateway::impl::serve_resolve(net::http_exchange& exchange) {
    const auto data_centre = platform::requested_data_centre(exchange.request().target);
    const auto addresses = addresses_for(data_centre);
    auto response =
        addresses.empty()
            ? text_response(503, {}, "text/plain")
            : text_response(200,
                            platform::render_addresses(addresses, view_.settings.resolve_lifetime),
                            "application/json");
    co_await exchange.respond(std::move(response));
}

net::awaitable<void> gateway::impl::serve_metrics(net::http_exchange& exchange) {
    counters_.set_gauge("calls_open", static_cast<double>(relay_.open_calls()));
    counters_.set_gauge("calls_waiting", static_cast<double>(view_.dispatcher.waiting()));
    counters_.set_gauge("log_lines_dropped", static_cast<double>(support::dropped_log_lines()));
    counters_.set_gauge("peers_in_touch", static_cast<double>(peers_.size()));
    counters_.set_gauge("endpoints_limited", static_cast<double>(view_.limits.in_force()));
    counters_.set_gauge("endpoint_connections_opened",
                        static_cast<double>(view_.endpoints.opened()));
    counters_.set_gauge("configuration_version",
                        view_.configuration ? static_cast<double>(view_.configuration->version)
                                            : 0.0);
    counters_.set_gauge("caller_bytes_held", static_cast<double>(caller_server_.held_bytes()));
    counters_.set_gauge("caller_connections",
                        static_cast<double>(caller_server_.open_connections()));
    auto body = counters_.render();
    first_byte_latency_.render("first_byte_seconds", body);
    auto response = text_response(200, std::move(body), "text/plain; version=0.0.4");
    co_await exchange.respond(std::move(response));
}

void gateway::impl::wait_for_signal() {
    signals_.async_wait([this](const boost::system::error_code& code, int signal) {
        if (code) {
            return;
        }
        if (signal == SIGHUP) {
            reload_settings();
        } else if (!view_.stopping) {
            view_.stopping = true;
            net::spawn(io_.get_executor(), "shut_down", [this] { return shut_down(); });
        }
        wait_for_signal();
    });
}

/// Applies the settings that may change while the node runs: the bootstrap peers, the retry limits,
/// the shutdown timeout and the lifetime of resolved addresses. A change of any other setting needs
/// a restart, which is logged.
void gateway::impl::reload_settings() {
    const auto fresh = reload_();
    if (!fresh || *fresh == view_.settings) {
        return;
    }
    auto& current = view_.settings;
    current.peers = fresh->peers;
    current.retry_ratio = fresh->retry_ratio;
    current.retry_slack = fresh->retry_slack;
    current.retry_window = fresh->retry_window;
    current.shutdown_timeout = fresh->shutdown_timeout;
    current.resolve_lifetime = fresh->resolve_lifetime;
    current.plain_calls = fresh->plain_calls;
    current.learned_speed = fresh->learned_speed;
    current.balanced_choice = fresh->balanced_choice;
    view_.dispatcher.balance(balancing_of(current));
    view_.retries.set_limits(retry_limits_of(current));
    const bool complete = *fresh == current;
    support::log_change("settings_reloaded", {{"restart_needed", complete ? "no" : "yes"},
                                              {"peers", std::to_string(current.peers.size())}});
}

bool gateway::impl::other_node_ready() const {
    return std::ranges::any_of(peers_, [](const auto& peer) {
        return peer.second.status.ready && !peer.second.status.leaving;
    });
}

/// Withdraws this node from the list of ready nodes, serves the requests that still arrive and can
/// be answered in time, and stops before the platform's shutdown limit.
net::awaitable<void> gateway::impl::shut_down() {
    const fleet::shutdown_schedule schedule(boot_clock::now(), view_.settings.shutdown_timeout);
    support::log_change("stopping", {{"open_calls", std::to_string(relay_.open_calls())}});
    relay_.begin_shutdown(schedule);
    caller_server_.announce_shutdown();
    send_status(true);
    // Concurrently, since a store that does not answer delays each of them.
    for (const auto& [name, holder] : holders_) {
        net::spawn(io_.get_executor(), "leave_lease", [item = holder] { return item->leave(); });
    }
    while (!schedule.may_close(boot_clock::now(), last_caller_request_, relay_.open_calls() > 0)) {
        co_await sleep_for(io_.get_executor(), tick_period);
    }
    support::log_change("closing",
                        {{"open_calls", std::to_string(relay_.open_calls())},
                         {"open_connections", std::to_string(caller_server_.open_connections())}});
    caller_server_.begin_shutdown();
    // Connections from the listen backlog and those with a partly read request also count.
    do {
        co_await sleep_for(io_.get_executor(), tick_period);
    } while ((relay_.open_calls() > 0 || caller_server_.open_connections() > 0) &&
             boot_clock::now() < schedule.ends_at());
    io_.stop();
}

gateway::gateway(const config::gateway_settings& settings, settings_source reload)
    : impl_(std::make_unique<impl>(settings, std::move(reload))) {}

gateway::~gateway() = default;

std::string gateway::caller_address() const {
    return impl_->caller_address();
}

std::string gateway::peer_address() const {
    return impl_->peer_address();
}

int gateway::run() {
    return impl_->run();
}

} // namespace dragonflystair::gateway
