#include "gateway_fixture.h"

#include <atomic>
#include <string>
#include <string_view>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

/// An endpoint that has restarted under another id at the same address. It refuses the call that
/// was sent for its former id, and sends a second copy of that refusal when the call is in flight
/// again on the same connection.
class copied_refusal_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(copied_refusal_test);
    CPPUNIT_TEST(stamp_that_runs_is_not_refused_by_copy_of_earlier_refusal);
    CPPUNIT_TEST(stamp_that_runs_is_not_sent_again_by_copy_of_earlier_refusal);
    CPPUNIT_TEST_SUITE_END();

public:
    /// REFUSED: no other endpoint could take the call.
    void stamp_that_runs_is_not_refused_by_copy_of_earlier_refusal() { expect_one_run(false); }

    /// TWICE: another endpoint can take the call.
    void stamp_that_runs_is_not_sent_again_by_copy_of_earlier_refusal() { expect_one_run(true); }

private:
    void expect_one_run(bool with_other_endpoint) {
        std::atomic<int> runs{0};
        const net::concurrent_server other([&](net::raw_connection& connection) {
            ++runs;
            connection.write(stamp_for(connection.read_until(net::end_of_head)));
        });
        const net::concurrent_server restarted([&](net::raw_connection& connection) {
            std::string refusal;
            while (true) {
                const auto text = connection.read_until(net::end_of_head);
                if (text.empty()) {
                    return;
                }
                if (net::header_in(text, "Expect-Instance") == "former") {
                    refusal = "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                              net::header_in(text, "Request-Id") +
                              "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
                    connection.write(refusal);
                    put_record("present", own_address_);
                    continue;
                }
                ++runs;
                if (with_other_endpoint) {
                    put_record("other", other.address());
                }
                connection.write(refusal + stamp_for(text));
            }
        });
        own_address_ = restarted.address();
        put_record("former", own_address_);
        store->put("keyed.op", "config",
                   R"({"version":3,"services":[{"name":"register"}],"routes":[)"
                   R"({"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe",)"
                   R"("attempts":2,"timeout-ms":9000,"slo-ms":8000,"service":"register"}]})");
        start_gateway_with(1);
        const auto answer = call("/stamps/1", "stamp-1");
        stop_threads();
        CPPUNIT_ASSERT_EQUAL(1, runs.load());
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
    }

    static std::string stamp_for(std::string_view request) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + net::header_in(request, "Request-Id") +
               "\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nstamp";
    }

    std::string own_address_; ///< Of the restarted endpoint.
};

CPPUNIT_TEST_SUITE_REGISTRATION(copied_refusal_test);

} // namespace
