#include "peer_frames.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

/// Frames in which nodes report their loads, between nodes of two versions.
class load_frames_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_frames_test);
    CPPUNIT_TEST(tokens_held_are_reported);
    CPPUNIT_TEST(load_without_tokens_keeps_the_former_frame);
    CPPUNIT_TEST_SUITE_END();

public:
    void tokens_held_are_reported() {
        fleet::load_report report;
        report.loads["a"] = {2, 300, 4'500};
        CPPUNIT_ASSERT(decode_loads(loads_frame(report)) == report);
    }

    /// Guards against nodes of the former version not reading the frame, and against longer frames
    /// where calls name no tokens.
    void load_without_tokens_keeps_the_former_frame() {
        fleet::load_report report;
        report.loads["a"] = {2, 300, 0};
        const auto frame = loads_frame(report);
        const auto former = support::json::array({"a", 2, 300});
        CPPUNIT_ASSERT(frame["e"] == support::json::array({former}));
        CPPUNIT_ASSERT(decode_loads(frame) == report);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_frames_test);

} // namespace
