#include "crowd_fixture.h"

#include "crowd_texts.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace dragonflystair::untrusted {

namespace {

using std::chrono::milliseconds;

/// The crowds of one test on all paths hold several times the memory of the machine if they can.
constexpr std::size_t body_senders = 24;
/// More than the descriptors of the process, on all listeners together.
constexpr std::size_t idle_senders = 80;

crowd_plan of(std::size_t connections, std::size_t piece_bytes = 0, std::size_t repetitions = 1) {
    crowd_plan plan;
    plan.connections = connections;
    plan.piece_bytes = piece_bytes;
    plan.repetitions = repetitions;
    return plan;
}

} // namespace

void crowd_fixture::setUp() {
    context_ = std::make_unique<net::test_context>();
    client_ = std::make_unique<net::http_client>(context_->get());
}

void crowd_fixture::tearDown() {
    stop_context();
    context_.reset();
}

void crowd_fixture::stop_context() {
    context_->stop();
    client_.reset();
}

void crowd_fixture::bodies_without_their_last_byte_are_bounded() {
    check(of(body_senders),
          [](const auto& at) { return almost_whole_body(at.path, at.legal_body_bytes); });
}

void crowd_fixture::bodies_in_small_pieces_are_bounded() {
    constexpr std::size_t piece_bytes = 6'000;
    check(of(body_senders, piece_bytes),
          [](const auto& at) { return almost_whole_body(at.path, at.legal_body_bytes); });
}

void crowd_fixture::bodies_in_chunks_are_bounded() {
    check(of(body_senders), [](const auto& at) { return chunks(at.path, at.legal_body_bytes); });
}

void crowd_fixture::chunked_bodies_far_over_the_limit_are_bounded() {
    check(of(body_senders),
          [](const auto& at) { return chunks(at.path, 3 * at.legal_body_bytes); });
}

void crowd_fixture::requests_of_many_short_fields_are_bounded() {
    check(of(idle_senders), [](const auto& at) { return many_fields(at.path); });
}

void crowd_fixture::pipelined_requests_with_unread_responses_are_bounded() {
    constexpr std::size_t requests = 2'000;
    check(of(body_senders, 0, requests), [](const auto& at) { return short_request(at.path); });
}

void crowd_fixture::slow_senders_leave_descriptors_for_others() {
    check(of(idle_senders, 1),
          [](const auto& at) { return at.of_peers ? part_of_frame() : many_fields(at.path); });
}

void crowd_fixture::half_way_stops_leave_descriptors_for_others() {
    constexpr std::size_t part_bytes = 1'000;
    check(of(idle_senders), [](const auto& at) {
        return at.of_peers ? part_of_frame() : many_fields(at.path).substr(0, part_bytes);
    });
}

int crowd_fixture::status_of(const std::string& address, const std::string& method,
                             const std::string& path, net::http_headers headers,
                             std::string body) const {
    net::http_request request;
    request.method = method;
    request.target = path;
    request.headers = std::move(headers);
    request.body = std::move(body);
    constexpr milliseconds timeout{10'000};
    const auto response = context_->run(client_->request(address, request, timeout, false));
    return response ? response.value().status : 0;
}

void crowd_fixture::wait_until(const std::string& what,
                               const std::function<bool()>& condition) const {
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        if (condition()) {
            return;
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    CPPUNIT_FAIL(what + "\n" + process().log());
}

/// Sends the text of each target on as many connections as `each` says, and checks the process.
void crowd_fixture::check(const crowd_plan& each, const text_maker& text) {
    crowd callers;
    for (const auto& target : targets()) {
        auto plan = each;
        plan.address = target.address;
        plan.text = text(target);
        callers.join(plan);
    }
    constexpr milliseconds longest{1'200};
    std::size_t descriptors_used = 0;
    callers.send(longest, [&] {
        descriptors_used = std::max(descriptors_used, process().open_descriptors());
    });
    CPPUNIT_ASSERT_MESSAGE("the process has ended\n" + process().log(), process().alive());
    const auto peak = process().peak_memory_mb();
    const auto measured = fmt::format("{} MB, {} descriptors", peak, descriptors_used);
    CPPUNIT_ASSERT_MESSAGE(measured, peak > 0 && peak <= memory_mb);
    CPPUNIT_ASSERT_MESSAGE(measured, descriptors_used <= descriptors);
    check_ordinary_requests();
}

} // namespace dragonflystair::untrusted
