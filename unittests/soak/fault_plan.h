#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflystair::soak {

enum class fault_kind {
    kill_gateway,
    suspend_gateway,
    stop_gateway, ///< SIGTERM.
    hang_up_gateway,
    cut_store_link,
    silence_store_link,
    silence_store_answers,
    reset_store_link,
    delay_store_link,
    cut_endpoint_link,
    silence_endpoint_link,
    reset_endpoint_link,
    delay_endpoint_link,
    endpoint_fails,
    endpoint_loses_answers,
    endpoint_full,
    replace_endpoint, ///< It leaves, then starts anew.
    restart_endpoint, ///< It starts anew without a word.
    store_refuses,
    store_loses_answers,
    change_configuration,
};

inline constexpr std::size_t fault_kinds = 21;

/// Time from SIGTERM to SIGKILL.
inline constexpr std::chrono::milliseconds shutdown_time{4'500};

std::string_view to_string(fault_kind kind);

/// Which faults a plan draws from.
enum class fault_choice {
    any,
    planned, ///< Only what operators do on purpose, around which no call may be cut off.
};

/// One fault: what, when it begins, on which of its kind, and for how long.
struct fault {
    fault_kind kind = fault_kind::kill_gateway;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds lasts{0};
    std::size_t target = 0; ///< Taken modulo the number of targets.
};

/// The faults of a seed in the order of their times; the same for the same seed. They come in
/// series and overlap.
std::vector<fault> plan_faults(std::uint64_t seed, std::size_t count, fault_choice choice);

} // namespace dragonflystair::soak
