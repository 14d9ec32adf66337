#include "node_impl.h"

#include "dragonflystair/net/caller_allowance.h"
#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/hash.h"
#include "dragonflystair/support/log.h"

#include "server_options.h"
#include "sleep.h"

#include <boost/asio/co_spawn.hpp>

#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflystair::node {

namespace {

constexpr std::chrono::milliseconds tick_period{20};
constexpr std::chrono::milliseconds vm_list_timeout{2'000};
/// Time without access to the log and without connected peers after which a node stops accepting
/// callers.
constexpr std::chrono::milliseconds isolation_timeout{10'000};

membership::lease_timing timing_of(const config::settings& settings) {
    return {settings.lease, settings.lease_margin, settings.renewal_period};
}

} // namespace

node::impl::impl(config::settings values)
    : io(static_cast<int>(values.threads)),
      context{std::move(values), support::random_id(), io.get_executor(), {}, {}, {}, false},
      http(context.executor), log(http, context.settings.log_address),
      vm_list(http, context.settings.vm_list_address), engines(http),
      lifecycle([](std::string_view from, std::string_view to) {
          support::log_change("lifecycle", {{"from", std::string(from)}, {"to", std::string(to)}});
      }),
      members(context.incarnation, timing_of(context.settings)),
      config_writer(std::make_shared<log_writer>(context, log, "config")),
      member_writer(std::make_shared<log_writer>(context, log, "members")),
      claim_writer(std::make_shared<log_writer>(context, log, "claims")),
      permits(context, members,
              {[this](std::string_view peer, const support::json& frame) {
                   return network.send(peer, frame);
               },
               [this] { return store_limits(); },
               [this](const std::string& endpoint, const std::string& adapter,
                      const held_permit& permit) {
                   if (const auto owned = owners.find(endpoint)) {
                       owned->on_permit(adapter, permit);
                       return;
                   }
                   permits.return_permit(permit, false);
               }}),
      owners({context, members, *member_writer, engines, permits, crashes,
              [this](std::span<const std::uint64_t> fingerprints) {
                  protocol.send_suspects(fingerprints);
              }},
             config, directory),
      claims({[this](ledger::record record) { claim_writer->append(std::move(record)); },
              [this] {
                  return members.has_valid_lease(node_context::now()) &&
                         !claim_follower.unreachable();
              },
              [this](ledger::session_id session) { return members.session_may_be_live(session); }},
             [this](claim_table::call_number call, const calls::call_step& step) {
                 plain.on_step(call, step);
             }),
      inquiry(context, members,
              {[this](std::string_view peer, const support::json& frame) {
                   return network.send(peer, frame);
               },
               [this](std::string_view key) { return claims.may_have_run(key); }}),
      models({context, config, members, directory, owners, remote_attempts, crashes,
              [this](std::string_view peer, const support::json& frame) {
                  return network.send(peer, frame);
              }}),
      plain({context, config, directory, claims, inquiry, http}),
      resolve(context, config, members, peers, models, [this] { return accepts_callers(); }),
      callers(
          context, resolve, models, plain, [this] { return serves_callers(); },
          [this] { return model_names(); }),
      operators({context, config, members, directory, peers, *config_writer,
                 [this] { return accepts_callers(); },
                 [this] {
                     const std::lock_guard lock(lifecycle_mutex);
                     return std::string(lifecycle.state_name());
                 },
                 [this] { update_gauges(); }}),
      protocol({context, config, directory, owners, remote_attempts, crashes, peers, permits,
                inquiry,
                [this](std::string_view peer, const support::json& frame) {
                    return network.send(peer, frame);
                },
                [this](const support::json& frame) { network.broadcast(frame); },
                [this] { return network.connected(); }, [this] { return accepts_callers(); },
                [this] { return agent.promises_no_takeover(); },
                [this](std::string_view peer, bool promises, support::time_point echo) {
                    members.on_promise(peer, promises, echo);
                },
                [this](const std::string& stream) { return fold_state(stream); },
                [this](const std::string& stream, const support::json& state) {
                    restore_fold(stream, state);
                }}),
      config_snapshots(*config_writer, [this] { return config.state(); }),
      member_snapshots(*member_writer, [this] { return members.state(); }),
      claim_snapshots(*claim_writer, [this] { return claims.state(); }),
      config_follower(context, log, "config",
                      follower_hooks(config, *config_writer, config_snapshots)),
      member_follower(context, log, "members",
                      follower_hooks(members, *member_writer, member_snapshots)),
      claim_follower(context, log, "claims",
                     follower_hooks(claims, *claim_writer, claim_snapshots)),
      network(context.executor, context.settings.peer_address,
              peer_settings_of(context.settings, context.incarnation),
              {[this](std::string_view peer, const support::json& frame) {
                   protocol.on_frame(peer, frame);
               },
               [this](std::string_view peer) { protocol.on_up(peer); },
               [this](std::string_view peer) { protocol.on_down(peer); }},
              context.counters),
      caller_server(
          context.executor, context.settings.caller_address,
          net::request_limits_of(context.settings.callers),
          [this](net::http_exchange& exchange) { return callers.serve(exchange); },
          context.counters,
          caller_options_of(context.settings,
                            [this](const auto& head) { return callers.refuse_from_head(head); })),
      operator_server(
          context.executor, context.settings.operator_address, operator_limits_of(context.settings),
          [this](net::http_exchange& exchange) { return operators.serve(exchange); },
          context.counters,
          operator_options_of(
              context.settings,
              [this](const auto& head) { return operators.answer_from_head(head); })),
      agent(context, members, *member_writer, member_follower, session_record(),
            {[this] { return ownables(); },
             [this](ledger::session_id session) { claims.set_session(session); }, [] {},
             [this] { return draining(); }}),
      signals(io, SIGTERM, SIGINT), last_contact_(node_context::now()) {}

template <class Table>
log_follower::hooks node::impl::follower_hooks(Table& table, log_writer& writer,
                                               snapshot_keeper& snapshots) {
    log_follower::hooks hooks;
    hooks.apply = [&table, &writer, &snapshots](std::span<const ledger::stream_entry> entries) {
        const auto now = node_context::now();
        if constexpr (std::is_same_v<Table, config_table>) {
            table.apply(entries);
        } else {
            table.apply(entries, now);
        }
        snapshots.on_entries(entries, now);
        for (const auto& entry : entries) {
            writer.on_entry(entry);
        }
    };
    hooks.next_offset = [&table] { return table.next_offset(); };
    hooks.complete = [&table] { return table.complete(); };
    hooks.unreachable = [this] { members.on_log_unreachable(); };
    return hooks;
}

bool node::impl::accepts_callers() {
    const std::lock_guard lock(lifecycle_mutex);
    return lifecycle.accepts_callers();
}

bool node::impl::draining() {
    const std::lock_guard lock(lifecycle_mutex);
    return lifecycle.draining();
}

bool node::impl::serves_callers() {
    const std::lock_guard lock(lifecycle_mutex);
    return lifecycle.accepts_callers() ||
           (lifecycle.draining() && node_context::now() < callers_leave_by);
}

std::vector<std::string> node::impl::model_names() const {
    const auto view = config.view();
    std::vector<std::string> names;
    names.reserve(view->deployment.adapters.size());
    for (const auto& [name, adapter] : view->deployment.adapters) {
        names.push_back(name);
    }
    return names;
}

policy::store_limits node::impl::store_limits() const {
    const auto view = config.view();
    policy::store_limits limits;
    limits.loads_per_second = view->deployment.store_loads_per_second;
    limits.concurrent_loads = view->deployment.store_concurrent_loads;
    limits.transit_limit = view->deployment.transit_limit;
    return limits;
}

std::vector<membership::ownable_resource> node::impl::ownables() const {
    auto result = directory.ownables(config.view()->deployment, node_context::now());
    result.push_back({std::string(permit_broker::store_resource), "", ""});
    return result;
}

ledger::session_open node::impl::session_record() const {
    const auto& settings = context.settings;
    return {settings.name,        context.incarnation,     settings.region,
            settings.data_centre, caller_server.address(), network.address()};
}

support::json node::impl::fold_state(const std::string& stream) const {
    if (stream == "config") {
        return config.state();
    }
    return stream == "members" ? members.state() : claims.state();
}

void node::impl::restore_fold(const std::string& stream, const support::json& state) {
    if (stream == "config") {
        config.restore(state);
        config_follower.mark_caught_up();
    } else if (stream == "members") {
        members.restore(state);
        member_follower.mark_caught_up();
    } else {
        claims.restore(state);
        claim_follower.mark_caught_up();
    }
}

void node::impl::update_gauges() {
    auto& counters = context.counters;
    counters.set_gauge("revision", static_cast<double>(config.view()->revision));
    counters.set_gauge("endpoints_owned", static_cast<double>(owners.all().size()));
    counters.set_gauge("attempts_running", static_cast<double>(owners.running()));
    counters.set_gauge("exchanges_open", static_cast<double>(caller_server.open_exchanges()));
    counters.set_gauge("caller_connections", static_cast<double>(caller_server.open_connections()));
    counters.set_gauge("caller_bytes_held", static_cast<double>(caller_server.held_bytes()));
    counters.set_gauge("idempotency_keys", static_cast<double>(claims.keys()));
    counters.set_gauge("load_permits_outstanding", static_cast<double>(permits.outstanding()));
    counters.set_gauge("requests_quarantined",
                       static_cast<double>(crashes.quarantined(node_context::now()).size()));
    counters.set_gauge("peers_connected", static_cast<double>(network.connected().size()));
}

net::awaitable<void> node::impl::tick_loop() {
    while (!context.stopping) {
        const auto view = config.view();
        if (view->revision != applied_revision_) {
            applied_revision_ = view->revision;
            directory.update_deployment(view->deployment, node_context::now());
            protocol.send_heartbeat();
        }
        if (owners.tick()) {
            protocol.send_heartbeat();
        }
        permits.tick();
        claims.tick(node_context::now());
        co_await sleep_for(tick_period);
    }
}

net::awaitable<void> node::impl::heartbeat_loop() {
    while (!context.stopping) {
        check_reachability();
        dial_peers();
        protocol.send_heartbeat();
        owners.warm_replacements();
        const auto now = node_context::now();
        config_snapshots.tick(members, config_follower.first_retained_offset(),
                              config.next_offset(), now);
        member_snapshots.tick(members, member_follower.first_retained_offset(),
                              members.next_offset(), now);
        claim_snapshots.tick(members, claim_follower.first_retained_offset(), claims.next_offset(),
                             now);
        co_await sleep_for(peer_protocol::heartbeat_period);
    }
}

net::awaitable<void> node::impl::vm_list_loop() {
    while (!context.stopping) {
        auto listed = co_await vm_list.list(vm_list_timeout);
        if (listed.has_value()) {
            std::vector<membership::listed_vm> vms;
            for (auto& vm : listed.value()) {
                vms.push_back({vm.id, vm.address, vm.data_centre, vm.service, vm.leaving});
            }
            directory.update_list(vms, node_context::now());
        } else {
            context.counters.increment("vm_list_failures_total", to_string(listed.error().kind));
        }
        co_await sleep_for(std::chrono::seconds{1});
    }
}

void node::impl::check_reachability() {
    const auto now = node_context::now();
    const bool log_reachable = !member_follower.unreachable();
    if (log_reachable || !network.connected().empty()) {
        last_contact_ = now;
    }
    for (auto* follower : {&config_follower, &member_follower, &claim_follower}) {
        if (follower->unreachable() || !follower->caught_up()) {
            protocol.request_records(follower->stream(),
                                     follower == &config_follower   ? config.next_offset()
                                     : follower == &member_follower ? members.next_offset()
                                                                    : claims.next_offset());
        }
    }
    const std::lock_guard lock(lifecycle_mutex);
    if (config_follower.caught_up() && member_follower.caught_up() && claim_follower.caught_up()) {
        lifecycle.on_log_caught_up();
    }
    if (now - last_contact_ >= isolation_timeout) {
        lifecycle.on_isolated();
    } else {
        lifecycle.on_reconnected();
    }
}

void node::impl::dial_peers() {
    std::vector<std::string> addresses = context.settings.peers;
    for (const auto& session : members.sessions()) {
        if (session.open.incarnation != context.incarnation) {
            addresses.push_back(session.open.peer_address);
        }
    }
    network.dial(addresses);
}

void node::impl::wait_for_signal() {
    signals.async_wait([this](const boost::system::error_code& error, int number) {
        if (error) {
            return;
        }
        support::log_change("stop_requested", {{"signal", std::to_string(number)}});
        boost::asio::co_spawn(
            io, [this] { return shut_down(); }, net::exception_logger("node_impl"));
        signals.async_wait([this](const boost::system::error_code& second_error, int) {
            if (!second_error) {
                was_cut_off = true;
                io.stop();
            }
        });
    });
}

bool node::impl::idle() {
    return caller_server.open_exchanges() == 0 && owners.running() == 0 &&
           remote_attempts.size() == 0 && claims.open_calls() == 0;
}

net::awaitable<void> node::impl::shut_down() {
    const auto began = node_context::now();
    {
        const std::lock_guard lock(lifecycle_mutex);
        lifecycle.on_stop_requested();
        callers_leave_by = began + context.settings.answer_lifetime;
    }
    protocol.send_heartbeat();
    for (const auto& endpoint : ownables()) {
        const auto owner = members.owner_of(endpoint.name);
        if (owner && owner->session.incarnation == context.incarnation) {
            co_await agent.release(endpoint);
        }
    }
    const auto deadline = began + context.settings.drain_timeout;
    while ((node_context::now() < callers_leave_by || !idle()) && node_context::now() < deadline) {
        co_await sleep_for(std::chrono::milliseconds{50});
    }
    was_cut_off = !idle();
    const auto flush_end = node_context::now() + std::chrono::seconds{3};
    while ((!claim_writer->idle() || claims.orphaned_claims() > 0) &&
           node_context::now() < flush_end) {
        co_await sleep_for(std::chrono::milliseconds{20});
    }
    co_await agent.close();
    {
        const std::lock_guard lock(lifecycle_mutex);
        lifecycle.on_drained();
    }
    // Requests on idle connections are still answered until the idle timeout of the shutdown.
    caller_server.begin_shutdown();
    co_await sleep_for(net::http_server_limits{}.shutdown_idle_timeout);
    context.stopping = true;
    caller_server.stop();
    operator_server.stop();
    network.stop();
    io.stop();
}

int node::impl::run() {
    support::log_change("node_started", {{"node", context.settings.name},
                                         {"incarnation", context.incarnation},
                                         {"callers", caller_server.address()},
                                         {"peers", network.address()},
                                         {"operators", operator_server.address()}});
    network.start();
    caller_server.start();
    operator_server.start();
    config_follower.start();
    member_follower.start();
    claim_follower.start();
    agent.start();
    boost::asio::co_spawn(io, tick_loop(), net::exception_logger("node_impl"));
    boost::asio::co_spawn(io, heartbeat_loop(), net::exception_logger("node_impl"));
    boost::asio::co_spawn(io, vm_list_loop(), net::exception_logger("node_impl"));
    wait_for_signal();
    std::vector<std::thread> workers;
    for (unsigned count = 1; count < context.settings.threads; ++count) {
        workers.emplace_back([this] { net::run_handlers(io); });
    }
    net::run_handlers(io);
    for (auto& worker : workers) {
        worker.join();
    }
    support::log_change("node_stopped", {{"cut_off", was_cut_off ? "yes" : "no"}});
    return was_cut_off ? 1 : 0;
}

} // namespace dragonflystair::node
