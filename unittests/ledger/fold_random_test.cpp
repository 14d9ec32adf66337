#include "dragonflystair/ledger/claim_fold.h"
#include "dragonflystair/ledger/config_fold.h"
#include "dragonflystair/ledger/member_fold.h"

#include "ledger/simulated_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair::ledger;
using dragonflystair::support::json;

constexpr std::uint64_t seeds = 40;

/// Generates random records that are valid, outdated, duplicate or of another stream. Few names are
/// used, so that records refer to the same sessions, endpoints and keys.
class record_source {
public:
    explicit record_source(std::uint64_t seed) : random_(seed) {}

    std::uint64_t below(std::uint64_t limit) { return random_() % limit; }

    record next(std::uint64_t next_offset) {
        const auto random_position = [&] {
            return make_position(below(next_offset + 1), below(3));
        };
        const auto name = [&](const char* prefix) { return prefix + std::to_string(below(6)); };
        switch (below(13)) {
        case 0:
            return open_of(name("n"));
        case 1:
            return session_renew{{random_position(), random_position(), random_position()}};
        case 2:
            return session_expire{random_position(), random_position()};
        case 3:
            return session_close{random_position()};
        case 4:
        case 5:
            return grant{name("e"), random_position()};
        case 6:
            return release{name("e"), random_position(), random_position()};
        case 7:
            return eviction_intent{name("e"), random_position(), name("a")};
        case 8:
            return eviction_done{name("e"), random_position(), name("a")};
        case 9:
            return key_claim{name("k"), name("d"), random_position(), below(50)};
        case 10:
            return key_outcome{name("k"), random_position(), 200, "", "body", false};
        case 11:
            return key_abandon{name("k"), random_position()};
        default:
            return change(next_offset);
        }
    }

    config_change change(std::uint64_t next_offset) {
        config_change result{
            make_position(next_offset - std::min(next_offset, below(4)), 0), {}, "o"};
        for (auto count = below(3) + 1; count > 0; --count) {
            const auto service = "s" + std::to_string(below(4));
            const auto centre = "c" + std::to_string(below(4));
            const auto kind = below(3);
            const auto section_name = kind == 0 ? "data_centre " + centre
                                      : kind == 1
                                          ? "service " + service
                                          : "adapter " + service + "/a" + std::to_string(below(3));
            result.sections[section_name] =
                below(4) == 0 ? std::nullopt : std::optional{section{{"data_centres", centre}}};
        }
        return result;
    }

private:
    std::mt19937_64 random_;
};

/// Returns a log of random appends by three writers, some of them duplicates, with snapshots of the
/// fold's state that are a few entries old, as when other writers append in between.
template <class Fold> simulated_log random_log(std::uint64_t seed) {
    record_source source(seed);
    simulated_log log;
    Fold fold;
    json taken;
    std::vector<std::uint64_t> sequences(3, 1);
    for (int i = 0; i < 400; ++i) {
        auto payload = json::array();
        for (auto count = source.below(4); count > 0; --count) {
            payload.push_back(to_json(source.next(log.next())));
        }
        if (source.below(15) == 0) {
            taken = fold.state();
        }
        if (taken.is_object() && source.below(15) == 0) {
            const auto keep_from = log.next() - std::min(log.next(), source.below(80));
            payload.insert(payload.begin(), to_json(snapshot{std::exchange(taken, {}), keep_from}));
        }
        const auto writer = source.below(3);
        const auto repeated = source.below(10) == 0 ? 1 : 0;
        log.append("writer" + std::to_string(writer), sequences[writer] - repeated, payload);
        sequences[writer] += 1 - repeated;
        log.feed(fold);
    }
    return log;
}

/// Returns the conflicts that a change must have, computed from the accepted changes alone.
std::set<std::string>
expected_conflicts(const std::vector<std::pair<position, config_change>>& accepted_changes,
                   const config_change& change) {
    std::map<std::string, std::pair<position, std::optional<section>>> last;
    for (const auto& [at, accepted] : accepted_changes) {
        for (const auto& [name, values] : accepted.sections) {
            last[name] = {at, values};
        }
    }
    std::set<std::string> touched;
    for (const auto& [name, values] : change.sections) {
        touched.insert(name);
        const auto referred = values ? references(name, *values) : std::vector<std::string>{};
        touched.insert(referred.begin(), referred.end());
        for (const auto& [from, state] : last) {
            const auto to =
                state.second ? references(from, *state.second) : std::vector<std::string>{};
            if (!values && std::ranges::count(to, name) > 0) {
                touched.insert(from);
            }
        }
    }
    std::erase_if(touched, [&](const auto& name) {
        return !last.contains(name) || last[name].first <= change.base;
    });
    return touched;
}

class fold_random_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fold_random_test);
    CPPUNIT_TEST(members_read_from_snapshot_equal_those_read_in_full);
    CPPUNIT_TEST(claims_read_from_snapshot_equal_those_read_in_full);
    CPPUNIT_TEST(config_read_from_snapshot_equals_that_read_in_full);
    CPPUNIT_TEST(concurrent_changes_have_one_winner_and_reported_conflicts);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a node that joins late, or lost its connection to the log, and then reaches a
    /// state other than that of the other nodes.
    template <class Fold> static void check_snapshots() {
        int restored = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto log = random_log<Fold>(seed);
            const auto full = log.template read<Fold>().state();
            std::mt19937_64 random(seed);
            for (int reader = 0; reader < 20; ++reader) {
                Fold fold;
                // Applies a part, misses a part that the log has dropped, and applies the rest.
                log.feed(fold, random() % 2 == 0 ? 0 : random() % 100);
                const auto before = fold.state();
                const auto from = std::max(fold.next_offset(), random() % 300);
                for (auto at = from; at < log.next(); ++at) {
                    fold.apply(log.entries()[at]);
                }
                const auto context = "seed " + std::to_string(seed);
                if (fold.waits_for_snapshot()) {
                    Fold behind;
                    log.feed(behind, fold.state().at("next_offset"));
                    CPPUNIT_ASSERT_MESSAGE(context, fold.state() == behind.state());
                    Fold peer;
                    log.feed(peer, from + random() % (log.next() - from));
                    fold.restore(json::parse(peer.state().dump()));
                } else {
                    ++restored;
                }
                CPPUNIT_ASSERT_MESSAGE(context, fold.state() == full);
                fold.restore(before);
                CPPUNIT_ASSERT_MESSAGE(context, fold.state() == full);
            }
        }
        CPPUNIT_ASSERT(restored > 100);
    }

public:
    void members_read_from_snapshot_equal_those_read_in_full() { check_snapshots<member_fold>(); }
    void claims_read_from_snapshot_equal_those_read_in_full() { check_snapshots<claim_fold>(); }
    void config_read_from_snapshot_equals_that_read_in_full() { check_snapshots<config_fold>(); }

    /// Guards against a change that is lost or reverted because operators publish concurrently.
    void concurrent_changes_have_one_winner_and_reported_conflicts() {
        std::size_t conflicts = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            record_source source(seed);
            simulated_log log;
            std::vector<std::pair<position, config_change>> accepted_changes;
            config_fold eager;
            config_fold lagging;
            for (int i = 0; i < 200; ++i) {
                const auto change = source.change(log.next());
                const auto at = log.append(change);
                log.feed(eager);
                log.feed(lagging, source.below(3));
                if (change.base >= at) {
                    continue;
                }
                const auto expected = expected_conflicts(accepted_changes, change);
                const auto& outcome = eager.history().back();
                CPPUNIT_ASSERT_EQUAL(at, outcome.at);
                CPPUNIT_ASSERT(std::set<std::string>(outcome.conflicts.begin(),
                                                     outcome.conflicts.end()) == expected);
                if (expected.empty()) {
                    accepted_changes.emplace_back(at, change);
                }
                conflicts += expected.empty() ? 0 : 1;
                CPPUNIT_ASSERT_EQUAL(accepted_changes.empty() ? position{0}
                                                              : accepted_changes.back().first,
                                     eager.revision());
            }
            log.feed(lagging);
            CPPUNIT_ASSERT(lagging.history() == eager.history());
            CPPUNIT_ASSERT(lagging.sections() == eager.sections());
        }
        CPPUNIT_ASSERT(conflicts > 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fold_random_test);

} // namespace
