#include "dragonflystair/fleet/load_reports.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair::fleet;

/// A data centre whose reports arrive without delay.
class load_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_reports_test);
    CPPUNIT_TEST(nodes_without_a_lead_report_to_each_other);
    CPPUNIT_TEST(each_node_under_a_lead_counts_the_calls_of_all_others_once);
    CPPUNIT_TEST(frames_under_a_lead_grow_with_the_nodes);
    CPPUNIT_TEST(unchanged_loads_are_not_reported_again);
    CPPUNIT_TEST(change_from_no_lead_to_a_lead_leaves_nothing_counted_twice);
    CPPUNIT_TEST(two_concurrent_leads_do_not_count_each_others_calls_repeatedly);
    CPPUNIT_TEST(lost_node_is_removed_from_the_sums);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        nodes_.clear();
        leads_.clear();
        for (const std::string name : {"a", "b", "c", "d"}) {
            const auto calls = nodes_.size() + 1;
            nodes_[name].calls = calls;
        }
    }

    void nodes_without_a_lead_report_to_each_other() {
        exchange();
        assert_everyone_counts_all();
    }

    /// Replays the load that a lead is used for: many nodes with calls for one endpoint.
    void each_node_under_a_lead_counts_the_calls_of_all_others_once() {
        leads_ = {"b"};
        exchange();
        exchange();
        assert_everyone_counts_all();
        nodes_["d"].calls = 40;
        exchange();
        exchange();
        assert_everyone_counts_all();
    }

    void frames_under_a_lead_grow_with_the_nodes() {
        leads_ = {"b"};
        exchange();
        exchange();
        for (auto& [name, entry] : nodes_) {
            entry.calls += 5;
        }
        CPPUNIT_ASSERT_EQUAL(2 * (nodes_.size() - 1), exchange());
    }

    void unchanged_loads_are_not_reported_again() {
        leads_ = {"b"};
        exchange();
        exchange();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, exchange());
    }

    void change_from_no_lead_to_a_lead_leaves_nothing_counted_twice() {
        exchange();
        leads_ = {"c"};
        exchange();
        exchange();
        assert_everyone_counts_all();
        leads_.clear();
        exchange();
        exchange();
        assert_everyone_counts_all();
    }

    /// Replays a handover in which the old lead is not yet aware of the new one.
    void two_concurrent_leads_do_not_count_each_others_calls_repeatedly() {
        leads_ = {"a", "b", "c"};
        for (int round = 0; round < 20; ++round) {
            exchange();
        }
        for (const auto& [name, entry] : nodes_) {
            CPPUNIT_ASSERT(counted(entry) <= 3 * all_calls());
        }
        leads_ = {"c"};
        exchange();
        exchange();
        assert_everyone_counts_all();
    }

    void lost_node_is_removed_from_the_sums() {
        leads_ = {"b"};
        exchange();
        exchange();
        nodes_.erase("d");
        for (auto& [name, entry] : nodes_) {
            entry.reports.remove_peer("d");
            entry.received.erase("d");
        }
        exchange();
        assert_everyone_counts_all();
    }

private:
    struct node {
        load_reports reports;
        std::size_t calls = 0;                          ///< Own calls at the only endpoint.
        std::map<std::string, endpoint_loads> received; ///< By sender.
    };

    /// Lets every node send its due reports, in the order of names; returns the number of frames.
    std::size_t exchange() {
        std::size_t frames = 0;
        for (auto& [name, entry] : nodes_) {
            load_reports::audience audience;
            for (const auto& [peer, other] : nodes_) {
                if (peer != name) {
                    audience.peers.push_back(peer);
                }
            }
            for (const auto& lead : leads_) {
                audience.leads = audience.leads || lead == name;
                audience.lead = lead == name ? audience.lead : lead;
            }
            const endpoint_loads own{{"endpoint", {entry.calls, 10 * entry.calls}}};
            for (const auto& [receivers, report] : entry.reports.take_due(own, audience)) {
                for (const auto& receiver : receivers) {
                    ++frames;
                    nodes_.at(receiver).received[name] = report.loads;
                    nodes_.at(receiver).reports.on_report(name, report);
                }
            }
        }
        return frames;
    }

    [[nodiscard]] std::size_t all_calls() const {
        std::size_t calls = 0;
        for (const auto& [name, entry] : nodes_) {
            calls += entry.calls;
        }
        return calls;
    }

    /// Returns the calls that a node counts as in flight at the endpoint.
    static std::size_t counted(const node& entry) {
        std::size_t calls = entry.calls;
        for (const auto& [sender, loads] : entry.received) {
            const auto load = loads.find("endpoint");
            calls += load == loads.end() ? 0 : load->second.calls;
        }
        return calls;
    }

    void assert_everyone_counts_all() const {
        for (const auto& [name, entry] : nodes_) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, all_calls(), counted(entry));
        }
    }

    std::map<std::string, node> nodes_;
    std::vector<std::string> leads_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_reports_test);

} // namespace
