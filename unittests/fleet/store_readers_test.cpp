#include "dragonflystair/fleet/reader_pacing.h"
#include "dragonflystair/fleet/store_readers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace {

using namespace dragonflystair;
using fleet::store_readers;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

/// The platform's bounds on a leaving endpoint and on a configuration.
constexpr milliseconds records_in_force{2'500};
/// The gateway's periods.
constexpr milliseconds status_period{500};
constexpr milliseconds poll_period{100};
constexpr milliseconds round_trip{50};
/// After this time a reader on a silent link gives up its read: the wait and the client's margin.
constexpr milliseconds silent_read{3'500};

/// On which node of its data centre a node relies for the records of the store.
class store_readers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_readers_test);
    CPPUNIT_TEST(node_relies_on_reader_that_is_silently_cut_from_the_store);
    CPPUNIT_TEST(node_relies_on_reader_whose_store_answers_slowly);
    CPPUNIT_TEST(reader_that_is_answered_is_replaced);
    CPPUNIT_TEST(node_of_lower_rank_or_without_answers_is_taken_for_a_reader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays a cut of the reader's link at each moment of its read cycle. Its neighbour takes
    /// over early enough to read a record that is written right after the cut.
    void node_relies_on_reader_that_is_silently_cut_from_the_store() {
        const auto cycle = store_readers::read_interval + round_trip;
        for (milliseconds offset{0}; offset < 2 * cycle; offset += milliseconds{10}) {
            const auto cut = start + milliseconds{10'000} + offset;
            const auto taken_over = replay(cut, round_trip);
            CPPUNIT_ASSERT(taken_over.has_value());
            CPPUNIT_ASSERT(*taken_over - cut + round_trip < records_in_force);
        }
    }

    /// The link is slow rather than cut: each answer takes longer than records may.
    void node_relies_on_reader_whose_store_answers_slowly() {
        const auto taken_over = replay(std::nullopt, milliseconds{3'000});
        CPPUNIT_ASSERT(taken_over.has_value());
    }

    /// Half a minute in which few records are written, with an answer time of a store under load.
    void reader_that_is_answered_is_replaced() {
        CPPUNIT_ASSERT(!replay(std::nullopt, round_trip).has_value());
        CPPUNIT_ASSERT(!replay(std::nullopt, milliseconds{400}).has_value());
        store_readers readers("b");
        for (auto now = start; now < start + milliseconds{30'000}; now += status_period) {
            readers.on_status("1", "a", true, now - store_readers::read_wait - round_trip);
            CPPUNIT_ASSERT(readers.has_reader(now + status_period));
        }
    }

    void node_of_lower_rank_or_without_answers_is_taken_for_a_reader() {
        store_readers readers("b");
        readers.on_status("1", "c", true, start);
        CPPUNIT_ASSERT(!readers.has_reader(start));
        readers.on_status("2", "a", false, start);
        CPPUNIT_ASSERT(!readers.has_reader(start));
        readers.on_status("3", "a", true, start - milliseconds{60'000});
        CPPUNIT_ASSERT(!readers.has_reader(start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers.rank());
        readers.on_forwarded("2", start);
        CPPUNIT_ASSERT(readers.has_reader(start));
        readers.remove("2");
        CPPUNIT_ASSERT(!readers.has_reader(start));
        readers.on_forwarded("2", start);
        CPPUNIT_ASSERT(!readers.has_reader(start));
    }

private:
    /// Replays half a minute of a reader of rank 0 as seen by its neighbour of rank 1. Each answer
    /// of the store arrives `answer_time` after its read and is forwarded; no answers arrive from
    /// `cut` on, which the reader itself notices after `silent_read`. Returns when the neighbour
    /// reads.
    static std::optional<support::time_point> replay(std::optional<support::time_point> cut,
                                                     milliseconds answer_time) {
        store_readers readers("b");
        auto answered = start;
        auto next_answer = start + answer_time;
        readers.on_status("1", "a", true, start);
        for (auto now = start; now < start + milliseconds{30'000}; now += milliseconds{10}) {
            if (now >= next_answer && (!cut || now < *cut)) {
                answered = now;
                next_answer = now + store_readers::read_interval + answer_time;
                readers.on_forwarded("1", now);
            }
            if ((now - start) % status_period == milliseconds{0}) {
                readers.on_status("1", "a", now - answered < silent_read, answered);
            }
            if ((now - start) % poll_period == milliseconds{0} && !readers.has_reader(now)) {
                return now + fleet::pause_before_takeover(readers.rank());
            }
        }
        return std::nullopt;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_readers_test);

} // namespace
