#pragma once

#include "dragonflystair/fleet/call.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace dragonflystair::fleet {

/// What one endpoint probably keeps of the prompts that this node sent there, least recently used
/// parts first to go.
class prompt_cache {
public:
    /// Tokens of the leading parts that are kept for the model.
    [[nodiscard]] std::size_t kept_tokens(const model_name& model,
                                          std::span<const prompt_part> prompt) const;
    void add(const model_name& model, std::span<const prompt_part> prompt);
    void clear();

private:
    std::list<std::uint64_t> order_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

} // namespace dragonflystair::fleet
