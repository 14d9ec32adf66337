#include "dragonflystair/support/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>
#include <xxhash.h>

namespace dragonflystair::support {

std::uint64_t fingerprint(std::string_view bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) {
    return XXH3_64bits_withSeed(member.data(), member.size(), fingerprint(key));
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::span<const std::string> members) {
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (const auto& member : members) {
        weighted.emplace_back(rendezvous_weight(key, member), member);
    }
    std::ranges::sort(weighted, std::greater{});
    std::vector<std::string> order;
    order.reserve(weighted.size());
    for (auto& [weight, member] : weighted) {
        order.push_back(std::move(member));
    }
    return order;
}

std::string random_id() {
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

} // namespace dragonflystair::support
