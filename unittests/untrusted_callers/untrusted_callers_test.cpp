#include "crowd.h"
#include "endpoint_stand_in.h"
#include "gateway_process.h"
#include "net/test_context.h"
#include "store_stand_in.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::untrusted;
using std::chrono::milliseconds;

constexpr std::size_t legal_body_bytes = std::size_t{4} * 1024 * 1024;
/// The crowds of one test on all paths hold several times the memory of the machine if they can.
constexpr std::size_t body_senders = 24;
/// More than the descriptors of the process, on all listeners together.
constexpr std::size_t idle_senders = 80;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":9000,"service":"register"}],"services":[{"name":"register"}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
     "idle-timeout-ms":15000}})";

std::string head(const std::string& path, const std::string& fields) {
    return "POST " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: crowd\r\n" + fields + "\r\n";
}

std::string chunk(std::size_t bytes) {
    return fmt::format("{:x}\r\n", bytes) + std::string(bytes, 'x') + "\r\n";
}

/// A body that lacks its last byte.
std::string almost_whole_body(const std::string& path) {
    return head(path, fmt::format("Content-Length: {}\r\n", legal_body_bytes)) +
           std::string(legal_body_bytes - 1, 'x');
}

/// A body in chunks that lacks its last chunk.
std::string chunks(const std::string& path, std::size_t total) {
    constexpr std::size_t chunk_bytes = 4000;
    auto text = head(path, "Transfer-Encoding: chunked\r\n");
    for (std::size_t sent = 0; sent + chunk_bytes < total; sent += chunk_bytes) {
        text += chunk(chunk_bytes);
    }
    return text;
}

std::string many_fields(const std::string& path) {
    std::string fields;
    for (int i = 0; i < 1'800; ++i) {
        fields += fmt::format("{:x}:b\r\n", i);
    }
    return head(path, fields);
}

/// The length of a frame between peers, 768 bytes, and a part of the frame.
const std::string part_of_frame = std::string("\0\0\3\0", 4) + std::string(500, 'x');

/// A gateway as a process on small limits, and crowds of callers that are not under our control.
/// Each crowd comes to a route, a path without a route, the ready path, the resolve path and the
/// listener of peers at the same time. The tests guard against a process that ends, takes more
/// memory or descriptors than its machine has, or does not serve ordinary callers any more.
class untrusted_callers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(untrusted_callers_test);
    CPPUNIT_TEST(bodies_without_their_last_byte_are_bounded);
    CPPUNIT_TEST(bodies_in_small_pieces_are_bounded);
    CPPUNIT_TEST(bodies_in_chunks_are_bounded);
    CPPUNIT_TEST(chunked_bodies_far_over_the_limit_are_bounded);
    CPPUNIT_TEST(requests_of_many_short_fields_are_bounded);
    CPPUNIT_TEST(pipelined_requests_with_unread_responses_are_bounded);
    CPPUNIT_TEST(slow_senders_leave_descriptors_for_others);
    CPPUNIT_TEST(half_way_stops_leave_descriptors_for_others);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        context_ = std::make_unique<net::test_context>();
        store_ = std::make_unique<gateway::store_stand_in>(context_->get());
        client_ = std::make_unique<net::http_client>(context_->get());
        endpoint_ = std::make_unique<gateway::endpoint_stand_in>(
            context_->get(), gateway::endpoint_stand_in::answer_with("stamped"));
        store_->put("keyed.op", "config", configuration);
        store_->put("keyed.servers", "endpoint-1",
                    gateway::endpoint_record("register", endpoint_->address()));
        process_ = std::make_unique<gateway_process>(store_->address());
        wait_until_ready();
    }

    void tearDown() override {
        process_.reset();
        context_->stop();
        client_.reset();
        endpoint_.reset();
        store_.reset();
        context_.reset();
    }

    void bodies_without_their_last_byte_are_bounded() {
        crowd callers;
        join_everywhere(callers, body_senders, almost_whole_body);
        check(callers);
    }

    void bodies_in_small_pieces_are_bounded() {
        crowd callers;
        constexpr std::size_t piece_bytes = 6'000;
        join_everywhere(callers, body_senders, almost_whole_body, piece_bytes);
        check(callers);
    }

    void bodies_in_chunks_are_bounded() {
        crowd callers;
        join_everywhere(callers, body_senders,
                        [](const auto& path) { return chunks(path, legal_body_bytes); });
        check(callers);
    }

    void chunked_bodies_far_over_the_limit_are_bounded() {
        crowd callers;
        join_everywhere(callers, body_senders,
                        [](const auto& path) { return chunks(path, 3 * legal_body_bytes); });
        check(callers);
    }

    void requests_of_many_short_fields_are_bounded() {
        crowd callers;
        join_everywhere(callers, idle_senders, many_fields);
        check(callers);
    }

    void pipelined_requests_with_unread_responses_are_bounded() {
        crowd callers;
        constexpr std::size_t requests = 2'000;
        const auto pipelined = [](const std::string& path) {
            return head(path, "Content-Length: 1\r\n") + "x";
        };
        join_everywhere(callers, body_senders, pipelined, 0, requests);
        check(callers);
    }

    void slow_senders_leave_descriptors_for_others() {
        crowd callers;
        join_everywhere(callers, idle_senders, many_fields, 1, 1, part_of_frame);
        check(callers);
    }

    void half_way_stops_leave_descriptors_for_others() {
        crowd callers;
        const auto part = [](const auto& path) { return many_fields(path).substr(0, 1'000); };
        join_everywhere(callers, idle_senders, part, 0, 1, part_of_frame);
        check(callers);
    }

private:
    int status_of(const std::string& address, const std::string& method,
                  const std::string& path) const {
        net::http_request request;
        request.method = method;
        request.target = path;
        request.headers = {{"Host", "desk"}, {"Request-Id", "ordinary"}, {"Deadline-Ms", "9000"}};
        constexpr milliseconds timeout{10'000};
        const auto response = context_->run(client_->request(address, request, timeout, false));
        return response ? response.value().status : 0;
    }

    /// Waits until the gateway serves a call, which it does once it has read the store.
    void wait_until_ready() {
        for (int attempt = 0; attempt < 1'000; ++attempt) {
            if (status_of(process_->addresses().callers, "POST", "/stamps/1") == 200) {
                return;
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        CPPUNIT_FAIL("the gateway serves no call\n" + process_->log());
    }

    template <class Text>
    void join_everywhere(crowd& callers, std::size_t connections, const Text& text,
                         std::size_t piece_bytes = 0, std::size_t repetitions = 1,
                         const std::string& peer_text = {}) const {
        const auto join = [&](const std::string& address, const std::string& path) {
            callers.join({address, connections, text(path), repetitions, piece_bytes});
        };
        const auto& at = process_->addresses();
        join(at.callers, "/stamps/1");
        join(at.callers, "/nowhere");
        join(at.ready, "/");
        join(at.resolve, "/");
        callers.join({at.peers, connections, peer_text.empty() ? text("/") : peer_text, repetitions,
                      piece_bytes});
    }

    void check(crowd& callers) {
        constexpr milliseconds longest{1'200};
        std::size_t descriptors_used = 0;
        callers.send(longest, [&] {
            descriptors_used = std::max(descriptors_used, process_->open_descriptors());
        });
        CPPUNIT_ASSERT_MESSAGE("the process has ended\n" + process_->log(), process_->alive());
        const auto peak = process_->peak_memory_mb();
        const auto measured = fmt::format("{} MB, {} descriptors", peak, descriptors_used);
        CPPUNIT_ASSERT_MESSAGE(measured, peak > 0 && peak <= memory_mb);
        CPPUNIT_ASSERT_MESSAGE(measured, descriptors_used <= descriptors);
        CPPUNIT_ASSERT_EQUAL(200, status_of(process_->addresses().callers, "POST", "/stamps/2"));
        CPPUNIT_ASSERT_EQUAL(200, status_of(process_->addresses().ready, "GET", "/"));
    }

    std::unique_ptr<net::test_context> context_;
    std::unique_ptr<gateway::store_stand_in> store_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<gateway::endpoint_stand_in> endpoint_;
    std::unique_ptr<gateway_process> process_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(untrusted_callers_test);

} // namespace
