#pragma once

#include "dragonflystair/net/http_client.h"

#include "crowd.h"
#include "net/test_context.h"
#include "observed_process.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonflystair::untrusted {

/// A listener of the process and a path there.
struct crowd_target {
    std::string address;
    std::string path;
    std::size_t legal_body_bytes = 0;
    bool of_peers = false; ///< Whether the listener takes frames of peers instead of HTTP.
};

/// A process on small limits, and crowds of callers that are not under our control, which come to
/// all targets at the same time. The tests guard against a process that ends, takes more memory or
/// descriptors than its machine has, or does not serve ordinary callers any more.
class crowd_fixture : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crowd_fixture);
    CPPUNIT_TEST(bodies_without_their_last_byte_are_bounded);
    CPPUNIT_TEST(bodies_in_small_pieces_are_bounded);
    CPPUNIT_TEST(bodies_in_chunks_are_bounded);
    CPPUNIT_TEST(chunked_bodies_far_over_the_limit_are_bounded);
    CPPUNIT_TEST(requests_of_many_short_fields_are_bounded);
    CPPUNIT_TEST(pipelined_requests_with_unread_responses_are_bounded);
    CPPUNIT_TEST(slow_senders_leave_descriptors_for_others);
    CPPUNIT_TEST(half_way_stops_leave_descriptors_for_others);
    CPPUNIT_TEST_SUITE_END_ABSTRACT();

public:
    void setUp() override;
    void tearDown() override;

    void bodies_without_their_last_byte_are_bounded();
    void bodies_in_small_pieces_are_bounded();
    void bodies_in_chunks_are_bounded();
    void chunked_bodies_far_over_the_limit_are_bounded();
    void requests_of_many_short_fields_are_bounded();
    void pipelined_requests_with_unread_responses_are_bounded();
    void slow_senders_leave_descriptors_for_others();
    void half_way_stops_leave_descriptors_for_others();

protected:
    [[nodiscard]] virtual const observed_process& process() const = 0;
    [[nodiscard]] virtual std::vector<crowd_target> targets() const = 0;
    /// Checks that ordinary callers are served.
    virtual void check_ordinary_requests() const = 0;

    /// Returns the status of the response, or 0 without one.
    [[nodiscard]] int status_of(const std::string& address, const std::string& method,
                                const std::string& path, net::http_headers headers,
                                std::string body = {}) const;

    /// Waits until the condition is true; fails if it does not become true.
    void wait_until(const std::string& what, const std::function<bool()>& condition) const;

    [[nodiscard]] net::test_context& context() const { return *context_; }
    /// Stops the context and closes the connections of `status_of`.
    void stop_context();

private:
    using text_maker = std::function<std::string(const crowd_target&)>;

    void check(const crowd_plan& each, const text_maker& text);

    std::unique_ptr<net::test_context> context_;
    std::unique_ptr<net::http_client> client_;
};

} // namespace dragonflystair::untrusted
