#include "dragonflystair/fleet/configuration_freshness.h"
#include "dragonflystair/fleet/key_directory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using fleet::configuration_freshness;
using fleet::freshness_report;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};
/// The platform's bound on a revocation, and the share of it for which a node without the store has
/// to go on.
constexpr milliseconds revocation{5'000};
constexpr double served_share = 0.6;
constexpr auto read_wait = configuration_freshness::max_read_wait(revocation);
/// Time for a question and its answer.
constexpr milliseconds round_trip{30};

/// How long a node relies on the keys of its configuration.
class configuration_freshness_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_freshness_test);
    CPPUNIT_TEST(node_without_confirmation_relies_on_no_key);
    CPPUNIT_TEST(node_without_timeout_relies_on_every_key);
    CPPUNIT_TEST(node_cut_from_store_at_any_moment_relies_on_keys_long_enough_and_no_longer);
    CPPUNIT_TEST(late_answer_of_store_confirms_only_the_time_of_the_question);
    CPPUNIT_TEST(late_answer_of_peer_confirms_only_the_time_of_the_question);
    CPPUNIT_TEST(peer_with_newer_configuration_confirms_nothing);
    CPPUNIT_TEST(freshness_over_two_peers_is_not_newer_than_the_read);
    CPPUNIT_TEST(restored_store_confirms_nothing_until_lost_versions_are_back);
    CPPUNIT_TEST(older_confirmation_does_not_replace_newer_one);
    CPPUNIT_TEST(key_has_its_tenant_and_no_other_key_has_one);
    CPPUNIT_TEST(key_of_two_tenants_identifies_neither);
    CPPUNIT_TEST_SUITE_END();

public:
    void node_without_confirmation_relies_on_no_key() {
        CPPUNIT_ASSERT(!freshness_.reliable(start));
        CPPUNIT_ASSERT(!freshness_.report(1, start));
    }

    void node_without_timeout_relies_on_every_key() {
        CPPUNIT_ASSERT(configuration_freshness(std::nullopt).reliable(start));
    }

    /// Replays a cut of the store at each moment of the cycle of reads, for the node that reads it
    /// and for one that asks this node.
    void node_cut_from_store_at_any_moment_relies_on_keys_long_enough_and_no_longer() {
        for (milliseconds offset{0}; offset < read_wait; offset += milliseconds{10}) {
            configuration_freshness reader(revocation);
            configuration_freshness follower(revocation);
            const auto cut = start + 3 * read_wait + offset;
            constexpr auto cycle = read_wait + round_trip;
            for (auto asked = start; asked + cycle <= cut; asked += cycle) {
                reader.on_store_read(asked);
            }
            // The follower asks last one period before the reader is cut off as well.
            const auto asked = cut - configuration_freshness::peer_request_period;
            follower.on_peer_report(*reader.report(7, asked + round_trip), 7, asked);
            const auto served = std::chrono::duration_cast<milliseconds>(revocation * served_share);
            CPPUNIT_ASSERT(reader.reliable(cut + served));
            CPPUNIT_ASSERT(follower.reliable(cut + served));
            CPPUNIT_ASSERT(!reader.reliable(cut + revocation));
            CPPUNIT_ASSERT(!follower.reliable(cut + revocation));
        }
    }

    /// A VM that was suspended reads the answer to a question from before.
    void late_answer_of_store_confirms_only_the_time_of_the_question() {
        freshness_.on_store_read(start);
        CPPUNIT_ASSERT(!freshness_.reliable(start + revocation));
    }

    void late_answer_of_peer_confirms_only_the_time_of_the_question() {
        freshness_.on_peer_report({7, milliseconds{900}}, 7, start);
        CPPUNIT_ASSERT(freshness_.reliable(start + revocation - milliseconds{1'000}));
        CPPUNIT_ASSERT(!freshness_.reliable(start + revocation - milliseconds{900}));
    }

    /// A node that has missed the records of a version must not trust its keys.
    void peer_with_newer_configuration_confirms_nothing() {
        freshness_.on_peer_report({8, milliseconds{0}}, 7, start);
        CPPUNIT_ASSERT(!freshness_.reliable(start));
        freshness_.on_peer_report({8, milliseconds{-5'000}}, 8, start);
        CPPUNIT_ASSERT(!freshness_.reliable(start));
    }

    void freshness_over_two_peers_is_not_newer_than_the_read() {
        configuration_freshness reader(revocation);
        reader.on_store_read(start);
        const auto first = reader.report(7, start + milliseconds{1'000});
        freshness_.on_peer_report(*first, 7, start + milliseconds{900});
        const auto second = freshness_.report(7, start + milliseconds{2'000});
        CPPUNIT_ASSERT(second->age >= milliseconds{2'000});
    }

    void restored_store_confirms_nothing_until_lost_versions_are_back() {
        freshness_.on_store_restored(start);
        freshness_.on_store_read(start + milliseconds{500});
        CPPUNIT_ASSERT(!freshness_.reliable(start + milliseconds{500}));
        const auto later = start + configuration_freshness::restoration_doubt;
        freshness_.on_store_read(later);
        CPPUNIT_ASSERT(freshness_.reliable(later));
    }

    void older_confirmation_does_not_replace_newer_one() {
        freshness_.on_store_read(start + milliseconds{2'000});
        freshness_.on_store_read(start);
        CPPUNIT_ASSERT(freshness_.reliable(start + milliseconds{6'000}));
    }

    void key_has_its_tenant_and_no_other_key_has_one() {
        keys_.replace(std::vector{tenant("a", {"one", "two"}), tenant("b", {"three"})});
        CPPUNIT_ASSERT_EQUAL(std::string("a"), keys_.tenant_of("two"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), keys_.tenant_of("three"));
        for (const auto* other : {"", "on", "one ", "ONE", "one\xff"}) {
            CPPUNIT_ASSERT_EQUAL(std::string(), keys_.tenant_of(other));
        }
        keys_.replace(std::vector{tenant("a", {"two"})});
        CPPUNIT_ASSERT_EQUAL(std::string(), keys_.tenant_of("one"));
    }

    void key_of_two_tenants_identifies_neither() {
        keys_.replace(
            std::vector{tenant("a", {"one"}), tenant("b", {"one"}), tenant("c", {"one"})});
        CPPUNIT_ASSERT_EQUAL(std::string(), keys_.tenant_of("one"));
    }

private:
    static fleet::tenant tenant(const std::string& name, const std::vector<std::string>& keys) {
        fleet::tenant out;
        out.name = name;
        out.keys = keys;
        return out;
    }

    configuration_freshness freshness_{revocation};
    fleet::key_directory keys_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_freshness_test);

} // namespace
