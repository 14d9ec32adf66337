#include "gateway_fixture.h"

#include <array>
#include <atomic>
#include <charconv>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using net::end_of_head;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":2000,"attempts":2,"service":"register"},
    {"name":"drafts","host":"desk","path-prefix":"/drafts/","kind":"stream","timeout-ms":9000,
     "slo-ms":2000,"gap-aim-ms":300,"attempts":2,"resumable":true,"service":"register"},
    {"name":"patterns","host":"desk","path-prefix":"/patterns/","kind":"stream","timeout-ms":9000,
     "slo-ms":2000,"gap-aim-ms":300,"attempts":1,"service":"register"}],
    "services":[{"name":"register"}]})";

/// Calls that are sent a second time, and endpoints that respond out of turn or break off.
class second_endpoint_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(second_endpoint_test);
    CPPUNIT_TEST(copy_of_an_earlier_refusal_is_taken_for_the_answer_to_the_next_call);
    CPPUNIT_TEST(call_is_sent_again_to_the_endpoint_that_refused_it);
    CPPUNIT_TEST(error_of_the_next_endpoint_appears_in_a_stream_that_broke_off);
    CPPUNIT_TEST(stream_without_length_that_ends_inside_an_event_looks_complete);
    CPPUNIT_TEST(framed_stream_that_ends_inside_an_event_looks_complete);
    CPPUNIT_TEST(framed_stream_that_ends_inside_an_event_is_not_resumed);
    CPPUNIT_TEST(stream_that_ends_inside_its_head_looks_complete);
    CPPUNIT_TEST(bytes_without_events_fill_the_memory_of_the_node);
    CPPUNIT_TEST_SUITE_END();

public:
    second_endpoint_test() : gateway_fixture(configuration) {}

    void setUp() override {
        gateway_fixture::setUp();
        runs_ = 0;
    }

    /// An endpoint refuses a call, and repeats the refusal on the kept connection when the next
    /// call comes, which it runs. That caller must not be told that its call has not run.
    void copy_of_an_earlier_refusal_is_taken_for_the_answer_to_the_next_call() {
        const std::string status = "HTTP/1.1 503 Service Unavailable\r\n";
        const std::string refusal = "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        const std::string first_id = "Request-Id: first\r\n";
        const std::vector<std::pair<std::string, int>> copies{
            {status + first_id + refusal, 200},
            {status + first_id + refusal + status + first_id + refusal, 200},
            {status + refusal, 502},
            {status + "Retry-After: 1\r\n" + refusal, 502},
            {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 502},
            {status + "Request-Id: second\r\nContent-Length: 0\r\n\r\n", 502},
            {status.substr(0, 20), 502}};
        const std::string refused = status + first_id + refusal;
        for (const auto& [copy, expected] : copies) {
            net::scripted_server endpoint({[&](net::raw_connection& connection) {
                connection.read_until(end_of_head);
                connection.write(refused);
                if (connection.read_until(end_of_head).find("second") != std::string::npos) {
                    ++runs_;
                    connection.write(copy + answer("second", "Content-Length: 7\r\n", "stamped"));
                }
            }});
            start({endpoint.address()});
            CPPUNIT_ASSERT_EQUAL(503, call("/stamps/1", "first").status);
            const auto response = call("/stamps/2", "second");
            tearDown();
            endpoint.join();
            const int runs = runs_;
            setUp();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(copy, 1, runs);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(copy, expected, response.status);
        }
    }

    /// An endpoint that refused a call is not sent the same call again, so that a late copy of the
    /// refusal cannot have the id of the call in flight.
    void call_is_sent_again_to_the_endpoint_that_refused_it() {
        net::scripted_server endpoint({[&](net::raw_connection& connection) {
            connection.read_until(end_of_head);
            connection.write("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: id-1\r\n"
                             "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            runs_ += connection.read_until(end_of_head).empty() ? 0 : 1;
        }});
        start({endpoint.address()});
        CPPUNIT_ASSERT_EQUAL(503, call("/stamps/1", "id-1").status);
        stop_threads();
        endpoint.join();
        CPPUNIT_ASSERT_EQUAL(0, runs_.load());
    }

    /// A stream breaks off after its first event. Whatever the next endpoint answers that is no
    /// continuation, the caller's stream holds events only and does not look complete.
    void error_of_the_next_endpoint_appears_in_a_stream_that_broke_off() {
        const std::string sized = "Content-Length: 11\r\n";
        const std::string signed_head = "Server-Stamp: s\r\n";
        const std::vector<std::string> errors{
            failure("500 Internal Server Error", signed_head + sized),
            failure("404 Not Found", signed_head + sized),
            failure("504 Gateway Timeout", signed_head + "Connection: close\r\n"),
            failure("503 Service Unavailable", "Not-Run: 1\r\n" + sized),
            failure("302 Found", signed_head + "Location: /\r\n" + sized)};
        const std::string event = "id: 1\ndata: a\n\n";
        std::vector<std::unique_ptr<net::scripted_server>> servers;
        std::atomic<int> sends{0};
        // Either endpoint may be first: the first send of a call breaks off, the later ones fail.
        const auto script = [&](net::raw_connection& connection) {
            const auto head = connection.read_until(end_of_head);
            const auto id = id_in(head);
            if (head.find("Last-Event-Id") == std::string::npos) {
                connection.write("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: " + id +
                                 "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n");
                return;
            }
            ++sends;
            auto text = errors.at(std::stoul(id.substr(id.find('-') + 1)));
            text.replace(text.find("ID"), 2, id);
            connection.write(text);
        };
        std::vector<std::string> addresses;
        for (int number = 0; number < 2; ++number) {
            servers.push_back(std::make_unique<net::scripted_server>(
                std::vector<net::scripted_server::script>(40, script)));
            addresses.push_back(servers.back()->address());
        }
        start(addresses);
        for (std::size_t number = 0; number < errors.size(); ++number) {
            const auto text =
                raw_call("/drafts/" + std::to_string(number), "stream-" + std::to_string(number));
            const auto body = text.substr(std::min(text.size(), text.find(end_of_head) + 4));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(errors[number], "f\r\n" + event + "\r\n", body);
        }
        CPPUNIT_ASSERT(sends > 0);
        output->expect({"event=call ", "request=stream-1 ", "outcome=not_resumed"});
        stop_threads();
    }

    void stream_without_length_that_ends_inside_an_event_looks_complete() {
        const auto script = [&](net::raw_connection& connection) {
            const auto id = id_in(connection.read_until(end_of_head));
            const bool whole = id.find("whole") != std::string::npos;
            connection.write(answer(id, "Connection: close\r\n",
                                    whole ? "id: 1\ndata: a\n\n" : "id: 1\ndata: a\n\nid: 2\nda"));
        };
        net::scripted_server endpoint(std::vector<net::scripted_server::script>(40, script));
        start({endpoint.address()});
        for (const std::string path : {"/patterns/1", "/drafts/1"}) {
            const std::string last_chunk = "\r\n0\r\n\r\n";
            const auto whole = raw_call(path, "whole" + path.substr(1, 1));
            CPPUNIT_ASSERT_MESSAGE(whole, whole.ends_with(last_chunk));
            const auto broken = raw_call(path, "broken" + path.substr(1, 1));
            CPPUNIT_ASSERT_MESSAGE(broken, broken.find("data: a") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(broken, !broken.ends_with(last_chunk));
        }
        stop_threads();
        endpoint.join();
    }

    /// The endpoint ends the body regularly, by its last chunk or its length, as a server does
    /// whose source of events has failed.
    void framed_stream_that_ends_inside_an_event_looks_complete() {
        const auto script = [&](net::raw_connection& connection) {
            const auto id = id_in(connection.read_until(end_of_head));
            const std::string text = id.find("whole") != std::string::npos
                                         ? "id: 1\ndata: a\n\n"
                                         : "id: 1\ndata: a\n\nid: 2\nda";
            connection.write(id.find("chunks") != std::string::npos ? chunked_answer(id, text)
                                                                    : sized_answer(id, text));
        };
        net::scripted_server endpoint(std::vector<net::scripted_server::script>(40, script));
        start({endpoint.address()});
        const std::string last_chunk = "\r\n0\r\n\r\n";
        for (const std::string framing : {"chunks", "length"}) {
            for (const std::string path : {"/patterns/1", "/drafts/1"}) {
                const auto whole = raw_call(path, "whole" + framing + path.substr(1, 1));
                CPPUNIT_ASSERT_MESSAGE(whole, whole.ends_with(last_chunk));
                const auto broken = raw_call(path, "broken" + framing + path.substr(1, 1));
                CPPUNIT_ASSERT_MESSAGE(broken, broken.find("data: a") != std::string::npos);
                CPPUNIT_ASSERT_MESSAGE(broken, !broken.ends_with(last_chunk));
            }
        }
        stop_threads();
        endpoint.join();
    }

    /// The first send of a call ends inside its second event, whichever endpoint gets it.
    void framed_stream_that_ends_inside_an_event_is_not_resumed() {
        const auto script = [&](net::raw_connection& connection) {
            const auto head = connection.read_until(end_of_head);
            const bool resumes = head.find("Last-Event-Id: 1\r\n") != std::string::npos;
            connection.write(chunked_answer(id_in(head), resumes ? "id: 2\ndata: b\n\n"
                                                                 : "id: 1\ndata: a\n\nid: 2\nda"));
        };
        net::scripted_server first(std::vector<net::scripted_server::script>(4, script));
        net::scripted_server second(std::vector<net::scripted_server::script>(4, script));
        start({first.address(), second.address()});
        const auto answer = call("/drafts/1", "resumed");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), answer.body);
        stop_threads();
    }

    void stream_that_ends_inside_its_head_looks_complete() {
        const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: ID\r\n"
                                 "Content-Type: text/event-stream\r\n\r\n";
        for (std::size_t length = 1; length < head.size(); length += 29) {
            const auto script = [&](net::raw_connection& connection) {
                const auto id = id_in(connection.read_until(end_of_head));
                auto text = head;
                text.replace(text.find("ID"), 2, id);
                connection.write(text.substr(0, length));
            };
            net::scripted_server endpoint(std::vector<net::scripted_server::script>(4, script));
            start({endpoint.address()});
            for (const std::string path : {"/patterns/1", "/drafts/1", "/stamps/1"}) {
                const auto text = raw_call(path, "cut" + path.substr(1, 1));
                CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 502"));
            }
            tearDown();
            endpoint.join();
            setUp();
        }
    }

    /// Comments, and blank lines that the filter of complete events does not recognise.
    void bytes_without_events_fill_the_memory_of_the_node() {
        constexpr std::size_t total_bytes = std::size_t{64} * 1024 * 1024;
        const auto script = [&](net::raw_connection& connection) {
            const auto id = id_in(connection.read_until(end_of_head));
            const std::string line = id == "comments" ? ": ping\n" : "data: x\r\r";
            std::string block;
            while (block.size() < 64'000) {
                block += line;
            }
            connection.write(answer(id, "Connection: close\r\n", ""));
            for (std::size_t sent = 0; sent < total_bytes; sent += block.size()) {
                connection.write(block);
            }
        };
        net::scripted_server endpoint(std::vector<net::scripted_server::script>(40, script));
        start({endpoint.address()});
        for (const std::string id : {"comments", "carriage-returns"}) {
            raw_call("/drafts/1", id);
            output->expect({"event=endpoint_failed", "request=" + id,
                            "fault=\"stream stalled or event too long\""});
        }
        stop_threads();
        endpoint.join();
    }

private:
    /// Each script serves one call and ends its connection, so the node must not use it again.
    static std::string chunked_answer(const std::string& id, const std::string& text) {
        std::array<char, 17> size{};
        const auto end = std::to_chars(size.begin(), size.end(), text.size(), 16).ptr;
        return answer(id, "Connection: close\r\nTransfer-Encoding: chunked\r\n",
                      std::string(size.begin(), end) + "\r\n" + text + "\r\n0\r\n\r\n");
    }

    static std::string sized_answer(const std::string& id, const std::string& text) {
        return answer(
            id, "Connection: close\r\nContent-Length: " + std::to_string(text.size()) + "\r\n",
            text);
    }

    static std::string answer(const std::string& id, const std::string& framing,
                              const std::string& body) {
        return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: " + id + "\r\n" + framing +
               "\r\n" + body;
    }

    static std::string failure(const std::string& status, const std::string& headers) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: ID\r\n" + headers + "\r\nerror: text";
    }

    static std::string id_in(const std::string& head) { return net::header_in(head, "Request-Id"); }

    void start(const std::vector<std::string>& addresses) {
        for (const auto& endpoint : addresses) {
            put_record("at " + endpoint, endpoint);
        }
        start_gateway_with(addresses.size());
    }

    /// Sends a call and returns all bytes until the node closes the connection.
    std::string raw_call(const std::string& path, const std::string& id) const {
        return open_call(path, id, milliseconds{3'000}).read_all();
    }

    std::atomic<int> runs_{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(second_endpoint_test);

} // namespace
