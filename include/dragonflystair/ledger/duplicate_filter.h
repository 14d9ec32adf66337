#pragma once

#include "dragonflystair/support/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::ledger {

/// Detects duplicate appends by the writer's sequence number: the second copy of an append that was
/// retried because its response was lost, and a copy that arrives after later appends of the same
/// writer. Part of each fold's state.
class duplicate_filter {
public:
    /// Returns true and records the append if it is new; returns false for a duplicate.
    bool accept(std::string_view writer, std::uint64_t sequence, std::uint64_t offset);

    /// Discards writers whose last append is older than `offset`, to bound the state.
    void discard_before(std::uint64_t offset);

    [[nodiscard]] support::json state() const;
    void restore(const support::json& state);

private:
    struct last_append {
        std::uint64_t sequence = 0;
        std::uint64_t offset = 0;
    };
    std::map<std::string, last_append, std::less<>> last_;
};

} // namespace dragonflystair::ledger
