#include "peer_frames.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using support::json;

/// Frames about copies of the store's topics.
class record_frames_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_frames_test);
    CPPUNIT_TEST(records_keep_their_era_and_offsets);
    CPPUNIT_TEST(request_keeps_the_end_of_the_copy);
    CPPUNIT_TEST(status_keeps_the_ends_of_copies);
    CPPUNIT_TEST(frames_of_a_peer_without_eras_are_of_era_0);
    CPPUNIT_TEST(frames_are_read_by_a_peer_without_eras);
    CPPUNIT_TEST(damaged_eras_count_as_0);
    CPPUNIT_TEST(page_with_damaged_bounds_implies_nothing);
    CPPUNIT_TEST(removals_are_told_without_damaged_rows);
    CPPUNIT_TEST_SUITE_END();

public:
    void removals_are_told_without_damaged_rows() {
        const std::vector<fleet::removed_endpoint> removed{{"a", 7}, {"b", 9}};
        auto frame = removals_frame(removed);
        frame["e"].push_back(support::json::array({3, "c"}));
        frame["e"].push_back("d");
        const auto told = decode_removals(frame);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), told[1].id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, told[1].started_ms);
    }

    void records_keep_their_era_and_offsets() {
        const fleet::keyed_page page{{{"a", "x", 4}, {"b", {}, 5, true}, {"c", "", 6}}, 7, 2, 3};
        const auto read = decode_records(records_frame("keyed.op", page));
        CPPUNIT_ASSERT(read.era == 3 && read.from == 2 && read.next == 7);
        CPPUNIT_ASSERT_EQUAL(page.records.size(), read.records.size());
        for (std::size_t i = 0; i < page.records.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(page.records[i].key, read.records[i].key);
            CPPUNIT_ASSERT(page.records[i].value == read.records[i].value);
            CPPUNIT_ASSERT_EQUAL(page.records[i].offset, read.records[i].offset);
            CPPUNIT_ASSERT_EQUAL(page.records[i].inferred, read.records[i].inferred);
        }
    }

    /// Guards against exceptions and against records that count as removed because of a page whose
    /// bounds are of another type.
    void page_with_damaged_bounds_implies_nothing() {
        for (const auto* text : {R"({"type":"r","e":7,"f":"2","v":[["a",4,true,"x"]]})",
                                 R"({"type":"r","e":-7,"f":2,"v":[["a",4,true,"x"]]})"}) {
            const auto page = decode_records(json::parse(text));
            CPPUNIT_ASSERT(page.records.empty() && page.from == 0 && page.next == 0);
        }
    }

    void request_keeps_the_end_of_the_copy() {
        const fleet::log_position end{3, 41};
        CPPUNIT_ASSERT(decode_records_request(records_request("keyed.op", end)) == end);
    }

    void status_keeps_the_ends_of_copies() {
        node_status status;
        status.name = "node";
        status.topic_ends = {{"keyed.op", {3, 41}}, {"keyed.servers", {2, 900}}};
        const auto read = decode_status(status_frame(status));
        CPPUNIT_ASSERT(read && read->topic_ends == status.topic_ends);
    }

    /// Guards against records that are taken for those of the era of this node's copy.
    void frames_of_a_peer_without_eras_are_of_era_0() {
        const auto page = decode_records(
            json::parse(R"({"type":"r","k":"keyed.op","f":2,"e":7,"v":[["a",4,true,"x"]]})"));
        CPPUNIT_ASSERT(page.era == 0 && page.from == 2 && page.next == 7);
        CPPUNIT_ASSERT(page.records.size() == 1 && !page.records[0].inferred);
        CPPUNIT_ASSERT(decode_records_request(json::parse(R"({"type":"q","k":"t","f":7})")) ==
                       (fleet::log_position{0, 7}));
        auto frame = status_frame({});
        frame["n"] = "node";
        frame["e"] = json::parse(R"([["keyed.op",41]])");
        const auto status = decode_status(frame);
        CPPUNIT_ASSERT(status && status->topic_ends.at("keyed.op") == (fleet::log_position{0, 41}));
    }

    /// Members that peers of the former version read keep their names, types and places.
    void frames_are_read_by_a_peer_without_eras() {
        const auto frame = records_frame("keyed.op", {{{"a", "x", 4}}, 7, 2, 3});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, frame.at("f").get<std::uint64_t>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, frame.at("e").get<std::uint64_t>());
        const auto& row = frame.at("v").at(0);
        CPPUNIT_ASSERT(row.at(0) == "a" && row.at(1) == 4 && row.at(2) == true && row.at(3) == "x");
        CPPUNIT_ASSERT(records_request("keyed.op", {3, 41}).at("f") == 41);
        node_status status;
        status.topic_ends = {{"keyed.op", {3, 41}}};
        const auto end = status_frame(status).at("e").at(0);
        CPPUNIT_ASSERT(end.at(0) == "keyed.op" && end.at(1) == 41);
    }

    void damaged_eras_count_as_0() {
        for (const auto* text : {R"("x")", "-1", "1.5", "null", "[]", "{}", "2147483648"}) {
            const auto odd = json::parse(text);
            auto frame = records_frame("keyed.op", {{{"a", "x", 4}}, 7, 2, 3});
            frame["g"] = odd;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, decode_records(frame).era);
            auto request = records_request("keyed.op", {3, 41});
            request["g"] = odd;
            CPPUNIT_ASSERT_MESSAGE(text,
                                   decode_records_request(request) == (fleet::log_position{0, 41}));
            node_status status;
            status.name = "node";
            status.topic_ends = {{"keyed.op", {3, 41}}};
            auto status_text = status_frame(status);
            status_text["e"][0][2] = odd;
            const auto read = decode_status(status_text);
            CPPUNIT_ASSERT_MESSAGE(text, read && read->topic_ends.at("keyed.op").era == 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_frames_test);

} // namespace
