#include "resume_filter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using dragonflystair::gateway::resume_filter;

/// Which bytes of a stream may be sent so that it can be resumed at another endpoint.
class resume_filter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resume_filter_test);
    CPPUNIT_TEST(partial_event_is_withheld);
    CPPUNIT_TEST(dropped_partial_event_is_not_joined_to_next_run);
    CPPUNIT_TEST(last_id_is_that_of_last_complete_event);
    CPPUNIT_TEST(transparent_stream_is_unchanged);
    CPPUNIT_TEST(remainder_is_returned_at_regular_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void partial_event_is_withheld() {
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"),
                             filter_.feed("id: 1\ndata: a\n\nid: 2\nda"));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), filter_.feed("ta: b\n\n"));
    }

    /// Guards against an event that is made up of parts from two runs.
    void dropped_partial_event_is_not_joined_to_next_run() {
        filter_.feed("id: 1\ndata: a\n\nid: 2\nda");
        filter_.drop_partial();
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), filter_.feed("id: 2\ndata: b\n\n"));
    }

    void last_id_is_that_of_last_complete_event() {
        filter_.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n");
        CPPUNIT_ASSERT_EQUAL(std::string("2"), filter_.last_id());
    }

    void transparent_stream_is_unchanged() {
        resume_filter transparent(true);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\nda"), transparent.feed("id: 1\nda"));
    }

    void remainder_is_returned_at_regular_end() {
        filter_.feed("id: 1\ndata: a\n\ntail");
        CPPUNIT_ASSERT_EQUAL(std::string("tail"), filter_.take_remainder());
    }

private:
    resume_filter filter_{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(resume_filter_test);

} // namespace
