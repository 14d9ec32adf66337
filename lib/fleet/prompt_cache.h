#pragma once

#include "dragonflystair/fleet/call.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace dragonflystair::fleet {

/// Estimate of the prompt prefixes that one endpoint has cached, from the prompts that this node
/// sent there. Evicts the least recently used parts first.
class prompt_cache {
public:
    /// Returns the tokens of the leading parts that are cached for the model.
    [[nodiscard]] std::size_t cached_tokens(const model_name& model,
                                            std::span<const prompt_part> prompt) const;
    void add(const model_name& model, std::span<const prompt_part> prompt);
    void clear();

private:
    std::list<std::uint64_t> recency_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace dragonflystair::fleet
