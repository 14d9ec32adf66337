#include "dragonflystair/policy/load_permits.h"

#include "scheduler_driver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::policy;
using namespace dragonflystair::policy::testing;

/// An answer that the simulated engine has not given yet.
struct pending_answer {
    enum class kind { load, unload, finish } type;
    std::string name;
    support::time_point due;
    bool former_run = false;
};

/// One endpoint, its engine and its permits under random events. Every order is checked against the
/// state of the simulated engine.
class random_run {
public:
    explicit random_run(unsigned seed) : random_(seed) { permits_.poll(at(now_)); }

    void run_steps(int steps) {
        for (int i = 0; i < steps; ++i) {
            now_ += milliseconds{random_below(20)};
            step();
            execute(scheduler_.poll(at(now_)));
            check_batch();
        }
        drain();
    }

    [[nodiscard]] std::size_t loads() const { return loads_; }
    [[nodiscard]] std::size_t finished() const { return finished_; }

private:
    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    bool one_in(std::uint64_t count) { return random_below(count) == 0; }
    std::string any_adapter() {
        return std::to_string(std::min(random_below(12), random_below(12)));
    }

    void step() {
        answer_due();
        grant();
        if (one_in(3)) {
            submit();
        }
        if (one_in(40)) {
            cancel();
        }
        if (one_in(300)) {
            orders_allowed_ = !orders_allowed_;
            scheduler_.allow_orders(orders_allowed_);
        }
        if (one_in(50)) {
            report();
        }
        if (one_in(1'000)) {
            restart();
        }
        if (one_in(100)) {
            scheduler_.prefetch(any_adapter(), 1, at(now_));
        }
    }

    void submit() {
        const auto id = "r" + std::to_string(++submitted_);
        const auto work = one_in(6) ? work_class::long_work : work_class::short_work;
        auto req = make_request(id, any_adapter(), work,
                                at(now_ + milliseconds{500 + random_below(8'000)}));
        req.isolated = one_in(60);
        isolated_[id] = req.isolated;
        long_[id] = work == work_class::long_work;
        adapters_[id] = req.adapter;
        if (!scheduler_.submit(std::move(req), at(now_))) {
            open_requests_.insert(id);
        }
    }

    void cancel() {
        if (open_requests_.empty()) {
            return;
        }
        auto it = open_requests_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_below(open_requests_.size())));
        const auto id = *it;
        if (scheduler_.cancel(id, at(now_))) {
            CPPUNIT_ASSERT(running_.contains(id));
            finish(id, finish_kind::cancelled);
            return;
        }
        CPPUNIT_ASSERT(!running_.contains(id));
        end(id);
    }

    /// Checks that every request ends exactly once.
    void end(const std::string& id) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open_requests_.erase(id));
    }

    void finish(const std::string& id, finish_kind how) {
        running_.erase(id);
        scheduler_.on_finished(id, how, 10, at(now_));
        ++finished_;
        end(id);
    }

    void grant() {
        for (const auto& permit : permits_.poll(at(now_))) {
            permit_numbers_[permit.adapter] = permit.number;
            scheduler_.on_permit(permit.adapter, true, at(now_));
        }
    }

    void return_permit(const std::string& adapter, bool failed) {
        const auto it = permit_numbers_.find(adapter);
        if (it != permit_numbers_.end()) {
            permits_.return_permit(it->second, failed, at(now_));
            permit_numbers_.erase(it);
        }
    }

    void answer_due() {
        for (std::size_t i = 0; i < pending_answers_.size();) {
            if (pending_answers_[i].due > at(now_)) {
                ++i;
                continue;
            }
            const auto item = pending_answers_[i];
            pending_answers_.erase(pending_answers_.begin() + static_cast<std::ptrdiff_t>(i));
            answer(item);
        }
    }

    void answer(const pending_answer& item) {
        if (item.type == pending_answer::kind::finish) {
            if (running_.contains(item.name)) {
                finish(item.name, finish_kind::done);
            }
            return;
        }
        if (item.type == pending_answer::kind::load) {
            const bool success = !item.former_run && !one_in(10);
            if (success) {
                resident_.insert(item.name);
            }
            ordered_.erase(item.name);
            return_permit(item.name, !success);
            scheduler_.on_load_done(item.name, success, at(now_));
            return;
        }
        if (!item.former_run) {
            resident_.erase(item.name);
        }
        ordered_.erase(item.name);
        const auto result = one_in(5) ? std::nullopt : std::optional(true);
        scheduler_.on_unload_done(item.name, result, at(now_));
    }

    void report() {
        engine_report item;
        item.start = std::to_string(run_);
        item.resident.assign(resident_.begin(), resident_.end());
        CPPUNIT_ASSERT(scheduler_.on_report(item, at(now_)).empty());
    }

    void restart() {
        ++run_;
        resident_.clear();
        for (auto& item : pending_answers_) {
            item.former_run = true;
        }
        engine_report item;
        item.start = std::to_string(run_);
        for (const auto& id : scheduler_.on_report(item, at(now_))) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running_.erase(id));
            end(id);
        }
        CPPUNIT_ASSERT(running_.empty());
    }

    void execute(const std::vector<scheduler_action>& all) {
        for (const auto& action : only<refuse_action>(all)) {
            CPPUNIT_ASSERT(!running_.contains(action.request));
            end(action.request);
        }
        for (const auto& action : only<dispatch_action>(all)) {
            CPPUNIT_ASSERT(resident_.contains(adapters_[action.request]));
            CPPUNIT_ASSERT(open_requests_.contains(action.request));
            CPPUNIT_ASSERT(running_.insert(action.request).second);
            schedule_answer(pending_answer::kind::finish, action.request,
                            milliseconds{50 + random_below(400)});
        }
        for (const auto& action : only<release_permit_action>(all)) {
            permits_.withdraw("e", action.adapter);
            return_permit(action.adapter, false);
        }
        for (const auto& action : only<request_permit_action>(all)) {
            permits_.request("e", action.adapter, action.urgency, at(now_));
        }
        order(all);
    }

    void order(const std::vector<scheduler_action>& all) {
        for (const auto& action : only<load_action>(all)) {
            CPPUNIT_ASSERT(orders_allowed_);
            CPPUNIT_ASSERT_MESSAGE("load without permit", permit_numbers_.contains(action.adapter));
            CPPUNIT_ASSERT_MESSAGE("second load", ordered_.insert(action.adapter).second);
            CPPUNIT_ASSERT(resident_.size() + loading() < slots);
            ++loads_;
            schedule_answer(pending_answer::kind::load, action.adapter,
                            milliseconds{100 + random_below(400)});
        }
        for (const auto& action : only<unload_action>(all)) {
            CPPUNIT_ASSERT(orders_allowed_);
            CPPUNIT_ASSERT(ordered_.insert(action.adapter).second);
            for (const auto& id : running_) {
                CPPUNIT_ASSERT_MESSAGE("pinned", adapters_[id] != action.adapter);
            }
            schedule_answer(pending_answer::kind::unload, action.adapter,
                            milliseconds{random_below(100)});
        }
    }

    [[nodiscard]] std::size_t loading() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(pending_answers_, [](const auto& item) {
                return item.type == pending_answer::kind::load && !item.former_run;
            }));
    }

    void schedule_answer(pending_answer::kind type, const std::string& name, milliseconds after) {
        pending_answers_.push_back({type, name, at(now_ + after)});
    }

    void check_batch() {
        const auto count = [&](auto& flags) {
            return std::ranges::count_if(running_, [&](const auto& id) { return flags[id]; });
        };
        CPPUNIT_ASSERT(running_.size() <= batch);
        CPPUNIT_ASSERT(count(long_) <= 2);
        CPPUNIT_ASSERT(count(isolated_) == 0 || running_.size() == 1);
    }

    /// Checks that all open requests end when no new ones arrive.
    void drain() {
        orders_allowed_ = true;
        scheduler_.allow_orders(true);
        for (int i = 0; i < 2'000 && !open_requests_.empty(); ++i) {
            now_ += milliseconds{20};
            answer_due();
            grant();
            if (i % 50 == 0) {
                report();
            }
            execute(scheduler_.poll(at(now_)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, open_requests_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler_.queued() + scheduler_.running());
    }

    static constexpr std::size_t slots = 4;
    static constexpr std::size_t batch = 6;

    std::mt19937_64 random_;
    milliseconds now_{0};
    endpoint_scheduler scheduler_{scheduler_limits{.slots = slots, .batch_limit = batch}};
    load_permits permits_{store_limits{}, at(milliseconds{-5'000})};
    std::set<std::string> open_requests_;
    std::set<std::string> running_;
    std::set<std::string> resident_;
    std::set<std::string> ordered_; ///< Adapters with an unanswered order.
    std::map<std::string, std::uint64_t> permit_numbers_;
    std::map<std::string, std::string> adapters_;
    std::map<std::string, bool> isolated_;
    std::map<std::string, bool> long_;
    std::vector<pending_answer> pending_answers_;
    std::size_t submitted_ = 0;
    std::size_t finished_ = 0;
    std::size_t loads_ = 0;
    int run_ = 1;
    bool orders_allowed_ = true;
};

class endpoint_random_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_random_test);
    CPPUNIT_TEST(random_events_keep_all_invariants);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against eviction of a pinned adapter, loads without a permit, duplicate loads,
    /// requests that run beside an isolated one, and requests that end never or twice.
    void random_events_keep_all_invariants() {
        for (const unsigned seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
            random_run run(seed);
            run.run_steps(6'000);
            CPPUNIT_ASSERT(run.finished() > 300);
            CPPUNIT_ASSERT(run.loads() > 50);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_random_test);

} // namespace
