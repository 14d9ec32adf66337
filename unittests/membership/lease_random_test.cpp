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

/// A VM with a clock of its own, which is paused and reads the log late, at random.
class simulated_vm {
public:
    simulated_vm(milliseconds offset, double rate) : offset_(offset), rate_(rate) {}

    [[nodiscard]] support::time_point clock(milliseconds real) const {
        return support::time_point{offset_ + milliseconds(std::int64_t(rate_ * real.count()))};
    }

    /// True if it runs at this moment; sometimes starts a pause of up to 40 s.
    bool runs(milliseconds real, std::mt19937_64& random) {
        if (real >= paused_until_ && random() % 1'500 == 0) {
            paused_until_ = real + milliseconds(random() % 40'000);
        }
        return real >= paused_until_;
    }

    /// Reads the stream if its last read has been answered; each answer takes up to 8 s.
    bool reads(const ledger::simulated_log& log, milliseconds real, std::mt19937_64& random) {
        if (real < next_read_) {
            return false;
        }
        next_read_ = real + milliseconds(random() % 20 == 0 ? random() % 8'000 : random() % 30);
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

/// One holder and one claimant that share a log with slow appends. The holder opens a new session
/// whenever its last one has ended.
class race {
public:
    race(std::uint64_t seed, double holder_rate, double claimant_rate)
        : random_(seed), holder_(milliseconds(random_() % 1'000'000), holder_rate),
          claimant_(milliseconds(random_() % 1'000'000), claimant_rate) {}

    /// Runs ten minutes; returns how often the claimant took over, or -1 if two held at once.
    int run() {
        open();
        for (now_ = 0ms; now_ < 600s; now_ += 10ms) {
            deliver();
            if (holder_.runs(now_, random_)) {
                step_holder();
            }
            if (claimant_.runs(now_, random_)) {
                step_claimant();
            }
            // Once the claimant may act on the end of the session, the holder must not, even if it
            // wakes up right now and looks at nothing but its clock.
            if (taken_over_ && keeper_.is_valid(holder_.clock(now_))) {
                return -1;
            }
        }
        return takeovers_;
    }

private:
    struct under_way {
        milliseconds at;
        ledger::record item;
    };

    void open() {
        keeper_ = lease_keeper{{}};
        session_ = 0;
        send(ledger::open_of("holder"));
    }

    void send(const ledger::record& item) {
        keeper_.on_sending(holder_.clock(now_));
        const auto earliest = holder_appends_.empty() ? now_ : holder_appends_.back().at;
        const auto delay = milliseconds(random_() % 8 == 0 ? random_() % 20'000 : random_() % 20);
        holder_appends_.push_back({std::max(earliest, now_ + delay), item});
    }

    void deliver() {
        while (!holder_appends_.empty() && holder_appends_.front().at <= now_) {
            const auto& item = holder_appends_.front().item;
            const auto place = log_.append(item);
            if (std::holds_alternative<ledger::session_open>(item)) {
                opened_ = place;
                was_live_ = false;
                taken_over_ = false;
            }
            holder_appends_.pop_front();
        }
        std::erase_if(claimant_appends_, [&](const auto& waiting) {
            const bool arrived = waiting.at <= now_;
            if (arrived) {
                log_.append(waiting.item);
            }
            return arrived;
        });
    }

    void step_holder() {
        if (holder_.reads(log_, now_, random_)) {
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
        if (claimant_.reads(log_, now_, random_)) {
            watch_.observe(claimant_.members, claimant_.clock(now_));
            const bool lives = claimant_.members.live(opened_);
            if (was_live_ && !lives) {
                taken_over_ = true;
                ++takeovers_;
            }
            was_live_ = lives;
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
    std::deque<under_way> holder_appends_;
    std::vector<under_way> claimant_appends_;
    ledger::session_id session_ = 0; ///< As the holder knows it.
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
    /// Guards against two owners of an endpoint that both order loads and evictions.
    void holder_with_any_pause_and_drift_never_acts_beside_next_holder() {
        int takeovers = 0;
        for (std::uint64_t seed = 1; seed <= 80; ++seed) {
            for (const double drift : {0.0, 0.01}) {
                const int found = race(seed, 1 - drift, 1 + drift).run();
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), found >= 0);
                takeovers += found;
            }
        }
        CPPUNIT_ASSERT(takeovers > 300);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_random_test);

} // namespace
