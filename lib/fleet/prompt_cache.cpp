#include "prompt_cache.h"

#include "dragonflystair/support/hash.h"

namespace dragonflystair::fleet {

namespace {

/// Shared parts that one engine's memory holds beside the running calls: 250,000 tokens in parts
/// of about 500.
constexpr std::size_t max_parts = 512;

std::uint64_t key_of(const model_name& model, std::uint64_t part) {
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
    return (support::fingerprint(model.adapter) ^ support::fingerprint(model.model)) * multiplier ^
           part;
}

} // namespace

std::size_t prompt_cache::kept_tokens(const model_name& model,
                                      std::span<const prompt_part> prompt) const {
    std::size_t tokens = 0;
    for (const auto& part : prompt) {
        if (!places_.contains(key_of(model, part.id))) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prompt_cache::add(const model_name& model, std::span<const prompt_part> prompt) {
    // The last part belongs to the call itself, so no other call finds it.
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const auto key = key_of(model, prompt[i].id);
        if (const auto found = places_.find(key); found != places_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front(key);
        places_.emplace(key, order_.begin());
        if (places_.size() > max_parts) {
            places_.erase(order_.back());
            order_.pop_back();
        }
    }
}

void prompt_cache::clear() {
    order_.clear();
    places_.clear();
}

} // namespace dragonflystair::fleet
