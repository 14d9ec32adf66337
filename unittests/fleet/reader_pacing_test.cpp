#include "dragonflystair/fleet/reader_pacing.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr std::size_t nodes = 33; ///< Of one data centre, as with 195 nodes in six data centres.

/// Pauses between reads of a store that does not answer.
class reader_pacing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reader_pacing_test);
    CPPUNIT_TEST(outage_with_many_nodes_costs_less_than_one_call_per_second_and_node);
    CPPUNIT_TEST(recovery_of_the_store_is_detected_within_a_third_of_a_second);
    CPPUNIT_TEST(lost_reader_is_replaced_by_one_node_at_a_time);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays an outage of eight seconds. Guards against the fault that every node read three
    /// topics every 300 ms.
    void outage_with_many_nodes_costs_less_than_one_call_per_second_and_node() {
        constexpr milliseconds outage{8'000};
        constexpr std::size_t topics = 3;
        std::size_t calls = 0;
        for (std::size_t rank = 0; rank < nodes; ++rank) {
            for (milliseconds at{0}; at < outage; at += pause_after_failed_read(rank)) {
                calls += topics;
            }
        }
        CPPUNIT_ASSERT(calls < nodes * 8);
    }

    void recovery_of_the_store_is_detected_within_a_third_of_a_second() {
        CPPUNIT_ASSERT(pause_after_failed_read(0) <= milliseconds{334});
    }

    void lost_reader_is_replaced_by_one_node_at_a_time() {
        CPPUNIT_ASSERT(pause_before_takeover(0) == milliseconds{0});
        for (std::size_t rank = 1; rank < 10; ++rank) {
            CPPUNIT_ASSERT(pause_before_takeover(rank) > pause_before_takeover(rank - 1));
        }
        CPPUNIT_ASSERT(pause_before_takeover(nodes) <= milliseconds{2'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_pacing_test);

} // namespace
