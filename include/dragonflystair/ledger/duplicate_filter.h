#pragma once

#include "dragonflystair/support/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::ledger {

/// Drops the second copy of an append that was repeated because its answer was lost, and a copy
/// that arrives after later appends of the same writer. Part of each fold's state.
class duplicate_filter {
public:
    /// True if the append is new; remembers it.
    bool accept(std::string_view writer, std::uint64_t sequence, std::uint64_t offset);

    /// Forgets writers whose last append is older than `offset`, to bound the state.
    void forget_before(std::uint64_t offset);

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
