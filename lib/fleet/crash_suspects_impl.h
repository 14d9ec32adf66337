#pragma once

#include "dragonflystair/fleet/crash_suspects.h"

#include "crash_records.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

/// A suspicion that nobody renews lapses.
inline constexpr std::chrono::seconds suspicion_lifetime{60};
inline constexpr std::size_t max_suspicions = 64;

/// The reports of all nodes about a crash are waited for before it is considered.
inline constexpr std::chrono::milliseconds settle_time{250};

/// What counts against one part of a prompt.
struct part_case {
    std::uint64_t part = 0;
    std::size_t crashes = 0;
    std::size_t episodes = 0;      ///< Crashes at different times.
    std::size_t fingerprints = 0;  ///< Different requests with the part.
    std::size_t requests = 0;      ///< Requests with the part.
    std::size_t position = 0;      ///< Last position in a prompt.
    std::size_t crashes_since = 0; ///< All unexplained crashes since the first that counts.
    support::time_point first_crash;
};

struct crash_suspects::impl {
    struct block {
        support::time_point until;
        support::time_point blocked_at;
        std::uint32_t level = 0;
    };

    /// A trait that this node or a peer suspects.
    struct suspicion {
        support::time_point since;
        support::time_point first_crash;
        support::time_point expires;
        support::time_point objected; ///< When this node last published that it was served.
    };

    explicit impl(test_delay chosen) : delay(std::move(chosen)) {}

    [[nodiscard]] bool counts(const trait& what, const crash_record& crash) const;
    [[nodiscard]] static bool is_settled(const crash_record& crash, support::time_point now) {
        return crash.at + settle_time <= now;
    }
    [[nodiscard]] bool explained(const crash_record& crash) const;
    [[nodiscard]] std::vector<part_case> part_cases(support::time_point now) const;
    [[nodiscard]] bool is_proved(const part_case& found) const;
    [[nodiscard]] bool is_ambiguous(const part_case& strongest,
                                    std::span<const part_case> cases) const;
    [[nodiscard]] bool always_comes_with(std::uint64_t part, std::uint64_t other) const;
    void suspect(const part_case& found, support::time_point now);
    bool block_parts(support::time_point now);
    void block_requests(support::time_point now);
    void add_block(const trait& what, std::uint32_t level, support::time_point now);
    void lift_explained_blocks(const trait& cause, support::time_point now);
    [[nodiscard]] bool rests_on(const trait& what, std::uint64_t part) const;
    void note_served(const trait& what, support::time_point at, support::time_point now);
    void unblock(const trait& what, std::string_view source, support::time_point now);
    void extend_tested_blocks(const crash_record& crash, support::time_point now);
    void schedule(support::time_point at);
    void forget(support::time_point now);
    [[nodiscard]] support::time_point last_served(const trait& what) const;
    bool adopt_block(const trait_block& told, support::time_point now);
    bool adopt_suspicion(const dated_trait& told, support::time_point now);
    [[nodiscard]] trait_block describe(const trait& what, const block& stored,
                                       support::time_point now) const;
    [[nodiscard]] std::vector<std::pair<trait, const block*>>
    blocks_of(const request_traits& request) const;

    test_delay delay;
    crash_records records;
    /// By kind, so that requests, which mostly come once, do not displace parts.
    std::map<trait_kind, served_traits> served;
    std::map<trait, block> blocks;
    std::map<trait, suspicion> suspicions;
    crash_notice pending;
    std::vector<block_change> changes;
    /// When conclusions are due; empty if there is no new evidence.
    std::optional<support::time_point> due;
};

/// Adds a row to a list of a notice, whose size is bounded.
template <typename Row> void add_row(std::vector<Row>& rows, Row row) {
    constexpr std::size_t max_rows = 64;
    if (rows.size() < max_rows) {
        rows.push_back(std::move(row));
    }
}

/// Calls `use` with each trait of a request.
template <typename Use> void for_each_trait(const request_traits& request, Use use) {
    use(trait{trait_kind::request, request.fingerprint});
    for (const auto part : request.parts) {
        use(trait{trait_kind::prompt_part, part});
    }
}

} // namespace dragonflystair::fleet
