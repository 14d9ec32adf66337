#include "dragonflystair/membership/lease_keeper.h"
#include "dragonflystair/membership/session_watch.h"

#include "ledger/simulated_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::membership;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A VM with its own clock, which is paused at random and reads the log with random delays.
class simulated_vm {
public:
    simulated_vm(milliseconds offset, double rate) : offset_(offset), rate_(rate) {}

    [[nodiscard]] support::time_point clock(milliseconds true_time) const {
        return support::time_point{offset_ + milliseconds(std::int64_t(rate_ * true_time.count()))};
    }

    /// Returns true if the VM is not paused; occasionally starts a pause of up to 40 s.
    bool is_running(milliseconds true_time, std::mt19937_64& random) {
        if (true_time >= paused_until_ && random() % 1'500 == 0) {
            paused_until_ = true_time + milliseconds(random() % 40'000);
        }
        return true_time >= paused_until_;
    }

    /// Reads the stream if the previous read has completed; a read takes up to 8 s.
    bool try_read(const ledger::simulated_log& log, milliseconds true_time,
                  std::mt19937_64& random) {
        if (true_time < next_read_) {
            return false;
        }
        next_read_ =
            true_time + milliseconds(random() % 20 == 0 ? random() % 8'000 : random() % 30);
        log.feed(members);
        return true;
    }

    ledger::member_fold members;

private:
    milliseconds offset_;
    double rate_;
    milliseconds paused_until_{0};
    milliseconds next_read_{0};
};

/// One lease holder and one claimant that share a log with slow appends. The holder opens a new
/// session whenever its last one has ended.
class lease_race {
public:
    lease_race(std::uint64_t seed, double holder_rate, double claimant_rate)
        : random_(seed), holder_(milliseconds(random_() % 1'000'000), holder_rate),
          claimant_(milliseconds(random_() % 1'000'000), claimant_rate) {}

    /// Simulates ten minutes. Returns the number of takeovers by the claimant, or -1 if the lease
    /// of the holder was still valid after a takeover.
    int run() {
        open();
        for (now_ = 0ms; now_ < 600s; now_ += 10ms) {
            deliver();
            if (holder_.is_running(now_, random_)) {
                step_holder();
            }
            if (claimant_.is_running(now_, random_)) {
                step_claimant();
            }
            // Once the claimant may act on the end of the session, the holder must not, even if it
            // resumes at this moment and checks nothing but its clock.
            if (taken_over_ && keeper_.is_valid(holder_.clock(now_))) {
                return -1;
            }
        }
        return takeovers_;
    }

private:
    struct pending_append {
        milliseconds at;
        ledger::record body;
    };

    void open() {
        keeper_ = lease_keeper{{}};
        session_ = 0;
        send(ledger::open_of("holder"));
    }

    void send(const ledger::record& body) {
        keeper_.on_sending(holder_.clock(now_));
        const auto earliest = holder_appends_.empty() ? now_ : holder_appends_.back().at;
        const auto delay = milliseconds(random_() % 8 == 0 ? random_() % 20'000 : random_() % 20);
        holder_appends_.push_back({std::max(earliest, now_ + delay), body});
    }

    void deliver() {
        while (!holder_appends_.empty() && holder_appends_.front().at <= now_) {
            const auto& body = holder_appends_.front().body;
            const auto place = log_.append(body);
            if (std::holds_alternative<ledger::session_open>(body)) {
                opened_ = place;
                was_live_ = false;
                taken_over_ = false;
            }
            holder_appends_.pop_front();
        }
        std::erase_if(claimant_appends_, [&](const auto& append) {
            const bool arrived = append.at <= now_;
            if (arrived) {
                log_.append(append.body);
            }
            return arrived;
        });
    }

    void step_holder() {
        if (holder_.try_read(log_, now_, random_)) {
            session_ = holder_.members.session_of("holder").value_or(0);
            const bool open_was_read = holder_.members.next_offset() > ledger::offset_of(opened_);
            if (session_ != 0 && session_ == opened_) {
                keeper_.on_renewals_confirmed(holder_.members.sessions().at(session_).renewals);
            } else if (holder_appends_.empty() && open_was_read) {
                open();
            }
        }
        if (session_ != 0 && keeper_.renewal_due(holder_.clock(now_))) {
            send(ledger::session_renew{{session_}});
        }
    }

    void step_claimant() {
        if (claimant_.try_read(log_, now_, random_)) {
            watch_.observe(claimant_.members, claimant_.clock(now_));
            const bool is_live = claimant_.members.live(opened_);
            if (was_live_ && !is_live) {
                taken_over_ = true;
                ++takeovers_;
            }
            was_live_ = is_live;
        } else if (random_() % 5'000 == 0) {
            watch_.on_log_unreachable();
        }
        for (const auto& expiry : watch_.overdue(claimant_.clock(now_))) {
            const auto delay = milliseconds(random_() % 3 == 0 ? random_() % 3'000 : 0);
            claimant_appends_.push_back({now_ + delay, expiry});
        }
    }

    std::mt19937_64 random_;
    simulated_vm holder_;
    simulated_vm claimant_;
    ledger::simulated_log log_;
    lease_keeper keeper_{{}};
    session_watch watch_{{}};
    std::deque<pending_append> holder_appends_;
    std::vector<pending_append> claimant_appends_;
    ledger::session_id session_ = 0; ///< Live session as last read by the holder; 0 if none.
    ledger::position opened_ = 0;    ///< Position of the last open record in the log.
    milliseconds now_{0};
    bool was_live_ = false;
    bool taken_over_ = false;
    int takeovers_ = 0;
};

class lease_random_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lease_random_test);
    CPPUNIT_TEST(holder_with_any_pause_and_drift_never_acts_beside_next_holder);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two owners of an endpoint that both send load and unload commands: a holder
    /// that resumes after a pause or has a slow clock must not act after the next holder may.
    void holder_with_any_pause_and_drift_never_acts_beside_next_holder() {
        int takeovers = 0;
        for (std::uint64_t seed = 1; seed <= 80; ++seed) {
            for (const double drift : {0.0, 0.01}) {
                const int result = lease_race(seed, 1 - drift, 1 + drift).run();
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), result >= 0);
                takeovers += result;
            }
        }
        CPPUNIT_ASSERT(takeovers > 300);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_random_test);

} // namespace
