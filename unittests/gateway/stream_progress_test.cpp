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
    route.max_event_gap = milliseconds{300};
    route.resumable = resumable;
    return route;
}

/// Which streams count as stalled.
class stream_progress_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_progress_test);
    CPPUNIT_TEST(slow_stream_is_not_stalled);
    CPPUNIT_TEST(bytes_without_complete_event_are_no_progress);
    CPPUNIT_TEST(fragmented_event_is_progress_when_complete);
    CPPUNIT_TEST(event_without_end_is_too_long);
    CPPUNIT_TEST(resumable_stream_stalls_before_caller_timeout);
    CPPUNIT_TEST_SUITE_END();

public:
    /// One hour of events that each arrive just before the stall timeout.
    void slow_stream_is_not_stalled() {
        const auto timeout = stall_timeout(draft_route(false));
        stream_progress progress(timeout, start);
        auto now = start;
        while (now < start + std::chrono::hours{1}) {
            now += timeout - milliseconds{1};
            CPPUNIT_ASSERT(now < progress.stalls_at());
            progress.feed("id: 1\ndata: a\n\n", now);
        }
    }

    void bytes_without_complete_event_are_no_progress() {
        const auto timeout = stall_timeout(draft_route(false));
        for (const std::string_view piece :
             {"d", ": comment\n\n", "\n", "id: 7\n\n", "event: x\n\n"}) {
            stream_progress progress(timeout, start);
            for (int i = 1; i < 100; ++i) {
                progress.feed(piece, start + i * milliseconds{100});
            }
            CPPUNIT_ASSERT(progress.stalls_at() == start + timeout);
        }
    }

    void fragmented_event_is_progress_when_complete() {
        const auto timeout = stall_timeout(draft_route(false));
        stream_progress progress(timeout, start);
        auto now = start;
        for (const char c : std::string("id: 1\r\ndata: a\r\n\r")) {
            now += milliseconds{10};
            progress.feed(std::string_view(&c, 1), now);
        }
        CPPUNIT_ASSERT(progress.stalls_at() == now + timeout);
    }

    void event_without_end_is_too_long() {
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

    void resumable_stream_stalls_before_caller_timeout() {
        CPPUNIT_ASSERT(stall_timeout(draft_route(true)) < stall_timeout(draft_route(false)));
        CPPUNIT_ASSERT(stall_timeout(draft_route(true)) > draft_route(true).max_event_gap);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_progress_test);

} // namespace
