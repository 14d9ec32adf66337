#include "peer_frame.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>

namespace {

using namespace dragonflystair;
using net::frame_reader;

constexpr std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;

class peer_frame_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_frame_test);
    CPPUNIT_TEST(deeply_nested_frame_is_malformed);
    CPPUNIT_TEST(large_flat_frame_is_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against frames that overflow the stack of the thread that reads them.
    void deeply_nested_frame_is_malformed() {
        constexpr std::size_t levels = 4'000'000;
        constexpr char map_of_one = '\x81';
        constexpr char text_of_four = '\xa4';
        constexpr char list_of_one = '\x91';
        std::string content{map_of_one, text_of_four};
        content += "type" + std::string(levels, list_of_one);
        CPPUNIT_ASSERT(read(with_length(content)) == frame_reader::read_status::malformed);
    }

    void large_flat_frame_is_accepted() {
        support::json rows = support::json::array();
        for (int i = 0; i < 10'000; ++i) {
            rows.push_back(support::json::array({"endpoint", i}));
        }
        const auto frame = net::encode_frame({{"type", "l"}, {"e", rows}});
        CPPUNIT_ASSERT(read(frame) == frame_reader::read_status::frame);
    }

private:
    static std::string with_length(const std::string& content) {
        std::string out;
        for (unsigned shift = 32; shift > 0; shift -= 8) {
            out += static_cast<char>(content.size() >> (shift - 8) & 0xffU);
        }
        return out + content;
    }

    static frame_reader::read_status read(const std::string& bytes) {
        frame_reader reader(max_frame_bytes);
        reader.feed(bytes);
        support::json frame;
        return reader.next(frame);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_frame_test);

} // namespace
