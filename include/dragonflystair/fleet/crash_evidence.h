#pragma once

#include "dragonflystair/fleet/call.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// What may make a request crash the endpoints that run it: the request itself or a part of its
/// prompt that other requests may share.
enum class trait_kind : std::uint8_t { request, prompt_part };

struct trait {
    trait_kind kind = trait_kind::request;
    std::uint64_t id = 0; ///< Fingerprint of a request, or id of a part.

    auto operator<=>(const trait&) const = default;
};

/// The traits of one request.
struct request_traits {
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> parts; ///< In the order of the prompt, without its last part.
};

/// Limit on the parts of a prompt that are considered.
inline constexpr std::size_t max_parts_per_request = 16;

/// Limit on the traits that are blocked at the same time.
inline constexpr std::size_t max_blocked_traits = 1'024;

/// Returns the traits of a request. The last part of a prompt belongs to the request itself.
request_traits traits_of(std::uint64_t fingerprint, std::span<const prompt_part> prompt);

/// A run of an endpoint that ended while it had requests.
struct endpoint_crash {
    std::string endpoint;
    std::uint64_t started_ms = 0;
    std::chrono::milliseconds age{0};     ///< Time since the crash.
    std::vector<request_traits> requests; ///< In flight at the crash, as far as one node knows.
};

/// A trait and a time in the past that concerns it.
struct dated_trait {
    trait what;
    std::chrono::milliseconds age{0};
};

/// A trait whose requests are not sent to endpoints.
struct trait_block {
    trait what;
    std::chrono::milliseconds remaining{0}; ///< Until a single request may test the trait again.
    std::uint32_t level = 0;                ///< Number of tests that ended in a crash.
};

/// Evidence and conclusions that nodes exchange.
struct crash_notice {
    std::vector<endpoint_crash> crashes;
    std::vector<dated_trait> survived; ///< Time since a request with the trait was last served.
    /// Traits about to be blocked, with the time since the first crash that counts against them.
    std::vector<dated_trait> suspected;
    std::vector<trait_block> blocks;
    std::vector<trait> lifted; ///< Blocks that have turned out to be wrong.

    [[nodiscard]] bool has_evidence() const { return !crashes.empty() || !survived.empty(); }
    [[nodiscard]] bool has_conclusions() const {
        return !suspected.empty() || !blocks.empty() || !lifted.empty();
    }
};

} // namespace dragonflystair::fleet
