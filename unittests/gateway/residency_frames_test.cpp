#include "fleet/samples.h"
#include "peer_frames.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdint>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

constexpr std::uint64_t run = 1'796'619'796'734;

/// Frames in which lease holders report what engines hold.
class residency_frames_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(residency_frames_test);
    CPPUNIT_TEST(change_of_former_run_is_outdated);
    CPPUNIT_TEST(change_of_a_node_of_the_former_version_is_not_outdated);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        engine_ = fleet::sample_endpoint("engine", "assistant", 4);
        engine_.started_ms = run;
    }

    /// Guards against calls to an engine for adapters that it lost in its restart.
    void change_of_former_run_is_outdated() {
        CPPUNIT_ASSERT(!fleet::is_outdated(received(run), engine_));
        CPPUNIT_ASSERT(fleet::is_outdated(received(run - 1), engine_));
        CPPUNIT_ASSERT(fleet::is_outdated(received(run + 5'000), engine_));
    }

    void change_of_a_node_of_the_former_version_is_not_outdated() {
        auto frame = residency_frame(std::array{change_of(run)});
        frame["c"][0].erase(5);
        const auto changes = decode_residency(frame);
        CPPUNIT_ASSERT(changes.at(0).state == fleet::residency::ready);
        CPPUNIT_ASSERT(!fleet::is_outdated(changes.at(0), engine_));
    }

private:
    static fleet::residency_change change_of(std::uint64_t started_ms) {
        return {
            "engine", {"base", "known"}, fleet::residency::ready, 2, fleet::run_tag_of(started_ms)};
    }

    static fleet::residency_change received(std::uint64_t started_ms) {
        return decode_residency(residency_frame(std::array{change_of(started_ms)})).at(0);
    }

    fleet::endpoint_record engine_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(residency_frames_test);

} // namespace
