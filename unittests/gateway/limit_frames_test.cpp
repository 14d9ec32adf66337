#include "peer_frames.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using std::chrono::milliseconds;
using support::json;

constexpr support::time_point now{std::chrono::hours{1}};

/// Frames about rate limits and permits.
class limit_frames_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limit_frames_test);
    CPPUNIT_TEST(limit_keeps_its_value_and_widens_its_times);
    CPPUNIT_TEST(ended_limit_has_no_value);
    CPPUNIT_TEST(requests_and_answers_keep_their_members);
    CPPUNIT_TEST(damaged_frames_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_keeps_its_value_and_widens_its_times() {
        const forwarded_limit limit{"e", {7, 2.5, now - milliseconds{40}, now - milliseconds{10}}};
        const auto read = decode_limit(limit_frame(limit, now), now);
        CPPUNIT_ASSERT(read && read->endpoint == "e" && read->observed.started_ms == 7);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, *read->observed.per_s, 1e-9);
        CPPUNIT_ASSERT(read->observed.sent <= limit.observed.sent);
        CPPUNIT_ASSERT(read->observed.received_at >= limit.observed.received_at);
    }

    void ended_limit_has_no_value() {
        const auto read = decode_limit(limit_frame({"e", {7, {}, now, now}}, now), now);
        CPPUNIT_ASSERT(read && !read->observed.per_s);
    }

    void requests_and_answers_keep_their_members() {
        const permit_requests requests{"node", 12, {{{"e", {7, 2.5, now, now}}, 3}}};
        const auto read = decode_permit_requests(permit_request_frame(requests, now), now);
        CPPUNIT_ASSERT(read && read->origin == "node" && read->request == 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read->rows.at(0).wanted);
        const auto answer = decode_permit_answer(
            permit_answer_frame({"node", 12, "e", 2, milliseconds{50}, milliseconds{400}}));
        CPPUNIT_ASSERT(answer && answer->origin == "node" && answer->request == 12);
        CPPUNIT_ASSERT(answer->endpoint == "e" && answer->count == 2);
        CPPUNIT_ASSERT(answer->next_in == milliseconds{50});
        CPPUNIT_ASSERT(answer->interval == milliseconds{400});
    }

    void damaged_frames_are_rejected() {
        for (const auto* text :
             {R"({})", R"({"l":3})", R"({"l":[]})", R"({"l":[7,7,7,7,7]})", R"({"l":["e",1]})",
              R"({"l":["e",1,"x",0,0]})", R"({"l":["e",1,-2,0,0]})", R"({"l":["e",1,1e300,0,0]})",
              R"({"l":[["e"]],"o":3})", R"({"o":"","l":[]})"}) {
            const auto frame = json::parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decode_limit(frame, now));
            CPPUNIT_ASSERT_MESSAGE(text, !decode_permit_requests(frame, now));
            CPPUNIT_ASSERT_MESSAGE(text, !decode_permit_answer(frame) || frame["l"].size() > 2);
        }
        const auto requests = decode_permit_requests(
            json::parse(R"({"o":"node","l":[7,[],["e",1,2.5,0,0,-1],["e",1,"x",0,0,1]]})"), now);
        CPPUNIT_ASSERT(requests && requests->rows.size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests->rows.at(0).wanted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_frames_test);

} // namespace
