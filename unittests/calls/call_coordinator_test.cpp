#include "dragonflystair/calls/call_coordinator.h"

#include "ledger/simulated_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::calls;
using namespace std::chrono_literals;
using ledger::key_status;

constexpr ledger::session_id own = 4096;
constexpr ledger::session_id other = 8192;

support::time_point at(std::chrono::milliseconds since_start) {
    return support::time_point{1h + since_start};
}

class call_coordinator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_coordinator_test);
    CPPUNIT_TEST(call_whose_claim_wins_is_dispatched_once);
    CPPUNIT_TEST(call_answered_late_keeps_large_body_out_of_log);
    CPPUNIT_TEST(call_refused_by_endpoint_frees_key);
    CPPUNIT_TEST(call_without_answer_is_unknown_and_keeps_key);
    CPPUNIT_TEST(call_without_answer_is_completed_by_lookup);
    CPPUNIT_TEST(claim_not_read_back_is_not_run_and_abandoned_later);
    CPPUNIT_TEST(claim_read_back_after_its_deadline_is_not_dispatched);
    CPPUNIT_TEST(claim_after_session_expired_is_not_dispatched);
    CPPUNIT_TEST(claim_of_previous_session_is_abandoned);
    CPPUNIT_TEST(claim_read_back_without_lease_waits_for_lease);
    CPPUNIT_TEST(call_without_lease_is_refused_without_claim);
    CPPUNIT_TEST(call_whose_claim_lost_waits_for_outcome_of_winner);
    CPPUNIT_TEST(call_whose_claim_lost_to_dead_session_is_unknown);
    CPPUNIT_TEST(call_whose_claim_lost_to_other_digest_is_conflict);
    CPPUNIT_TEST(call_that_waits_until_deadline_is_unknown);
    CPPUNIT_TEST(call_that_waits_for_abandoned_claim_claims_again);
    CPPUNIT_TEST(retry_after_orphaned_claim_runs_once);
    CPPUNIT_TEST(repeated_call_of_completed_key_gets_first_result);
    CPPUNIT_TEST(call_with_unprintable_key_is_refused);
    CPPUNIT_TEST_SUITE_END();

    ledger::simulated_log log_;
    ledger::claim_fold fold_;
    std::vector<ledger::record> queued_;
    std::set<ledger::session_id> live_sessions_;
    bool lease_held_ = true;
    std::unique_ptr<call_coordinator> calls_;

    call_step begin(call_coordinator::call_number call, std::chrono::milliseconds now = 0s,
                    std::string_view digest = "d") {
        return calls_->begin(call, "k", digest, fold_, at(now), at(now + 1s), at(now + 10s));
    }

    /// Appends the records that the coordinator has queued, reads them back and returns the steps.
    auto read_back(std::chrono::milliseconds now = 0s) {
        for (const auto& item : std::exchange(queued_, {})) {
            log_.append(item);
        }
        log_.feed(fold_);
        return calls_->on_folded(fold_, at(now));
    }

    auto append_foreign(const ledger::record& item, std::chrono::milliseconds now = 0s) {
        const auto position = log_.append(item);
        log_.feed(fold_);
        return std::pair{position, calls_->on_folded(fold_, at(now))};
    }

    static void assert_answer(const call_step& step, call_outcome outcome,
                              const std::string& reason) {
        CPPUNIT_ASSERT(step.answer && !step.dispatch);
        CPPUNIT_ASSERT_EQUAL(reason, step.answer->reason);
        CPPUNIT_ASSERT(step.answer->outcome == outcome);
    }

    template <class Steps>
    static void assert_only(const Steps& steps, call_outcome outcome, const std::string& reason) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, steps.size());
        assert_answer(steps[0].second, outcome, reason);
    }

    void begin_and_dispatch(call_coordinator::call_number call) {
        CPPUNIT_ASSERT(!begin(call).answer);
        const auto steps = read_back();
        CPPUNIT_ASSERT(steps.size() == 1 && steps[0].first == call && steps[0].second.dispatch);
    }

    key_status status() { return fold_.find("k")->status; }

public:
    void setUp() override {
        log_ = {};
        fold_ = {};
        queued_.clear();
        live_sessions_ = {own, other};
        lease_held_ = true;
        calls_ = std::make_unique<call_coordinator>(
            own,
            call_coordinator::hooks{
                [this](ledger::record item) { queued_.push_back(std::move(item)); },
                [this] { return lease_held_; },
                [this](ledger::session_id session) { return live_sessions_.contains(session); }});
    }

    void call_whose_claim_wins_is_dispatched_once() {
        begin_and_dispatch(1);
        CPPUNIT_ASSERT(read_back().empty());
        CPPUNIT_ASSERT(calls_->on_tick(fold_, at(9s)).empty());
        const auto step = calls_->on_answer(1, 201, "text/plain", "stamp 7");
        assert_answer(step, call_outcome::completed, "");
        CPPUNIT_ASSERT_EQUAL(std::string("stamp 7"), step.answer->result->body);
        CPPUNIT_ASSERT(!calls_->on_answer(1, 201, "", "").answer);
        read_back();
        CPPUNIT_ASSERT(status() == key_status::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls_->open_calls());
    }

    void call_answered_late_keeps_large_body_out_of_log() {
        begin_and_dispatch(1);
        const std::string body(call_coordinator::max_body_bytes + 1, 'x');
        const auto step = calls_->on_answer(1, 200, "text/\xff", body);
        CPPUNIT_ASSERT_EQUAL(body, step.answer->result->body);
        read_back();
        CPPUNIT_ASSERT(fold_.find("k")->outcome->body_dropped);
        CPPUNIT_ASSERT(fold_.find("k")->outcome->body.empty());
    }

    void call_refused_by_endpoint_frees_key() {
        begin_and_dispatch(1);
        assert_answer(calls_->on_refused(1), call_outcome::not_run, "endpoint_refused");
        read_back();
        CPPUNIT_ASSERT(status() == key_status::not_run);
        begin_and_dispatch(2);
    }

    void call_without_answer_is_unknown_and_keeps_key() {
        begin_and_dispatch(1);
        assert_answer(calls_->on_no_answer(1), call_outcome::unknown, "no_answer");
        CPPUNIT_ASSERT(!calls_->on_refused(1).answer);
        read_back();
        CPPUNIT_ASSERT(status() == key_status::claimed);
        assert_answer(begin(2), call_outcome::unknown, "no_answer");
    }

    void call_without_answer_is_completed_by_lookup() {
        begin_and_dispatch(1);
        calls_->on_no_answer(1);
        calls_->on_tick(fold_, at(39s));
        assert_answer(calls_->on_lookup_found(1, 200, "", "found"), call_outcome::completed, "");
        read_back();
        CPPUNIT_ASSERT_EQUAL(std::string("found"), fold_.find("k")->outcome->body);
    }

    void claim_not_read_back_is_not_run_and_abandoned_later() {
        begin(1);
        CPPUNIT_ASSERT(calls_->on_tick(fold_, at(999ms)).empty());
        assert_only(calls_->on_tick(fold_, at(1s)), call_outcome::not_run, "claim_not_read_back");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls_->orphaned_claims());
        CPPUNIT_ASSERT(read_back(2s).empty());
        CPPUNIT_ASSERT(status() == key_status::claimed);
        read_back(2s);
        CPPUNIT_ASSERT(status() == key_status::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls_->orphaned_claims());
    }

    /// Guards against a node that was paused and then dispatches a request whose caller no longer
    /// waits.
    void claim_read_back_after_its_deadline_is_not_dispatched() {
        begin(1);
        assert_only(read_back(60s), call_outcome::not_run, "claim_too_late");
        read_back(60s);
        CPPUNIT_ASSERT(status() == key_status::not_run);
    }

    void claim_after_session_expired_is_not_dispatched() {
        begin(1);
        live_sessions_.erase(own);
        assert_only(read_back(), call_outcome::not_run, "session_lost");
        read_back();
        CPPUNIT_ASSERT(status() == key_status::not_run);
    }

    void claim_of_previous_session_is_abandoned() {
        begin(1);
        live_sessions_ = {other};
        calls_->set_session(other);
        assert_only(read_back(), call_outcome::not_run, "session_lost");
        // The call waits for this node's abandon record instead of answering `unknown`.
        CPPUNIT_ASSERT(!begin(2).answer);
        read_back();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read_back().size());
        CPPUNIT_ASSERT_EQUAL(other, fold_.find("k")->session);
    }

    void claim_read_back_without_lease_waits_for_lease() {
        begin(1);
        lease_held_ = false;
        CPPUNIT_ASSERT(read_back().empty());
        lease_held_ = true;
        const auto steps = calls_->on_tick(fold_, at(500ms));
        CPPUNIT_ASSERT(steps.size() == 1 && steps[0].second.dispatch);
        CPPUNIT_ASSERT(calls_->on_tick(fold_, at(600ms)).empty());
    }

    void call_without_lease_is_refused_without_claim() {
        lease_held_ = false;
        assert_answer(begin(1), call_outcome::not_run, "lease_not_held");
        CPPUNIT_ASSERT(queued_.empty());
    }

    void call_whose_claim_lost_waits_for_outcome_of_winner() {
        begin(1);
        const auto [claim, none] = append_foreign(ledger::key_claim{"k", "d", other, 1});
        CPPUNIT_ASSERT(none.empty() && read_back().empty());
        const ledger::key_outcome outcome{"k", claim, 200, "", "winner's", false};
        const auto [outcome_position, steps] = append_foreign(outcome, 5s);
        assert_only(steps, call_outcome::completed, "");
        CPPUNIT_ASSERT_EQUAL(std::string("winner's"), steps[0].second.answer->result->body);
    }

    void call_whose_claim_lost_to_dead_session_is_unknown() {
        append_foreign(ledger::key_claim{"k", "d", other, 1});
        CPPUNIT_ASSERT(!begin(1).answer);
        live_sessions_.erase(other);
        assert_only(calls_->on_tick(fold_, at(1s)), call_outcome::unknown, "claimant_lost");
        CPPUNIT_ASSERT(queued_.empty());
        assert_answer(calls_->on_lookup_found(1, 200, "", "found"), call_outcome::completed, "");
        read_back();
        CPPUNIT_ASSERT(status() == key_status::completed);
    }

    void call_whose_claim_lost_to_other_digest_is_conflict() {
        begin(1);
        append_foreign(ledger::key_claim{"k", "other body", other, 1});
        assert_only(read_back(), call_outcome::unknown, "key_conflict");
        assert_answer(begin(2), call_outcome::unknown, "key_conflict");
        CPPUNIT_ASSERT(!calls_->on_lookup_found(2, 200, "", "").answer);
    }

    void call_that_waits_until_deadline_is_unknown() {
        append_foreign(ledger::key_claim{"k", "d", other, 1});
        begin(1);
        CPPUNIT_ASSERT(calls_->on_tick(fold_, at(9'999ms)).empty());
        assert_only(calls_->on_tick(fold_, at(10s)), call_outcome::unknown, "deadline");
    }

    void call_that_waits_for_abandoned_claim_claims_again() {
        const auto [claim, none] = append_foreign(ledger::key_claim{"k", "d", other, 1});
        begin(1);
        append_foreign(ledger::key_abandon{"k", claim}, 5s);
        const auto steps = read_back(5'500ms);
        CPPUNIT_ASSERT(steps.size() == 1 && steps[0].second.dispatch);
    }

    /// Guards against taking the late claim of a first attempt for the claim of its retry.
    void retry_after_orphaned_claim_runs_once() {
        begin(1);
        calls_->on_tick(fold_, at(1s));
        begin(2, 1s);
        CPPUNIT_ASSERT(read_back(1s).empty());
        CPPUNIT_ASSERT(read_back(1s).empty());
        const auto steps = read_back(1s);
        CPPUNIT_ASSERT(steps.size() == 1 && steps[0].first == 2 && steps[0].second.dispatch);
    }

    void repeated_call_of_completed_key_gets_first_result() {
        begin_and_dispatch(1);
        calls_->on_answer(1, 200, "", "first");
        read_back();
        lease_held_ = false;
        const auto step = begin(2);
        assert_answer(step, call_outcome::completed, "");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), step.answer->result->body);
    }

    void call_with_unprintable_key_is_refused() {
        for (const auto& key : {std::string(), std::string("\xff"), std::string(256, 'k')}) {
            assert_answer(calls_->begin(1, key, "d", fold_, at(0s), at(1s), at(10s)),
                          call_outcome::not_run, "bad_key");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls_->open_calls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_coordinator_test);

} // namespace
