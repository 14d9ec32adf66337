#include "dragonflystair/membership/endpoint_view.h"
#include "dragonflystair/membership/grant_planner.h"
#include "dragonflystair/membership/lease_keeper.h"
#include "dragonflystair/membership/node_lifecycle.h"
#include "dragonflystair/membership/session_watch.h"

#include "ledger/simulated_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::membership;
using namespace std::chrono_literals;

support::time_point at(std::chrono::milliseconds since_start) {
    return support::time_point{1h + since_start};
}

class lease_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lease_test);
    CPPUNIT_TEST(lease_confirmed_late_counts_from_sending);
    CPPUNIT_TEST(lease_with_several_renewals_in_flight_counts_from_the_confirmed_one);
    CPPUNIT_TEST(lease_of_ended_session_is_never_valid_again);
    CPPUNIT_TEST(unconfirmed_renewal_is_due_again_after_period);
    CPPUNIT_TEST(session_without_renewal_is_overdue_after_lease_and_margin);
    CPPUNIT_TEST(session_while_log_is_unreachable_is_not_overdue);
    CPPUNIT_TEST_SUITE_END();

public:
    void lease_confirmed_late_counts_from_sending() {
        lease_keeper keeper{{}};
        CPPUNIT_ASSERT(!keeper.renewal_due(at(0s)));
        keeper.on_sending(at(0s));
        CPPUNIT_ASSERT(!keeper.is_valid(at(0s)));
        keeper.on_renewals_confirmed(1);
        CPPUNIT_ASSERT(keeper.is_valid(at(9'999ms)));
        CPPUNIT_ASSERT(!keeper.is_valid(at(10s)));
    }

    /// Guards against a lease that counts an early renewal from the time of a later one.
    void lease_with_several_renewals_in_flight_counts_from_the_confirmed_one() {
        lease_keeper keeper{{}};
        for (const auto sent : {0s, 2s, 4s}) {
            keeper.on_sending(at(sent));
        }
        keeper.on_renewals_confirmed(2);
        CPPUNIT_ASSERT(keeper.ends_at() == at(12s));
        keeper.on_renewals_confirmed(2);
        CPPUNIT_ASSERT(keeper.ends_at() == at(12s));
        keeper.on_sending(at(6s));
        keeper.on_renewals_confirmed(3);
        CPPUNIT_ASSERT(keeper.ends_at() == at(14s));
    }

    void lease_of_ended_session_is_never_valid_again() {
        lease_keeper keeper{{}};
        keeper.on_sending(at(0s));
        keeper.on_session_ended();
        keeper.on_renewals_confirmed(1);
        CPPUNIT_ASSERT(!keeper.is_valid(at(1s)) && !keeper.renewal_due(at(5s)));
    }

    void unconfirmed_renewal_is_due_again_after_period() {
        lease_keeper keeper{{}};
        keeper.on_sending(at(0s));
        CPPUNIT_ASSERT(!keeper.renewal_due(at(1'999ms)));
        CPPUNIT_ASSERT(keeper.renewal_due(at(2s)));
        keeper.on_sending(at(2s));
        CPPUNIT_ASSERT(!keeper.renewal_due(at(3s)));
    }

    void session_without_renewal_is_overdue_after_lease_and_margin() {
        ledger::simulated_log log;
        const auto session = log.append(ledger::open_of("n"));
        session_watch watch{{}};
        watch.observe(log.read<ledger::member_fold>(), at(0s));
        const auto renewal = log.append(ledger::session_renew{{session}});
        watch.observe(log.read<ledger::member_fold>(), at(5s));
        watch.observe(log.read<ledger::member_fold>(), at(9s));
        CPPUNIT_ASSERT(watch.overdue(at(16'999ms)).empty());
        const std::vector<ledger::session_expire> expected{{session, renewal}};
        CPPUNIT_ASSERT(watch.overdue(at(17s)) == expected);
        log.append(expected.front());
        watch.observe(log.read<ledger::member_fold>(), at(18s));
        CPPUNIT_ASSERT(watch.overdue(at(60s)).empty());
    }

    /// Guards against expiring sessions whose renewals could not be read.
    void session_while_log_is_unreachable_is_not_overdue() {
        ledger::simulated_log log;
        log.append(ledger::open_of("n"));
        session_watch watch{{}};
        watch.observe(log.read<ledger::member_fold>(), at(0s));
        watch.on_log_unreachable();
        CPPUNIT_ASSERT(watch.overdue(at(60s)).empty());
        watch.observe(log.read<ledger::member_fold>(), at(60s));
        CPPUNIT_ASSERT(watch.overdue(at(71s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch.overdue(at(72s)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_test);

class grant_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(grant_planner_test);
    CPPUNIT_TEST(preference_prefers_data_centre_then_region);
    CPPUNIT_TEST(preference_without_session_in_region_uses_other_regions);
    CPPUNIT_TEST(unowned_endpoint_is_claimed_in_order_of_rank);
    CPPUNIT_TEST(owned_endpoint_is_not_claimed);
    CPPUNIT_TEST(released_endpoint_goes_to_named_successor_first);
    CPPUNIT_TEST_SUITE_END();

    ledger::simulated_log log_;
    ownable_resource endpoint_{"e", "north", "a"};

    std::vector<ledger::grant> plan(grant_planner& planner, ledger::session_id own,
                                    support::time_point now) {
        return planner.plan(log_.read<ledger::member_fold>(), {&endpoint_, 1}, own, now);
    }

public:
    void setUp() override { log_ = {}; }

    void preference_prefers_data_centre_then_region() {
        log_.append(ledger::open_of("far", "south", "c"));
        const auto region = log_.append(ledger::open_of("region", "north", "b"));
        const auto in_data_centre1 = log_.append(ledger::open_of("near1"));
        const auto in_data_centre2 = log_.append(ledger::open_of("near2"));
        const auto members = log_.read<ledger::member_fold>();
        const auto order = grant_planner::preference(members, endpoint_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, order.size());
        CPPUNIT_ASSERT_EQUAL(region, order[2]);
        CPPUNIT_ASSERT(std::set<ledger::session_id>(order.begin(), order.begin() + 2) ==
                       (std::set<ledger::session_id>{in_data_centre1, in_data_centre2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             grant_planner::preference(members, {"store", "", ""}).size());
    }

    void preference_without_session_in_region_uses_other_regions() {
        const auto far = log_.append(ledger::open_of("far", "south", "c"));
        CPPUNIT_ASSERT(grant_planner::preference(log_.read<ledger::member_fold>(), endpoint_) ==
                       std::vector<ledger::session_id>{far});
    }

    void unowned_endpoint_is_claimed_in_order_of_rank() {
        log_.append(ledger::open_of("n1"));
        log_.append(ledger::open_of("n2"));
        const auto order = grant_planner::preference(log_.read<ledger::member_fold>(), endpoint_);
        grant_planner first;
        grant_planner second;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan(first, order[0], at(0s)).size());
        CPPUNIT_ASSERT(plan(first, order[0], at(999ms)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan(first, order[0], at(1s)).size());
        CPPUNIT_ASSERT(plan(second, order[1], at(0s)).empty());
        CPPUNIT_ASSERT(plan(second, order[1], at(999ms)).empty());
        CPPUNIT_ASSERT(plan(second, order[1], at(1s)) ==
                       std::vector<ledger::grant>({{"e", order[1]}}));
    }

    void owned_endpoint_is_not_claimed() {
        const auto session = log_.append(ledger::open_of("n1"));
        log_.append(ledger::grant{"e", session});
        grant_planner planner;
        CPPUNIT_ASSERT(plan(planner, session, at(0s)).empty());
        log_.append(ledger::session_close{session});
        CPPUNIT_ASSERT(plan(planner, session, at(60s)).empty());
    }

    void released_endpoint_goes_to_named_successor_first() {
        log_.append(ledger::open_of("n1"));
        log_.append(ledger::open_of("n2"));
        const auto order = grant_planner::preference(log_.read<ledger::member_fold>(), endpoint_);
        log_.append(ledger::grant{"e", order[0]});
        log_.append(ledger::release{"e", order[0], order[1]});
        grant_planner first;
        grant_planner second;
        CPPUNIT_ASSERT(plan(first, order[0], at(0s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan(second, order[1], at(0s)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan(first, order[0], at(1s)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(grant_planner_test);

class endpoint_view_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_view_test);
    CPPUNIT_TEST(endpoint_reported_leaving_once_stays_leaving);
    CPPUNIT_TEST(endpoint_absent_and_relisted_is_live);
    CPPUNIT_TEST(replaced_endpoint_ignores_stale_peer_reports);
    CPPUNIT_TEST(endpoint_listed_at_another_address_is_replaced);
    CPPUNIT_TEST(endpoint_of_unlisted_data_centre_is_leaving_until_next_deployment);
    CPPUNIT_TEST(endpoint_without_heartbeat_is_suspected_but_listed);
    CPPUNIT_TEST_SUITE_END();

    endpoint_view view_;

    void list_vm(bool leaving, support::time_point now) {
        const listed_vm vm{"vm", "127.0.0.1:1", "a", "s", leaving};
        view_.update_list({&vm, 1}, now);
    }

    endpoint_state state(support::time_point now) { return view_.find("vm", now)->state; }

public:
    void setUp() override { view_ = {}; }

    void endpoint_reported_leaving_once_stays_leaving() {
        list_vm(true, at(0s));
        list_vm(false, at(1s));
        CPPUNIT_ASSERT(state(at(1s)) == endpoint_state::leaving);
        view_ = {};
        list_vm(false, at(0s));
        view_.on_peer_reported_leaving("vm");
        view_.on_peer_reported_leaving("not-listed");
        list_vm(false, at(1s));
        CPPUNIT_ASSERT(state(at(1s)) == endpoint_state::leaving);
        CPPUNIT_ASSERT(view_.leaving() == std::vector<std::string>{"vm"});
    }

    void endpoint_absent_and_relisted_is_live() {
        list_vm(true, at(0s));
        view_.update_list({}, at(1s));
        CPPUNIT_ASSERT(state(at(1s)) == endpoint_state::gone);
        CPPUNIT_ASSERT(view_.all(at(1s)).empty() && view_.leaving().empty());
        list_vm(false, at(2s));
        CPPUNIT_ASSERT(state(at(2s)) == endpoint_state::live);
        view_.update_list({}, at(3s));
        view_.update_list({}, at(3s) + endpoint_view::gone_retention);
        CPPUNIT_ASSERT(!view_.find("vm", at(3s)));
    }

    /// Guards against peers that keep reporting a replaced VM as leaving to each other.
    void replaced_endpoint_ignores_stale_peer_reports() {
        list_vm(true, at(0s));
        view_.update_list({}, at(1s));
        view_.on_peer_reported_leaving("vm");
        list_vm(false, at(2s));
        view_.on_peer_reported_leaving("vm");
        CPPUNIT_ASSERT(state(at(2s)) == endpoint_state::live);
        list_vm(true, at(3s));
        CPPUNIT_ASSERT(state(at(3s)) == endpoint_state::leaving);
    }

    /// Guards against a VM that gets no work since the former VM of its id was leaving: it was
    /// replaced between two reads of the list.
    void endpoint_listed_at_another_address_is_replaced() {
        list_vm(true, at(0s));
        const listed_vm other{"vm", "127.0.0.1:2", "a", "s", false};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view_.update_list({&other, 1}, at(1s)).size());
        CPPUNIT_ASSERT(state(at(1s)) == endpoint_state::live);
        view_.on_peer_reported_leaving("vm");
        CPPUNIT_ASSERT(state(at(1s)) == endpoint_state::live);
        CPPUNIT_ASSERT(view_.update_list({&other, 1}, at(2s)).empty());
    }

    void endpoint_of_unlisted_data_centre_is_leaving_until_next_deployment() {
        list_vm(false, at(0s));
        view_.update_deployment({{"s", {"b"}}}, {{"a", "north"}});
        CPPUNIT_ASSERT(state(at(0s)) == endpoint_state::leaving);
        CPPUNIT_ASSERT(view_.leaving().empty());
        view_.update_deployment({{"s", {"a", "b"}}}, {{"a", "north"}});
        CPPUNIT_ASSERT(state(at(0s)) == endpoint_state::live);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), view_.of_service("s", at(0s))[0].region);
        CPPUNIT_ASSERT(view_.of_service("other", at(0s)).empty());
    }

    void endpoint_without_heartbeat_is_suspected_but_listed() {
        list_vm(false, at(0s));
        CPPUNIT_ASSERT(state(at(2'999ms)) == endpoint_state::live);
        CPPUNIT_ASSERT(state(at(3s)) == endpoint_state::suspected);
        view_.on_heartbeat("vm", at(3s));
        CPPUNIT_ASSERT(state(at(3s)) == endpoint_state::live);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view_.all(at(60s)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_view_test);

class node_lifecycle_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_lifecycle_test);
    CPPUNIT_TEST(node_through_full_lifecycle_reports_each_transition);
    CPPUNIT_TEST(node_while_isolated_accepts_no_callers);
    CPPUNIT_TEST(node_stopped_before_serving_drains);
    CPPUNIT_TEST_SUITE_END();

public:
    void node_through_full_lifecycle_reports_each_transition() {
        std::vector<std::string> changes;
        node_lifecycle node([&](auto from, auto to) {
            changes.push_back(std::string(from) + ">" + std::string(to));
        });
        CPPUNIT_ASSERT(!node.accepts_callers());
        node.on_drained();
        node.on_log_caught_up();
        CPPUNIT_ASSERT(node.accepts_callers());
        node.on_log_caught_up();
        node.on_stop_requested();
        CPPUNIT_ASSERT(node.draining() && !node.accepts_callers());
        node.on_isolated();
        node.on_reconnected();
        node.on_drained();
        node.on_stop_requested();
        CPPUNIT_ASSERT(changes == (std::vector<std::string>{"starting>serving", "serving>draining",
                                                            "draining>stopped"}));
    }

    void node_while_isolated_accepts_no_callers() {
        node_lifecycle node;
        node.on_log_caught_up();
        node.on_isolated();
        CPPUNIT_ASSERT(!node.accepts_callers());
        CPPUNIT_ASSERT(node.state_name() == "isolated");
        node.on_reconnected();
        CPPUNIT_ASSERT(node.accepts_callers());
        node.on_isolated();
        node.on_stop_requested();
        CPPUNIT_ASSERT(node.draining());
    }

    void node_stopped_before_serving_drains() {
        node_lifecycle node;
        node.on_isolated();
        CPPUNIT_ASSERT(node.state_name() == "starting");
        node.on_stop_requested();
        CPPUNIT_ASSERT(node.draining());
        node.on_drained();
        CPPUNIT_ASSERT(node.state_name() == "stopped");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_lifecycle_test);

} // namespace
