#include "dragonflystair/fleet/reader_pacing.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr std::size_t nodes = 33; ///< Of one data centre, as 195 nodes in six have.

/// Reading a store that does not answer.
class reader_pacing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reader_pacing_test);
    CPPUNIT_TEST(outage_before_many_nodes_costs_less_than_a_call_a_second_of_each);
    CPPUNIT_TEST(return_of_the_store_is_noticed_within_a_third_of_a_second);
    CPPUNIT_TEST(lost_reader_is_followed_by_one_node_at_a_time);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays an outage of eight seconds, during which every node tried three topics each 300 ms.
    void outage_before_many_nodes_costs_less_than_a_call_a_second_of_each() {
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

    void return_of_the_store_is_noticed_within_a_third_of_a_second() {
        CPPUNIT_ASSERT(pause_after_failed_read(0) <= milliseconds{334});
    }

    void lost_reader_is_followed_by_one_node_at_a_time() {
        CPPUNIT_ASSERT(pause_before_takeover(0) == milliseconds{0});
        for (std::size_t rank = 1; rank < 10; ++rank) {
            CPPUNIT_ASSERT(pause_before_takeover(rank) > pause_before_takeover(rank - 1));
        }
        CPPUNIT_ASSERT(pause_before_takeover(nodes) <= milliseconds{2'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_pacing_test);

} // namespace
