#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/record_mirror.h"
#include "dragonflystair/fleet/retry_allowance.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

keyed_record record(const std::string& key, std::uint64_t offset, const std::string& value) {
    return {key, value, offset};
}

/// Updates of the copy of a topic by the store and by peers.
class record_mirror_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_mirror_test);
    CPPUNIT_TEST(newer_record_replaces_the_older);
    CPPUNIT_TEST(older_record_of_a_late_peer_changes_nothing);
    CPPUNIT_TEST(resynchronisation_deletes_missing_keys);
    CPPUNIT_TEST(list_older_than_the_copy_deletes_nothing);
    CPPUNIT_TEST(lagging_peer_gets_the_missing_records);
    CPPUNIT_TEST(page_of_a_restarted_reader_hides_no_earlier_record);
    CPPUNIT_TEST(record_at_lower_offset_of_restored_store_is_applied);
    CPPUNIT_TEST(key_missing_from_list_of_restored_store_is_deleted);
    CPPUNIT_TEST(older_version_of_restored_store_does_not_replace_newer);
    CPPUNIT_TEST(version_missing_from_restored_store_reaches_new_peer);
    CPPUNIT_TEST(page_of_earlier_era_changes_nothing);
    CPPUNIT_TEST(page_that_begins_a_new_era_leaves_the_copy_incomplete);
    CPPUNIT_TEST(peer_with_copy_of_earlier_era_gets_all_records);
    CPPUNIT_TEST(record_at_offset_of_inferred_deletion_is_applied);
    CPPUNIT_TEST(record_after_the_end_of_a_list_is_not_deleted);
    CPPUNIT_TEST(list_that_ends_before_a_record_of_the_new_era_does_not_delete_it);
    CPPUNIT_TEST(damaged_era_of_a_peer_is_not_plausible);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a record that a peer forwarded while the list was read, with a gap before it.
    void record_after_the_end_of_a_list_is_not_deleted() {
        mirror_.apply({{record("a", 0, "x")}, 1});
        mirror_.apply({{record("b", 5, "y")}, 6, 5});
        mirror_.resynchronise({{record("a", 0, "x")}, 5});
        CPPUNIT_ASSERT_EQUAL(std::string("y"), mirror_.value_of("b").value_or("deleted"));
    }

    /// The same for an era that began with that record.
    void list_that_ends_before_a_record_of_the_new_era_does_not_delete_it() {
        mirror_.apply({{record("a", 8, "x")}, 9});
        mirror_.apply({{record("b", 5, "y")}, 6, 5, 1});
        mirror_.resynchronise({{record("a", 0, "x")}, 5, 0, 1});
        CPPUNIT_ASSERT_EQUAL(std::string("y"), mirror_.value_of("b").value_or("deleted"));
    }

    /// Guards against copies that take nothing from the store any more (CONFIG).
    void damaged_era_of_a_peer_is_not_plausible() {
        CPPUNIT_ASSERT(is_plausible_era(2, 1));
        CPPUNIT_ASSERT(is_plausible_era(1, 2));
        CPPUNIT_ASSERT(is_plausible_era(40, 0));
        CPPUNIT_ASSERT(!is_plausible_era(std::uint64_t{1} << 30U, 1));
    }

    void newer_record_replaces_the_older() {
        mirror_.apply({{record("config", 1, "one"), record("config", 2, "two")}, 3});
        CPPUNIT_ASSERT_EQUAL(std::string("two"), *mirror_.since(0).records.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, mirror_.next());
    }

    /// Guards against a configuration that reverts to an older version.
    void older_record_of_a_late_peer_changes_nothing() {
        mirror_.apply({{record("config", 5, "new")}, 6});
        CPPUNIT_ASSERT(mirror_.apply({{record("config", 2, "old")}, 3}).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, mirror_.next());
    }

    void resynchronisation_deletes_missing_keys() {
        mirror_.apply({{record("a", 1, "x"), record("b", 2, "y")}, 3});
        const auto changed = mirror_.resynchronise({{record("b", 2, "y")}, 9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), changed.front().key);
        CPPUNIT_ASSERT(!changed.front().value);
    }

    /// Guards against endpoints that are removed because of a read that lags by seconds.
    void list_older_than_the_copy_deletes_nothing() {
        mirror_.apply({{record("a", 1, "x"), record("b", 7, "y")}, 8});
        CPPUNIT_ASSERT(mirror_.resynchronise({{record("a", 1, "x")}, 2}).empty());
    }

    void lagging_peer_gets_the_missing_records() {
        mirror_.apply({{record("a", 1, "x"), record("b", 7, "y")}, 8});
        const auto page = mirror_.since(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, page.next);
    }

    /// Guards against a node that misses the record of a draining endpoint: its reader restarts,
    /// reads the newest records before it has links to its peers, and forwards only later ones.
    void page_of_a_restarted_reader_hides_no_earlier_record() {
        mirror_.apply({{record("endpoint-1", 4, "ready")}, 5});
        record_mirror reader;
        reader.resynchronise({{record("endpoint-1", 6, "leaving")}, 7});
        keyed_page forwarded{{record("endpoint-2", 7, "ready")}, 8, 7};
        reader.apply(forwarded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mirror_.apply(forwarded).size());

        const auto requested = reader.since(mirror_.next());
        const auto changed = mirror_.apply(requested);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), *changed.front().value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, mirror_.next());
    }

    /// Guards against a change that is never in force (CONFIG): the store was restored from a copy
    /// and has assigned lower offsets again.
    void record_at_lower_offset_of_restored_store_is_applied() {
        mirror_.apply({{record("config", 40, "lost"), record("a", 41, "x")}, 42});
        mirror_.resynchronise({{record("config", 5, "old"), record("a", 6, "x")}, 7, 0, 1});
        const auto changed = mirror_.apply({{record("config", 7, "new")}, 8, 7, 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), *mirror_.value_of("config"));
        CPPUNIT_ASSERT(mirror_.position() == (log_position{1, 8}));
    }

    void key_missing_from_list_of_restored_store_is_deleted() {
        mirror_.apply({{record("a", 1, "x"), record("b", 40, "y")}, 41});
        const auto changed = mirror_.resynchronise({{record("a", 1, "x")}, 2, 0, 1});
        CPPUNIT_ASSERT(!mirror_.value_of("b"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), changed.back().key);
    }

    /// Guards against a configuration that comes back older (CONFIG).
    void older_version_of_restored_store_does_not_replace_newer() {
        record_mirror mirror(version_in_value);
        mirror.apply({{record("config", 40, "9")}, 41});
        CPPUNIT_ASSERT(mirror.resynchronise({{record("config", 5, "7")}, 6, 0, 1}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("9"), *mirror.value_of("config"));
        // The operator writes the lost versions again, and then another one.
        CPPUNIT_ASSERT(mirror.apply({{record("config", 6, "8")}, 7, 6, 1}).empty());
        mirror.apply({{record("config", 7, "9")}, 8, 7, 1});
        mirror.apply({{record("config", 8, "11")}, 9, 8, 1});
        CPPUNIT_ASSERT_EQUAL(std::string("11"), *mirror.value_of("config"));
    }

    void version_missing_from_restored_store_reaches_new_peer() {
        record_mirror old(version_in_value);
        old.apply({{record("config", 40, "9"), record("version", 41, "3")}, 42});
        old.resynchronise({{record("config", 5, "7")}, 6, 0, 1});
        record_mirror started(version_in_value);
        started.resynchronise({{record("config", 5, "7")}, 6, 0, 1});
        CPPUNIT_ASSERT(old.position() == started.position());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, old.version_sum());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, started.version_sum());
        started.apply(old.since(0));
        CPPUNIT_ASSERT_EQUAL(old.version_sum(), started.version_sum());
        CPPUNIT_ASSERT_EQUAL(std::string("9"), *started.value_of("config"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), *started.value_of("version"));
    }

    void page_of_earlier_era_changes_nothing() {
        mirror_.resynchronise({{record("a", 1, "restored")}, 2, 0, 1});
        CPPUNIT_ASSERT(mirror_.apply({{record("a", 40, "lost")}, 41, 0, 0}).empty());
        CPPUNIT_ASSERT(mirror_.resynchronise({{record("a", 40, "lost")}, 41, 0, 0}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("restored"), *mirror_.value_of("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, mirror_.next());
    }

    /// Guards against records in the gap that are never requested.
    void page_that_begins_a_new_era_leaves_the_copy_incomplete() {
        mirror_.apply({{record("a", 1, "x"), record("b", 2, "y")}, 3});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             mirror_.apply({{record("a", 2, "new")}, 3, 2, 1}).size());
        CPPUNIT_ASSERT(!mirror_.complete());
        CPPUNIT_ASSERT(mirror_.position() < (log_position{1, 3}));
        CPPUNIT_ASSERT_EQUAL(std::string("y"), *mirror_.value_of("b"));
        mirror_.apply({{record("c", 1, "z"), record("a", 2, "new")}, 3, 0, 1});
        CPPUNIT_ASSERT(mirror_.complete());
        CPPUNIT_ASSERT(!mirror_.value_of("b"));
    }

    void peer_with_copy_of_earlier_era_gets_all_records() {
        mirror_.resynchronise({{record("a", 1, "x"), record("b", 2, "y")}, 3, 0, 1});
        const auto page = mirror_.since(log_position{0, 40});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, page.from);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, page.era);
    }

    /// Guards against an entry that is written again just after a list without it, at the offset at
    /// which the list ends.
    void record_at_offset_of_inferred_deletion_is_applied() {
        mirror_.apply({{record("a", 1, "x")}, 2});
        mirror_.resynchronise({{}, 9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             mirror_.apply({{record("a", 9, "again")}, 10, 9}).size());
        CPPUNIT_ASSERT_EQUAL(std::string("again"), *mirror_.value_of("a"));
    }

private:
    static std::optional<std::uint64_t> version_in_value(const keyed_record& item) {
        return std::stoull(*item.value);
    }

    record_mirror mirror_;
};

/// The share of one node in the retry budget.
class retry_allowance_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_allowance_test);
    CPPUNIT_TEST(retries_of_all_nodes_stay_within_the_budget);
    CPPUNIT_TEST(retries_are_available_again_after_the_window);
    CPPUNIT_TEST(service_without_calls_has_no_retries);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays six nodes whose calls are all rejected by their endpoints.
    void retries_of_all_nodes_stay_within_the_budget() {
        constexpr std::size_t nodes = 6;
        std::vector<retry_allowance> all(nodes, retry_allowance(limits()));
        std::size_t calls = 0;
        std::size_t retries = 0;
        for (int step = 0; step < 1'000; ++step) {
            const auto now = start + milliseconds{step * 9};
            for (auto& node : all) {
                node.on_call("assistant", now);
                ++calls;
                retries += node.try_take("assistant", nodes, now) ? 1U : 0U;
            }
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(static_cast<double>(retries) <= 0.2 * static_cast<double>(calls) + 52);
    }

    void retries_are_available_again_after_the_window() {
        retry_allowance node(limits());
        node.on_call("assistant", start);
        while (node.try_take("assistant", 1, start)) {
        }
        const auto later = start + std::chrono::seconds{11};
        node.on_call("assistant", later);
        CPPUNIT_ASSERT(node.try_take("assistant", 1, later));
    }

    void service_without_calls_has_no_retries() {
        retry_allowance node(limits());
        CPPUNIT_ASSERT(!node.try_take("assistant", 1, start));
    }

private:
    static retry_limits limits() { return {0.2, 52, std::chrono::seconds{10}}; }
};

/// Which route a call matches.
class configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(route_with_the_longest_prefix_matches);
    CPPUNIT_TEST(other_host_has_no_route);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        route wide;
        wide.name = "wide";
        wide.host = "desk.example";
        wide.path_prefix = "/a/";
        auto narrow = wide;
        narrow.name = "narrow";
        narrow.path_prefix = "/a/b/";
        current_.routes = {wide, narrow};
    }

    void route_with_the_longest_prefix_matches() {
        CPPUNIT_ASSERT_EQUAL(std::string("narrow"), current_.match("desk.example", "/a/b/c")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("wide"), current_.match("desk.example", "/a/c")->name);
    }

    void other_host_has_no_route() {
        CPPUNIT_ASSERT(current_.match("other.example", "/a/c") == nullptr);
        CPPUNIT_ASSERT(current_.match("desk.example", "/c") == nullptr);
    }

private:
    configuration current_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_mirror_test);
CPPUNIT_TEST_SUITE_REGISTRATION(retry_allowance_test);
CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

} // namespace
