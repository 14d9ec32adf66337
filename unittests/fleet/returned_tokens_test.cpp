#include "dragonflystair/fleet/quota_allocator.h"
#include "dragonflystair/fleet/quota_wallet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr double rate = 40'000;
constexpr double burst = 80'000;
constexpr support::time_point started{std::chrono::hours{1}};

std::vector<tenant> limits() {
    tenant result;
    result.name = "atlas";
    result.unit = quota_unit::requests; // No slack applies to them.
    result.rate_per_s = rate;
    result.burst = burst;
    return {result};
}

/// An allocator with two nodes. The first one returns tokens, the second one takes what there is.
class returned_tokens_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(returned_tokens_test);
    CPPUNIT_TEST(tokens_of_recent_request_are_granted_again);
    CPPUNIT_TEST(tokens_of_late_request_are_not_granted_again);
    CPPUNIT_TEST(new_allocator_takes_no_tokens_of_former_one);
    CPPUNIT_TEST(tokens_granted_twice_keep_the_bound);
    CPPUNIT_TEST(tokens_of_before_suspension_are_not_returned);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        allocator_ = quota_allocator{};
        stamp_ = 0;
        answered_ = 0;
        allocator_.configure(limits(), started);
        allocator_.set_nodes(2, started);
        allocator_.start(started);
    }

    // Guards against returned tokens that are lost.
    void tokens_of_recent_request_are_granted_again() {
        CPPUNIT_ASSERT_EQUAL(burst / 2, take("first", milliseconds{5'000}, burst / 2));
        take_all(milliseconds{5'050});
        return_tokens(milliseconds{5'300}, burst / 2);
        CPPUNIT_ASSERT(take_all(milliseconds{5'300}) >= burst / 2);
    }

    // Guards against a request that a suspended node of the network forwards seconds later: its
    // tokens would be granted in another window, in which the bucket has been refilled.
    void tokens_of_late_request_are_not_granted_again() {
        take("first", milliseconds{5'000}, burst / 2);
        take_all(milliseconds{7'950});
        return_tokens(milliseconds{8'000}, burst / 2);
        const auto refilled = take_all(milliseconds{8'000});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refilled), refilled <= rate / 10);
    }

    // Guards against tokens that a former allocator granted and that are returned to the next one.
    void new_allocator_takes_no_tokens_of_former_one() {
        take("first", milliseconds{1'500}, 1);
        take_all(milliseconds{2'000});
        return_tokens(milliseconds{2'050}, burst / 2);
        const auto refilled = take_all(milliseconds{2'050});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refilled), refilled <= rate / 10);
    }

    // Guards against tokens that a call took, and returned after 2 s since it was not run: the
    // bucket has been refilled and emptied again, and could be emptied twice in one window.
    void tokens_granted_twice_keep_the_bound() {
        take("first", milliseconds{6'550}, burst);
        take("first", milliseconds{8'450}, 1);
        double used = 0;
        for (milliseconds at{8'500}; at < milliseconds{16'500}; at += milliseconds{50}) {
            if (at == milliseconds{9'150}) {
                return_tokens(at, burst, quota_return_time);
            }
            used += take_all(at);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used >= rate * 8 + burst - rate / 10);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used <= (rate * 8 + burst) * 1.1);
    }

    // Guards against a node that returns, after its VM was suspended, tokens of long ago.
    void tokens_of_before_suspension_are_not_returned() {
        quota_wallet wallet;
        wallet.configure(limits());
        wallet.set_nodes(2);
        CPPUNIT_ASSERT(wallet.take("atlas", 1, 1, started) == quota_decision::waits);
        CPPUNIT_ASSERT(wallet.take_due_request(started));
        const std::array<quota_grant::row, 1> granted{{{"atlas", 100, milliseconds{0}}}};
        wallet.on_answer(granted, started, started);
        const auto request = wallet.take_due_request(started + std::chrono::seconds{10});
        CPPUNIT_ASSERT(request && !request->rows.empty());
        CPPUNIT_ASSERT_EQUAL(0.0, request->rows.front().returned);
    }

private:
    /// Returns what is granted to a node that asks for up to `wanted` tokens.
    double take(const std::string& node, milliseconds after, double wanted) {
        const auto now = started + after;
        allocator_.on_nodes_in_touch("north", 2, now);
        ++stamp_;
        if (node == "first") {
            answered_ = stamp_;
        }
        allocator_.request(node, {stamp_, 0, false, {{"atlas", wanted, wanted, 1, 0, 0}}}, now);
        for (const auto& grant : allocator_.take_grants(now)) {
            if (grant.node == node && !grant.rows.empty()) {
                return grant.rows.front().amount;
            }
        }
        return 0;
    }
    double take_all(milliseconds after) { return take("second", after, 10 * burst); }

    /// The first node returns tokens in a request that names its last answer.
    void return_tokens(milliseconds after, double tokens, milliseconds age = milliseconds{300}) {
        allocator_.request("first", {1'000, answered_, false, {{"atlas", 0, 0, 0, 0, tokens, age}}},
                           started + after);
    }

    quota_allocator allocator_;
    std::uint64_t stamp_ = 0;    ///< Of the last request.
    std::uint64_t answered_ = 0; ///< Of the last request of the first node, which was answered.
};

CPPUNIT_TEST_SUITE_REGISTRATION(returned_tokens_test);

} // namespace
