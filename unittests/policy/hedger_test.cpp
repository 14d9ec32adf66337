#include "dragonflystair/policy/hedger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::policy;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

/// Which requests get a second copy, and on which endpoint.
class hedger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hedger_test);
    CPPUNIT_TEST(stuck_request_goes_to_other_resident_endpoint);
    CPPUNIT_TEST(hedges_stay_within_two_percent);
    CPPUNIT_TEST(long_work_is_never_hedged);
    CPPUNIT_TEST(non_idempotent_request_is_never_hedged);
    CPPUNIT_TEST(crash_suspect_is_never_hedged);
    CPPUNIT_TEST(second_copy_is_not_sent_twice);
    CPPUNIT_TEST(tried_endpoint_is_never_chosen);
    CPPUNIT_TEST(endpoint_without_adapter_room_or_health_is_not_chosen);
    CPPUNIT_TEST(request_at_usual_pace_is_not_hedged);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        hedger_ = hedger(hedge_limits{});
        for (int i = 0; i < 1'000; ++i) {
            hedger_.on_request();
            hedger_.on_progress(false, milliseconds{40});
        }
    }

    void stuck_request_goes_to_other_resident_endpoint() {
        CPPUNIT_ASSERT_EQUAL(std::string("b"), decide(stuck()).value());
    }

    /// Guards against hedges that multiply an overload.
    void hedges_stay_within_two_percent() {
        hedger fresh(hedge_limits{});
        hedger_ = fresh;
        int sent = 0;
        for (int requests = 1; requests <= 1'000; ++requests) {
            hedger_.on_request();
            sent += decide(stuck()).has_value() ? 1 : 0;
            CPPUNIT_ASSERT(sent * 50 <= requests);
        }
        CPPUNIT_ASSERT_EQUAL(20, sent);
    }

    void long_work_is_never_hedged() {
        auto subject = stuck();
        subject.work = work_class::long_work;
        CPPUNIT_ASSERT(!decide(subject));
    }

    /// Guards against a call that takes effect twice.
    void non_idempotent_request_is_never_hedged() {
        auto subject = stuck();
        subject.idempotent = false;
        CPPUNIT_ASSERT(!decide(subject));
    }

    /// Guards against a request that crashes a second endpoint.
    void crash_suspect_is_never_hedged() {
        for (const auto state : {suspicion::suspect, suspicion::quarantined}) {
            auto subject = stuck();
            subject.suspected = state;
            CPPUNIT_ASSERT(!decide(subject));
        }
        auto alone = stuck();
        alone.isolated = true;
        CPPUNIT_ASSERT(!decide(alone));
    }

    void second_copy_is_not_sent_twice() {
        auto subject = stuck();
        subject.hedged = true;
        CPPUNIT_ASSERT(!decide(subject));
    }

    /// Guards against a second copy in the same slow batch.
    void tried_endpoint_is_never_chosen() {
        candidates_.pop_back();
        CPPUNIT_ASSERT(!decide(stuck()));
    }

    /// Guards against hedges that cause loads, lengthen queues or go to another slow endpoint.
    void endpoint_without_adapter_room_or_health_is_not_chosen() {
        candidates_[1].resident = false;
        CPPUNIT_ASSERT(!decide(stuck()));
        candidates_[1] = {.endpoint = "b", .resident = true, .running = 16};
        CPPUNIT_ASSERT(!decide(stuck()));
        candidates_[1] = {.endpoint = "b", .resident = true, .health = 0.1};
        CPPUNIT_ASSERT(!decide(stuck()));
    }

    /// Guards against a budget that is spent on requests that are not slow.
    void request_at_usual_pace_is_not_hedged() {
        auto subject = stuck();
        subject.progress = start - milliseconds{60};
        CPPUNIT_ASSERT(!decide(subject));
        subject.progress = start - milliseconds{120};
        CPPUNIT_ASSERT(decide(subject).has_value());
    }

private:
    [[nodiscard]] in_flight_request stuck() const {
        return {.adapter = "x",
                .idempotent = true,
                .started = true,
                .progress = start - milliseconds{400},
                .tried = tried_};
    }
    std::optional<std::string> decide(const in_flight_request& subject) {
        return hedger_.decide(subject, candidates_, start, random_);
    }

    std::vector<std::string> tried_{"a"};
    std::vector<route_candidate> candidates_{{.endpoint = "a", .resident = true},
                                             {.endpoint = "b", .resident = true}};
    hedger hedger_{hedge_limits{}};
    std::mt19937_64 random_{11}; // NOLINT(bugprone-random-generator-seed): runs are repeatable.
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedger_test);

} // namespace
