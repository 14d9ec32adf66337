#include "listener_shares.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

constexpr std::size_t mib = std::size_t{1024} * 1024;
constexpr std::size_t no_open_limit = 1'000'000;

config::gateway_settings settings_of(double memory_mb, double descriptors) {
    config::gateway_settings settings;
    settings.callers.memory_mb = memory_mb;
    settings.callers.descriptors = descriptors;
    return settings;
}

class listener_shares_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(listener_shares_test);
    CPPUNIT_TEST(smallest_machine_leaves_descriptors_for_peers_and_endpoints);
    CPPUNIT_TEST(smallest_machine_holds_a_quarter_of_its_memory);
    CPPUNIT_TEST(lower_limit_of_the_system_is_respected);
    CPPUNIT_TEST(explicit_settings_replace_derived_ones);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a node that cannot reach its peers and endpoints for lack of descriptors.
    void smallest_machine_leaves_descriptors_for_peers_and_endpoints() {
        constexpr std::size_t descriptors = 3'075;
        constexpr std::size_t peers = 360;
        constexpr std::size_t endpoint_connections = 500;
        const auto shares = shares_of(settings_of(120, descriptors), no_open_limit);
        const auto used =
            shares.callers.connections + 3 * shares.other.connections + shares.peer_handshakes;
        CPPUNIT_ASSERT(used + peers + endpoint_connections < descriptors);
        CPPUNIT_ASSERT(shares.callers.connections >= 500);
    }

    void smallest_machine_holds_a_quarter_of_its_memory() {
        const auto shares = shares_of(settings_of(120, 3'075), no_open_limit);
        CPPUNIT_ASSERT_EQUAL(30 * mib, shares.callers.held_bytes + 3 * shares.other.held_bytes);
        // A single body of the largest legal size fits into the share of waiting callers.
        CPPUNIT_ASSERT(shares.callers.held_bytes / 4 * 3 > 4 * mib);
    }

    void lower_limit_of_the_system_is_respected() {
        const auto shares = shares_of(settings_of(512, 10'250), 1'024);
        CPPUNIT_ASSERT_EQUAL(std::size_t{512}, shares.callers.connections);
    }

    void explicit_settings_replace_derived_ones() {
        auto settings = settings_of(120, 3'075);
        settings.callers.held_mb = 64;
        settings.callers.connections = 7;
        settings.callers.connections_per_address = 3;
        const auto shares = shares_of(settings, no_open_limit);
        CPPUNIT_ASSERT_EQUAL(64 * mib, shares.callers.held_bytes + 3 * shares.other.held_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, shares.callers.connections);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, shares.callers.connections_per_address);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listener_shares_test);

} // namespace
