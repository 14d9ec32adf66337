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

/// What really happened to a key, as no node can see it.
struct key_truth {
    int unrefused_dispatches = 0;
    int runs = 0;
    std::string result;
};

struct call_truth {
    std::string key;
    bool dispatched = false;
    bool refused = false;
    bool answered = false;
};

struct world {
    explicit world(std::uint64_t seed) : random(seed) {}

    std::uint64_t below(std::uint64_t limit) { return random() % limit; }
    bool one_in(std::uint64_t chances) { return below(chances) == 0; }

    std::mt19937_64 random;
    support::time_point now{1h};
    ledger::simulated_log members;
    ledger::simulated_log claims;
    std::map<std::string, key_truth> keys;
    std::map<number, call_truth> calls;
    number last_call = 0;
    int incarnations = 0;
    std::vector<std::string> faults;
    std::map<call_outcome, int> outcomes;
};

/// One writer. A restart forgets everything but what is in the log.
class writer {
public:
    explicit writer(world& shared) : world_(shared) { restart(); }

    void restart() {
        incarnation_ = "n" + std::to_string(++world_.incarnations);
        members_ = {};
        claims_ = {};
        committer_ = ledger::group_committer{3};
        requests_.clear();
        world_.members.append(ledger::open_of(incarnation_));
        coordinator_.reset();
        lease_ = true;
        read_members();
    }

    void act() {
        switch (world_.below(12)) {
        case 0:
        case 1:
            return begin();
        case 2:
            return read_members();
        case 3:
        case 4:
        case 5:
            return read_claims(world_.below(6));
        case 6:
            return take(coordinator_->on_tick(claims_, world_.now));
        case 7:
        case 8:
            return append();
        case 9:
        case 10:
            return answer_request();
        default:
            lease_ = !lease_ || !world_.one_in(3);
        }
    }

    /// Ends all faults and lets every call come to its answer.
    void settle() {
        lease_ = true;
        for (int i = 0; i < 4; ++i) {
            append(false);
            read_members();
            read_claims(1'000'000);
            while (!requests_.empty()) {
                answer_request();
            }
            take(coordinator_->on_tick(claims_, world_.now));
        }
    }

    /// Ends the session while the writer may not know it yet.
    void expire() {
        const auto fold = world_.members.read<ledger::member_fold>();
        if (const auto id = fold.session_of(incarnation_)) {
            world_.members.append(
                ledger::session_expire{*id, fold.sessions().at(*id).last_renewal});
        }
    }

    void take_snapshot() { committer_.add(ledger::snapshot{claims_.state(), 0}); }

    /// State of the fold after it has read everything.
    support::json final_state() {
        world_.claims.feed(claims_);
        return claims_.state();
    }

    [[nodiscard]] std::size_t open_calls() const { return coordinator_->open_calls(); }

private:
    void read_members() {
        world_.members.feed(members_);
        auto session = members_.session_of(incarnation_);
        if (!session) {
            world_.members.append(ledger::open_of(incarnation_));
            world_.members.feed(members_);
            session = members_.session_of(incarnation_);
        }
        if (coordinator_) {
            coordinator_->set_session(*session);
            return;
        }
        coordinator_ = std::make_unique<call_coordinator>(
            *session, call_coordinator::hooks{
                          [this](ledger::record item) { committer_.add(std::move(item)); },
                          [this] { return lease_; },
                          [this](ledger::session_id id) { return members_.may_be_live(id); }});
    }

    void read_claims(std::size_t limit) {
        world_.claims.feed(claims_, limit);
        take(coordinator_->on_folded(claims_, world_.now));
    }

    void begin() {
        const auto call = ++world_.last_call;
        const auto key = "k" + std::to_string(world_.below(5) + world_.last_call / 60 * 5);
        world_.calls[call].key = key;
        const auto* digest = world_.one_in(8) ? "d2" : "d1";
        take({{call, coordinator_->begin(call, key, digest, claims_, world_.now, world_.now + 1s,
                                         world_.now + 5s)}});
    }

    /// Sends the next append: accepted, refused, or accepted with its answer lost. Copies of lost
    /// ones arrive again at once, when the committer repeats them, or long after.
    void append(bool faulty = true) {
        if (faulty && !late_copies_.empty() && world_.one_in(4)) {
            const auto& [name, order] = late_copies_[world_.below(late_copies_.size())];
            world_.claims.append(name, order.sequence, order.payload);
        }
        while (const auto order = committer_.next()) {
            if (faulty && world_.one_in(3)) {
                committer_.on_failed();
                return;
            }
            world_.claims.append(incarnation_, order->sequence, order->payload);
            if (faulty && world_.one_in(3)) {
                committer_.on_failed();
                late_copies_.emplace_back(incarnation_, *order);
                return;
            }
            committer_.on_appended();
        }
    }

    /// The endpoint refuses, runs and answers, or loses the answer with or without running it.
    void answer_request() {
        if (requests_.empty()) {
            return;
        }
        const auto call = requests_.back();
        requests_.pop_back();
        auto& truth = world_.calls.at(call);
        auto& key = world_.keys[truth.key];
        const auto way = world_.below(5);
        if (way == 0) {
            truth.refused = true;
            --key.unrefused_dispatches;
            return take({{call, coordinator_->on_refused(call)}});
        }
        if (way == 1) {
            return take({{call, coordinator_->on_no_answer(call)}});
        }
        ++key.runs;
        key.result = "result of call " + std::to_string(call);
        if (way == 2) {
            take({{call, coordinator_->on_no_answer(call)}});
            if (world_.one_in(2)) {
                coordinator_->on_lookup_found(call, 200, "", key.result);
            }
            return;
        }
        take({{call, coordinator_->on_answer(call, 200, "", key.result)}});
    }

    void fault(number call, const std::string& what) {
        world_.faults.push_back(what + ", call " + std::to_string(call));
    }

    void take(const std::vector<std::pair<number, call_step>>& steps) {
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
        auto& truth = world_.calls.at(call);
        if (truth.dispatched || truth.answered) {
            fault(call, "dispatched twice or after its answer");
        }
        truth.dispatched = true;
        if (++world_.keys[truth.key].unrefused_dispatches > 1) {
            fault(call, "key " + truth.key + " dispatched twice");
        }
        requests_.push_back(call);
    }

    void check(number call, const call_answer& answer) {
        auto& truth = world_.calls.at(call);
        ++world_.outcomes[answer.outcome];
        if (std::exchange(truth.answered, true)) {
            fault(call, "answered twice");
        }
        if (answer.outcome == call_outcome::not_run && truth.dispatched && !truth.refused) {
            fault(call, "not_run after a dispatch that was not refused");
        }
        if (answer.outcome == call_outcome::completed &&
            answer.result->body != world_.keys[truth.key].result) {
            fault(call, "completed with a result that is not the key's");
        }
    }

    world& world_;
    std::string incarnation_;
    ledger::member_fold members_;
    ledger::claim_fold claims_;
    ledger::group_committer committer_;
    std::unique_ptr<call_coordinator> coordinator_;
    std::vector<number> requests_;
    std::vector<std::pair<std::string, ledger::append_request>> late_copies_;
    bool lease_ = true;
};

class call_random_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_random_test);
    CPPUNIT_TEST(calls_under_any_interleaving_run_at_most_once);
    CPPUNIT_TEST_SUITE_END();

    static void run(world& shared) {
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
                chosen.take_snapshot();
            } else {
                chosen.act();
            }
        }
        settle(shared, writers);
    }

    static void settle(world& shared, std::vector<std::unique_ptr<writer>>& writers) {
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
        for (const auto& [key, truth] : shared.keys) {
            if (truth.runs > 1) {
                shared.faults.push_back("key " + key + " ran twice");
            }
        }
    }

public:
    /// Guards against a stamp that is issued twice, or that is issued and reported as not run.
    void calls_under_any_interleaving_run_at_most_once() {
        std::map<call_outcome, int> outcomes;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            world shared(seed);
            run(shared);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                       (shared.faults.empty() ? "" : shared.faults.front()),
                                   shared.faults.empty());
            for (const auto& [outcome, count] : shared.outcomes) {
                outcomes[outcome] += count;
            }
        }
        // All outcomes occur often enough for the checks above to mean something.
        CPPUNIT_ASSERT(outcomes[call_outcome::completed] > 1'000);
        CPPUNIT_ASSERT(outcomes[call_outcome::not_run] > 1'000);
        CPPUNIT_ASSERT(outcomes[call_outcome::unknown] > 1'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_random_test);

} // namespace
