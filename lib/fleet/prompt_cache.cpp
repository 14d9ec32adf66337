#include "prompt_cache.h"

#include "dragonflystair/support/hash.h"

namespace dragonflystair::fleet {

namespace {

/// Shared parts that fit into one engine's cache besides the running calls: 250,000 tokens in parts
/// of about 500.
constexpr std::size_t max_parts = 512;

std::uint64_t key_of(const model_name& model, std::uint64_t part) {
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
    return (support::fingerprint(model.adapter) ^ support::fingerprint(model.model)) * multiplier ^
           part;
}

} // namespace

std::size_t prompt_cache::cached_tokens(const model_name& model,
                                        std::span<const prompt_part> prompt) const {
    std::size_t tokens = 0;
    for (const auto& part : prompt) {
        if (!positions_.contains(key_of(model, part.id))) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prompt_cache::add(const model_name& model, std::span<const prompt_part> prompt) {
    // The last part is specific to the call, so no other call shares it.
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const auto key = key_of(model, prompt[i].id);
        if (const auto found = positions_.find(key); found != positions_.end()) {
            recency_.splice(recency_.begin(), recency_, found->second);
            continue;
        }
        recency_.push_front(key);
        positions_.emplace(key, recency_.begin());
        if (positions_.size() > max_parts) {
            positions_.erase(recency_.back());
            recency_.pop_back();
        }
    }
}

void prompt_cache::clear() {
    recency_.clear();
    positions_.clear();
}

} // namespace dragonflystair::fleet
