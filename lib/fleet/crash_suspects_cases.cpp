#include "crash_suspects_impl.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Crashes within this time may have one cause from outside, such as a lost rack.
constexpr milliseconds episode_spread{100};
/// Peers have this time to object to a suspicion: two ways between regions, through two leads.
constexpr milliseconds objection_time{250};
/// Crashes at different times after which the nodes are told of a suspicion.
constexpr std::size_t suspicion_episodes = 2;

/// A part that crashes endpoints is behind most crashes that nothing else explains. One that only
/// happens to be in flight when many endpoints are lost is behind few of them.
bool explains_enough(const part_case& found) {
    return 2 * found.crashes >= found.crashes_since;
}

/// After so many crashes, a part is blocked although others explain as many.
constexpr std::size_t max_ambiguous_crashes = 10;

struct tally {
    part_case found;
    std::set<std::uint64_t> fingerprints;
    time_point last_episode;
    const crash_record* last_crash = nullptr;
};

void add(tally& counted, const crash_record& crash, const request_traits& request,
         std::size_t position) {
    auto& found = counted.found;
    if (counted.last_crash != &crash) {
        counted.last_crash = &crash;
        ++found.crashes;
        if (found.episodes == 0 || crash.at >= counted.last_episode + episode_spread) {
            ++found.episodes;
            counted.last_episode = crash.at;
        }
        found.first_crash = found.crashes == 1 ? crash.at : std::min(found.first_crash, crash.at);
    }
    ++found.requests;
    found.position = std::max(found.position, position);
    counted.fingerprints.insert(request.fingerprint);
}

} // namespace

/// Returns what counts against each part of the prompts of settled and unexplained crashes.
std::vector<part_case> crash_suspects::impl::part_cases(time_point now) const {
    std::vector<const crash_record*> crashes;
    for (const auto& crash : records.all()) {
        if (is_settled(crash, now) && !explained(crash)) {
            crashes.push_back(&crash);
        }
    }
    std::ranges::sort(crashes, {}, [](const auto* crash) { return crash->at; });
    std::unordered_map<std::uint64_t, tally> tallies;
    for (const auto* crash : crashes) {
        for (const auto& request : crash->requests) {
            for (std::size_t position = 0; position < request.parts.size(); ++position) {
                const auto part = request.parts[position];
                if (counts({trait_kind::prompt_part, part}, *crash)) {
                    add(tallies[part], *crash, request, position);
                }
            }
        }
    }
    std::vector<part_case> cases;
    for (auto& [part, counted] : tallies) {
        counted.found.part = part;
        counted.found.fingerprints = counted.fingerprints.size();
        counted.found.crashes_since = static_cast<std::size_t>(
            std::ranges::count_if(crashes, [&found = counted.found](const auto* crash) {
                return crash->at >= found.first_crash;
            }));
        cases.push_back(counted.found);
    }
    return cases;
}

/// Returns whether there are enough crashes to block a part.
bool crash_suspects::impl::is_proved(const part_case& found) const {
    const auto served_at = last_served({trait_kind::prompt_part, found.part});
    const bool was_served = served_at + service_memory > found.first_crash;
    const auto episodes = was_served ? min_episodes_if_served : min_episodes;
    return found.episodes >= episodes && found.fingerprints >= episodes &&
           (!was_served || found.crashes >= min_crashes_if_served);
}

/// Returns whether another part explains as many crashes, so that the next crash may tell which one
/// is the cause. A part that comes with all requests of the strongest one does not matter: blocking
/// the strongest one is the lesser measure.
bool crash_suspects::impl::is_ambiguous(const part_case& strongest,
                                        std::span<const part_case> cases) const {
    return strongest.crashes < max_ambiguous_crashes &&
           std::ranges::any_of(cases, [&](const auto& other) {
               return other.part != strongest.part && other.crashes >= strongest.crashes &&
                      !always_comes_with(strongest.part, other.part);
           });
}

/// Returns whether all requests with a part, in crashes that are not explained, have another one.
bool crash_suspects::impl::always_comes_with(std::uint64_t part, std::uint64_t other) const {
    return std::ranges::all_of(records.all(), [&](const auto& crash) {
        return explained(crash) || std::ranges::all_of(crash.requests, [&](const auto& request) {
                   return !has_trait(request, {trait_kind::prompt_part, part}) ||
                          has_trait(request, {trait_kind::prompt_part, other});
               });
    });
}

/// Blocks the part with the strongest case, once the peers have had time to object. Returns whether
/// it has blocked one.
bool crash_suspects::impl::block_parts(time_point now) {
    std::optional<part_case> strongest;
    const auto strength = [](const part_case& found) {
        return std::tuple(found.crashes, ~found.requests, found.position, found.part);
    };
    const auto cases = part_cases(now);
    for (const auto& found : cases) {
        if (!explains_enough(found)) {
            continue;
        }
        if (found.episodes >= suspicion_episodes) {
            suspect(found, now);
        }
        if (is_proved(found) && (!strongest || strength(found) > strength(*strongest))) {
            strongest = found;
        }
    }
    if (!strongest || is_ambiguous(*strongest, cases)) {
        return false;
    }
    const trait what{trait_kind::prompt_part, strongest->part};
    const auto known = suspicions.find(what);
    if (known == suspicions.end()) {
        return false;
    }
    if (now < known->second.since + objection_time) {
        schedule(known->second.since + objection_time);
        return false;
    }
    add_block(what, 0, now);
    return true;
}

/// Tells the nodes of a suspicion, unless they know it.
void crash_suspects::impl::suspect(const part_case& found, time_point now) {
    const trait what{trait_kind::prompt_part, found.part};
    const auto expires = now + suspicion_lifetime;
    if (const auto known = suspicions.find(what); known != suspicions.end()) {
        known->second.expires = expires;
        return;
    }
    if (suspicions.size() >= max_suspicions) {
        return;
    }
    suspicions.emplace(what, suspicion{now, found.first_crash, expires, {}});
    add_row(pending.suspected,
            dated_trait{what, std::chrono::duration_cast<milliseconds>(now - found.first_crash)});
}

} // namespace dragonflystair::fleet
