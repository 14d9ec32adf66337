#include "stream_progress.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

fleet::route draft_route(bool resumable) {
    fleet::route route;
    route.kind = fleet::call_kind::stream;
    route.objective = milliseconds{600};
    route.longest_pause = milliseconds{300};
    route.resumable = resumable;
    return route;
}

/// Which streams are taken for stalled.
class stream_progress_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_progress_test);
    CPPUNIT_TEST(slow_but_sound_stream_is_never_stalled);
    CPPUNIT_TEST(bytes_that_complete_no_event_are_no_progress);
    CPPUNIT_TEST(event_in_many_pieces_is_progress_when_it_is_complete);
    CPPUNIT_TEST(event_without_end_is_overlong);
    CPPUNIT_TEST(resumable_stream_is_given_up_before_its_caller_leaves);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays an hour of events that each come just inside the time that callers wait.
    void slow_but_sound_stream_is_never_stalled() {
        const auto limit = stall_timeout(draft_route(false));
        stream_progress progress(limit, start);
        auto now = start;
        while (now < start + std::chrono::hours{1}) {
            now += limit - milliseconds{1};
            CPPUNIT_ASSERT(now < progress.stalls_at());
            progress.feed("id: 1\ndata: a\n\n", now);
        }
    }

    void bytes_that_complete_no_event_are_no_progress() {
        const auto limit = stall_timeout(draft_route(false));
        for (const std::string_view piece :
             {"d", ": comment\n\n", "\n", "id: 7\n\n", "event: x\n\n"}) {
            stream_progress progress(limit, start);
            for (int i = 1; i < 100; ++i) {
                progress.feed(piece, start + i * milliseconds{100});
            }
            CPPUNIT_ASSERT(progress.stalls_at() == start + limit);
        }
    }

    void event_in_many_pieces_is_progress_when_it_is_complete() {
        const auto limit = stall_timeout(draft_route(false));
        stream_progress progress(limit, start);
        auto now = start;
        for (const char c : std::string("id: 1\r\ndata: a\r\n\r")) {
            now += milliseconds{10};
            progress.feed(std::string_view(&c, 1), now);
        }
        CPPUNIT_ASSERT(progress.stalls_at() == now + limit);
    }

    void event_without_end_is_overlong() {
        const std::string line(1'000, 'x');
        const std::vector<std::string> pieces{line, "data: " + line + "\n"};
        for (const auto& piece : pieces) {
            stream_progress progress(milliseconds{2'000}, start);
            progress.feed(piece, start);
            CPPUNIT_ASSERT(!progress.event_too_long());
            for (int i = 0; i < 2'000; ++i) {
                progress.feed(piece, start);
            }
            CPPUNIT_ASSERT(progress.event_too_long());
        }
    }

    void resumable_stream_is_given_up_before_its_caller_leaves() {
        CPPUNIT_ASSERT(stall_timeout(draft_route(true)) < stall_timeout(draft_route(false)));
        CPPUNIT_ASSERT(stall_timeout(draft_route(true)) > draft_route(true).longest_pause);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_progress_test);

} // namespace
