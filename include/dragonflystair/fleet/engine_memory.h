#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <deque>

namespace dragonflystair::fleet {

/// Tokens that this node has placed on an engine so recently that other nodes may not know them.
class recent_tokens {
public:
    void add(std::size_t tokens, support::time_point now);
    [[nodiscard]] std::size_t total(support::time_point now);

private:
    struct placement {
        std::size_t tokens = 0;
        support::time_point at;
    };

    std::deque<placement> placements_;
    std::size_t total_ = 0;
};

/// What a node knows about the memory of an engine. Tokens count from the placement of a call to
/// its end, at the most that it may reach: its prompt and its maximum output.
struct engine_memory {
    /// How the node places calls on the engine.
    enum class placement {
        lead,   ///< As the lead of the engine's data centre, which places nearly all calls there.
        node,   ///< On its own; it receives the loads of the other nodes of the data centre.
        foreign ///< On its own, from another data centre, whose loads it does not receive.
    };

    std::size_t capacity = 0; ///< Tokens at most; the engine crashes beyond.
    std::size_t held = 0;     ///< By the calls of this node and those that peers reported.
    std::size_t own = 0;      ///< By the calls that this node has placed.
    std::size_t recent = 0;   ///< Part of `own` that other nodes may not know yet.
    std::size_t nodes = 1;    ///< Nodes that may place calls at the same time.

    /// Returns whether a call may be placed.
    ///
    /// A lead leaves an eighth for calls that other nodes place without it, unless the engine is
    /// empty. Nodes on their own divide the free memory evenly, so that all of them can place calls
    /// at the same time. Since that may leave less than one call to each, a node may also place one
    /// call at a time while half of the memory is free, which bounds the sum only if few do so at
    /// once. Nodes of other data centres use a fixed part each.
    [[nodiscard]] bool has_room(std::size_t tokens, placement by) const;
};

} // namespace dragonflystair::fleet
