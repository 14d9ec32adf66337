#include "server_options.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::node;

constexpr std::size_t mib = std::size_t{1024} * 1024;
constexpr std::size_t no_open_limit = 1'000'000;

config::settings settings_of(double memory_mb, double descriptors) {
    config::settings settings;
    settings.callers.memory_mb = memory_mb;
    settings.callers.descriptors = descriptors;
    return settings;
}

class server_options_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_options_test);
    CPPUNIT_TEST(smallest_machine_leaves_descriptors_for_peers_and_endpoints);
    CPPUNIT_TEST(smallest_machine_holds_a_quarter_of_its_memory);
    CPPUNIT_TEST(smallest_machine_takes_the_text_of_a_large_deployment);
    CPPUNIT_TEST(unknown_machine_has_room_for_the_largest_text);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a node that cannot reach its peers and endpoints for lack of descriptors.
    void smallest_machine_leaves_descriptors_for_peers_and_endpoints() {
        constexpr std::size_t descriptors = 3'075;
        constexpr std::size_t peers = 360;
        const auto capacity = capacity_of(settings_of(120, descriptors), no_open_limit);
        const auto callers = capacity.callers.connections;
        CPPUNIT_ASSERT(callers >= 500);
        // Each call that is served may need a connection to an endpoint.
        CPPUNIT_ASSERT(2 * callers + capacity.operators.connections + capacity.peer_handshakes +
                           peers <
                       descriptors);
    }

    void smallest_machine_holds_a_quarter_of_its_memory() {
        const auto capacity = capacity_of(settings_of(120, 3'075), no_open_limit);
        CPPUNIT_ASSERT_EQUAL(30 * mib, capacity.callers.held_bytes + capacity.operators.held_bytes);
    }

    /// Guards against texts that are refused for lack of room however often they are published.
    void smallest_machine_takes_the_text_of_a_large_deployment() {
        const auto settings = settings_of(120, 3'075);
        const auto limit = operator_limits_of(settings).body_bytes;
        CPPUNIT_ASSERT(limit > 3 * mib);
        CPPUNIT_ASSERT(limit < capacity_of(settings, no_open_limit).operators.held_bytes / 4 * 3);
    }

    void unknown_machine_has_room_for_the_largest_text() {
        const auto capacity = capacity_of({}, no_open_limit);
        CPPUNIT_ASSERT_EQUAL(256 * mib, capacity.callers.held_bytes);
        CPPUNIT_ASSERT_EQUAL(64 * mib, capacity.operators.held_bytes);
        CPPUNIT_ASSERT_EQUAL(16 * mib, operator_limits_of({}).body_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_options_test);

} // namespace
