#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflystair::soak {

/// Kinds of fault that a run injects. On a link, `cut` closes open and new connections, `silence`
/// stops forwarding on the open ones without closing them, `reset` resets the open ones, and
/// `delay` delays all data.
enum class fault_kind {
    kill_gateway,
    suspend_gateway,
    stop_gateway,    ///< Sends SIGTERM, later SIGKILL if the process still runs, and restarts the
                     ///< gateway.
    hang_up_gateway, ///< Rewrites the settings and sends SIGHUP.
    cut_store_link,
    silence_store_link,
    silence_store_answers, ///< Stops forwarding only what the store sends.
    reset_store_link,
    delay_store_link,
    cut_endpoint_link,
    silence_endpoint_link,
    reset_endpoint_link,
    delay_endpoint_link,
    endpoint_fails,
    endpoint_loses_answers,
    endpoint_full,
    replace_endpoint, ///< The endpoint announces that it is draining, then restarts.
    restart_endpoint, ///< The endpoint restarts without announcing it.
    store_refuses,
    store_loses_answers,
    change_configuration,
    endpoint_names_limit, ///< Drawn only by `fault_choice::limits`.
    // Drawn only by `fault_choice::store_links`.
    partition_store_link,    ///< Open and new connections to the store are silent.
    unlist_endpoint,         ///< The endpoint's record is removed; it serves on and later restarts.
    repeat_endpoint_answers, ///< A copy of each answer precedes the next one on its connection.
                             ///< Drawn only by `fault_choice::repeated_answers`.
    restore_store, ///< The store is down, then returns in the state of some seconds before. Drawn
                   ///< only by `fault_choice::restored_store`.
    // Drawn only by `fault_choice::tenants`.
    replace_key,  ///< A key of a tenant is revoked and another one is issued.
    tenant_surge, ///< A tenant sends many times its usual load.
    bad_callers,  ///< Callers do not finish what they send, or do not read responses.
    late_report,  ///< An endpoint restarts under its id, then leaves, and the store executes a
                  ///< report of its former run seconds late. Drawn only by
                  ///< `fault_choice::late_reports`.
};

/// Number of kinds that `fault_choice::any` draws from.
inline constexpr std::size_t usual_fault_kinds = 21;

/// Time from SIGTERM to SIGKILL.
inline constexpr std::chrono::milliseconds shutdown_time{4'500};

std::string_view to_string(fault_kind kind);

/// The set of faults that a plan draws from.
enum class fault_choice {
    any,
    planned,          ///< Only operator actions, during which no running call may be cut off.
    limits,           ///< Half of the faults are endpoints that name a rate limit.
    store_links,      ///< Silent links to the store, each followed by an endpoint that leaves.
    repeated_answers, ///< Copies of answers, with many restarts and rejections of endpoints.
    restored_store,   ///< A store that returns in an earlier state, among changes of what it holds.
    tenants,          ///< A third of the faults concern tenants, the others are of any kind.
    late_reports,     ///< Half of the faults are late reports, among faults of gateways.
};

/// A fault with its start time, relative to the start of the plan, its duration and its target.
struct fault {
    fault_kind kind = fault_kind::kill_gateway;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds lasts{0};
    std::size_t target = 0; ///< Index, modulo the number of targets of this kind.
};

/// Returns `count` faults sorted by start time; some overlap. The plan depends only on the
/// arguments, so a seed reproduces it.
std::vector<fault> plan_faults(std::uint64_t seed, std::size_t count, fault_choice choice);

} // namespace dragonflystair::soak
