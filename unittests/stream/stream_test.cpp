#include "dragonflystair/stream/sse.h"
#include "dragonflystair/stream/stream_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair::stream;

/// Returns all events of `text`, fed in pieces of `piece` bytes.
std::vector<sse_event> read(std::string_view text, std::size_t piece) {
    sse_reader reader;
    std::vector<sse_event> events;
    for (std::size_t at = 0; at < text.size(); at += piece) {
        reader.feed(text.substr(at, piece));
        while (auto item = reader.next()) {
            events.push_back(std::move(*item));
        }
    }
    return events;
}

class stream_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_test);
    CPPUNIT_TEST(events_do_not_depend_on_input_pieces);
    CPPUNIT_TEST(any_line_end_ends_a_line);
    CPPUNIT_TEST(comments_and_events_without_data_are_skipped);
    CPPUNIT_TEST(event_without_id_has_none);
    CPPUNIT_TEST(rendered_event_is_read_back);
    CPPUNIT_TEST(line_break_in_id_adds_no_field);
    CPPUNIT_TEST(stream_check_detects_duplicate_gap_and_wrong_model);
    CPPUNIT_TEST_SUITE_END();

public:
    void events_do_not_depend_on_input_pieces() {
        const std::vector<sse_event> expected{{"1", "", "a\nb"}, {"2", "done", ""}};
        constexpr std::string_view text =
            "id: 1\r\ndata: a\r\ndata:b\r\n\r\nevent: done\r\nid: 2\r\ndata\r\n\r\n";
        for (std::size_t piece = 1; piece <= text.size(); ++piece) {
            CPPUNIT_ASSERT(expected == read(text, piece));
        }
    }

    void any_line_end_ends_a_line() {
        const std::vector<sse_event> expected{{"", "", "a"}, {"", "", "b"}};
        CPPUNIT_ASSERT(expected == read("data: a\n\ndata: b\n\n", 3));
        CPPUNIT_ASSERT(expected == read("data: a\r\rdata: b\r\r", 3));
        CPPUNIT_ASSERT(expected == read("data: a\r\n\r\ndata: b\r\n\r\n", 3));
    }

    void comments_and_events_without_data_are_skipped() {
        const std::vector<sse_event> expected{{"3", "", "x"}};
        CPPUNIT_ASSERT(expected == read(": ping\n\nid: 2\n\nid: 3\nretry: 9\ndata: x\n\n", 4));
    }

    /// Guards against an event without a position that is taken for a duplicate of the one before.
    void event_without_id_has_none() {
        const std::vector<sse_event> expected{{"1", "", "x"}, {"", "", "y"}};
        CPPUNIT_ASSERT(expected == read("id: 1\ndata: x\n\ndata: y\n\n", 5));
    }

    void rendered_event_is_read_back() {
        const sse_event item{"7", "token", "two\nlines"};
        CPPUNIT_ASSERT(std::vector<sse_event>{item} == read(render(item), 1000));
        const sse_event ends{"", "", "line\r\n"};
        CPPUNIT_ASSERT_EQUAL(std::string("line\n"), read(render(ends), 1000).at(0).data);
    }

    void line_break_in_id_adds_no_field() {
        const auto events = read(render({"1\ndata: y", "", "x"}), 1000);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), events.at(0).data);
    }

    void stream_check_detects_duplicate_gap_and_wrong_model() {
        stream_check check("s/a@1", 5);
        CPPUNIT_ASSERT(check.check(5, "s/a@1") == event_verdict::relay);
        CPPUNIT_ASSERT(check.check(5, "s/a@1") == event_verdict::duplicate);
        CPPUNIT_ASSERT(check.check(7, "s/a@1") == event_verdict::gap);
        CPPUNIT_ASSERT(check.check(5, "s/a@2") == event_verdict::wrong_model);
        CPPUNIT_ASSERT(check.check(6, "s/a@1") == event_verdict::relay);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, check.expected());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_test);

} // namespace
