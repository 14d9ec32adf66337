#include "dragonflystair/calls/call_coordinator.h"
#include "dragonflystair/ledger/group_committer.h"
#include "dragonflystair/ledger/member_fold.h"

#include "ledger/simulated_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::calls;
using namespace std::chrono_literals;
using number = call_coordinator::call_number;

/// Actual events of a key, which no single node can observe.
struct key_history {
    int unrefused_dispatches = 0;
    int runs = 0;
    std::string result;
};

struct call_history {
    std::string key;
    bool dispatched = false;
    bool refused = false;
    bool answered = false;
};

struct simulation {
    explicit simulation(std::uint64_t seed) : random(seed) {}

    std::uint64_t below(std::uint64_t limit) { return random() % limit; }
    bool one_in(std::uint64_t chances) { return below(chances) == 0; }

    std::mt19937_64 random;
    support::time_point now{1h};
    ledger::simulated_log members;
    ledger::simulated_log claims;
    std::map<std::string, key_history> keys;
    std::map<number, call_history> calls;
    number last_call = 0;
    int incarnations = 0;
    std::vector<std::string> faults;
    std::map<call_outcome, int> outcomes;
};

/// One node. A restart loses all state except for what is in the log.
class writer {
public:
    explicit writer(simulation& shared) : simulation_(shared) { restart(); }

    void restart() {
        incarnation_ = "n" + std::to_string(++simulation_.incarnations);
        members_ = {};
        claims_ = {};
        committer_ = ledger::group_committer{3};
        requests_.clear();
        simulation_.members.append(ledger::open_of(incarnation_));
        coordinator_.reset();
        lease_held_ = true;
        read_members();
    }

    void act() {
        switch (simulation_.below(12)) {
        case 0:
        case 1:
            return begin();
        case 2:
            return read_members();
        case 3:
        case 4:
        case 5:
            return read_claims(simulation_.below(6));
        case 6:
            return apply(coordinator_->on_tick(claims_, simulation_.now));
        case 7:
        case 8:
            return append();
        case 9:
        case 10:
            return answer_request();
        default:
            lease_held_ = !lease_held_ || !simulation_.one_in(3);
        }
    }

    /// Stops injecting faults and lets every call reach its answer.
    void settle() {
        lease_held_ = true;
        for (int i = 0; i < 4; ++i) {
            append(false);
            read_members();
            read_claims(1'000'000);
            while (!requests_.empty()) {
                answer_request();
            }
            apply(coordinator_->on_tick(claims_, simulation_.now));
        }
    }

    /// Expires the session, possibly before the writer detects it.
    void expire() {
        const auto fold = simulation_.members.read<ledger::member_fold>();
        if (const auto id = fold.session_of(incarnation_)) {
            simulation_.members.append(
                ledger::session_expire{*id, fold.sessions().at(*id).last_renewal});
        }
    }

    void append_snapshot() { committer_.add(ledger::snapshot{claims_.state(), 0}); }

    /// Returns the state of the fold after it has read the whole log.
    support::json final_state() {
        simulation_.claims.feed(claims_);
        return claims_.state();
    }

    [[nodiscard]] std::size_t open_calls() const { return coordinator_->open_calls(); }

private:
    void read_members() {
        simulation_.members.feed(members_);
        auto session = members_.session_of(incarnation_);
        if (!session) {
            simulation_.members.append(ledger::open_of(incarnation_));
            simulation_.members.feed(members_);
            session = members_.session_of(incarnation_);
        }
        if (coordinator_) {
            coordinator_->set_session(*session);
            return;
        }
        coordinator_ = std::make_unique<call_coordinator>(
            *session, call_coordinator::hooks{
                          [this](ledger::record item) { committer_.add(std::move(item)); },
                          [this] { return lease_held_; },
                          [this](ledger::session_id id) { return members_.may_be_live(id); }});
    }

    void read_claims(std::size_t limit) {
        simulation_.claims.feed(claims_, limit);
        apply(coordinator_->on_folded(claims_, simulation_.now));
    }

    void begin() {
        const auto call = ++simulation_.last_call;
        const auto key =
            "k" + std::to_string(simulation_.below(5) + simulation_.last_call / 60 * 5);
        simulation_.calls[call].key = key;
        const auto* digest = simulation_.one_in(8) ? "d2" : "d1";
        apply({{call, coordinator_->begin(call, key, digest, claims_, simulation_.now,
                                          simulation_.now + 1s, simulation_.now + 5s)}});
    }

    /// Sends the next append: it is accepted, refused, or accepted with its answer lost. A copy of
    /// one whose answer was lost arrives again immediately, when the committer repeats it, or much
    /// later.
    void append(bool faulty = true) {
        if (faulty && !late_copies_.empty() && simulation_.one_in(4)) {
            const auto& [name, order] = late_copies_[simulation_.below(late_copies_.size())];
            simulation_.claims.append(name, order.sequence, order.payload);
        }
        while (const auto order = committer_.next()) {
            if (faulty && simulation_.one_in(3)) {
                committer_.on_failed();
                return;
            }
            simulation_.claims.append(incarnation_, order->sequence, order->payload);
            if (faulty && simulation_.one_in(3)) {
                committer_.on_failed();
                late_copies_.emplace_back(incarnation_, *order);
                return;
            }
            committer_.on_appended();
        }
    }

    /// The endpoint refuses the request, runs and answers it, or loses the answer with or without
    /// running it.
    void answer_request() {
        if (requests_.empty()) {
            return;
        }
        const auto call = requests_.back();
        requests_.pop_back();
        auto& history = simulation_.calls.at(call);
        auto& key = simulation_.keys[history.key];
        const auto behaviour = simulation_.below(5);
        if (behaviour == 0) {
            history.refused = true;
            --key.unrefused_dispatches;
            return apply({{call, coordinator_->on_refused(call)}});
        }
        if (behaviour == 1) {
            return apply({{call, coordinator_->on_no_answer(call)}});
        }
        ++key.runs;
        key.result = "result of call " + std::to_string(call);
        if (behaviour == 2) {
            apply({{call, coordinator_->on_no_answer(call)}});
            if (simulation_.one_in(2)) {
                coordinator_->on_lookup_found(call, 200, "", key.result);
            }
            return;
        }
        apply({{call, coordinator_->on_answer(call, 200, "", key.result)}});
    }

    void fault(number call, const std::string& description) {
        simulation_.faults.push_back(description + ", call " + std::to_string(call));
    }

    void apply(const std::vector<std::pair<number, call_step>>& steps) {
        for (const auto& [call, step] : steps) {
            if (step.dispatch) {
                dispatch(call);
            }
            if (step.answer) {
                check(call, *step.answer);
            }
        }
    }

    void dispatch(number call) {
        auto& history = simulation_.calls.at(call);
        if (history.dispatched || history.answered) {
            fault(call, "dispatched twice or after its answer");
        }
        history.dispatched = true;
        if (++simulation_.keys[history.key].unrefused_dispatches > 1) {
            fault(call, "key " + history.key + " dispatched twice");
        }
        requests_.push_back(call);
    }

    void check(number call, const call_answer& answer) {
        auto& history = simulation_.calls.at(call);
        ++simulation_.outcomes[answer.outcome];
        if (std::exchange(history.answered, true)) {
            fault(call, "answered twice");
        }
        if (answer.outcome == call_outcome::not_run && history.dispatched && !history.refused) {
            fault(call, "not_run after a dispatch that was not refused");
        }
        if (answer.outcome == call_outcome::completed &&
            answer.result->body != simulation_.keys[history.key].result) {
            fault(call, "completed with a result that is not the key's");
        }
    }

    simulation& simulation_;
    std::string incarnation_;
    ledger::member_fold members_;
    ledger::claim_fold claims_;
    ledger::group_committer committer_;
    std::unique_ptr<call_coordinator> coordinator_;
    std::vector<number> requests_;
    std::vector<std::pair<std::string, ledger::append_request>> late_copies_;
    bool lease_held_ = true;
};

class call_random_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_random_test);
    CPPUNIT_TEST(calls_under_any_interleaving_run_at_most_once);
    CPPUNIT_TEST_SUITE_END();

    static void run(simulation& shared) {
        std::vector<std::unique_ptr<writer>> writers;
        writers.reserve(4);
        for (int i = 0; i < 4; ++i) {
            writers.push_back(std::make_unique<writer>(shared));
        }
        std::size_t paused = 0;
        for (int step = 0; step < 3'000; ++step) {
            paused = shared.one_in(200) ? shared.below(writers.size()) : paused;
            const auto index = shared.below(writers.size());
            auto& chosen = *writers[index];
            shared.now += std::chrono::milliseconds(shared.one_in(300) ? 3'000 : shared.below(30));
            if (shared.one_in(150)) {
                chosen.expire();
            }
            if (index == paused) {
                continue;
            }
            if (shared.one_in(300)) {
                chosen.restart();
            } else if (shared.one_in(100)) {
                chosen.append_snapshot();
            } else {
                chosen.act();
            }
        }
        settle(shared, writers);
    }

    static void settle(simulation& shared, std::vector<std::unique_ptr<writer>>& writers) {
        for (int round = 0; round < 4; ++round) {
            shared.now += 6s;
            for (auto& item : writers) {
                item->settle();
            }
        }
        const auto full = shared.claims.read<ledger::claim_fold>().state();
        for (auto& item : writers) {
            if (item->open_calls() != 0) {
                shared.faults.emplace_back("a call was never answered");
            }
            if (item->final_state() != full) {
                shared.faults.emplace_back("two readers have different states");
            }
        }
        for (const auto& [key, history] : shared.keys) {
            if (history.runs > 1) {
                shared.faults.push_back("key " + key + " ran twice");
            }
        }
    }

public:
    /// Guards against a non-idempotent call (here the issue of a stamp) that runs twice, or that
    /// runs and is reported as not run.
    void calls_under_any_interleaving_run_at_most_once() {
        std::map<call_outcome, int> outcomes;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            simulation shared(seed);
            run(shared);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                       (shared.faults.empty() ? "" : shared.faults.front()),
                                   shared.faults.empty());
            for (const auto& [outcome, count] : shared.outcomes) {
                outcomes[outcome] += count;
            }
        }
        // All outcomes must occur often enough for the checks above to be significant.
        CPPUNIT_ASSERT(outcomes[call_outcome::completed] > 1'000);
        CPPUNIT_ASSERT(outcomes[call_outcome::not_run] > 1'000);
        CPPUNIT_ASSERT(outcomes[call_outcome::unknown] > 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_random_test);

} // namespace
