#include "endpoint_directory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace dragonflystair;
using support::time_point;

class endpoint_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_directory_test);
    CPPUNIT_TEST(endpoint_with_slow_steps_loses_weight);
    CPPUNIT_TEST(endpoint_without_samples_keeps_weight_beside_fast_ones);
    CPPUNIT_TEST(leaving_endpoint_is_in_grace_for_three_seconds);
    CPPUNIT_TEST(replaced_vm_has_neither_load_nor_health_of_the_former_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        vms_ = {{"a", "127.0.0.1:1", "old", "assistant", false},
                {"b", "127.0.0.1:2", "new", "assistant", false},
                {"c", "127.0.0.1:3", "new", "assistant", false},
                {"d", "127.0.0.1:4", "new", "assistant", false}};
        directory_.update_deployment(deployment_in({"old", "new"}), now_);
        directory_.update_list(vms_, now_);
    }

    void endpoint_with_slow_steps_loses_weight() {
        sample_all(20ms, 200ms);
        CPPUNIT_ASSERT(weight("a") < 0.1);
        CPPUNIT_ASSERT(weight("b") > 0.9);
    }

    /// Guards against step times in seconds being used where multiples of the median step are
    /// expected: an endpoint without samples then appears much slower than all others.
    void endpoint_without_samples_keeps_weight_beside_fast_ones() {
        for (int round = 0; round < 50; ++round) {
            for (const auto* id : {"a", "b", "c"}) {
                directory_.on_latency(id, 20ms, now_);
            }
        }
        directory_.on_latency("d", 20ms, now_);
        CPPUNIT_ASSERT(weight("d") > 0.9);
        now_ += 30s;
        directory_.on_latency("a", 20ms, now_);
        CPPUNIT_ASSERT(weight("b") > 0.9);
    }

    /// Guards against new work for an endpoint of the old data centre after the grace period.
    void leaving_endpoint_is_in_grace_for_three_seconds() {
        CPPUNIT_ASSERT(!directory_.find("a", now_)->in_leaving_grace());
        directory_.update_deployment(deployment_in({"new"}), now_);
        CPPUNIT_ASSERT(directory_.find("a", now_ + 2s)->in_leaving_grace());
        directory_.update_list(vms_, now_ + 2s);
        CPPUNIT_ASSERT(!directory_.find("a", now_ + 3s)->in_leaving_grace());
        CPPUNIT_ASSERT(!directory_.find("b", now_)->in_leaving_grace());
    }

    /// Guards against requests for adapters that only the former VM of an id had.
    void replaced_vm_has_neither_load_nor_health_of_the_former_one() {
        sample_all(20ms, 200ms);
        policy::endpoint_load load;
        load.resident = {"assistant/a1@1"};
        directory_.on_report("a", "owner", load, now_);
        CPPUNIT_ASSERT(directory_.find("a", now_)->load.has_value());
        vms_[0].address = "127.0.0.1:9";
        directory_.update_list(vms_, now_);
        CPPUNIT_ASSERT(!directory_.find("a", now_)->load);
        CPPUNIT_ASSERT(weight("a") > 0.9);
    }

private:
    static config::deployment deployment_in(std::vector<std::string> data_centres) {
        config::deployment result;
        result.region_by_data_centre = {{"old", "north"}, {"new", "north"}};
        config::service service;
        service.name = "assistant";
        service.data_centres = std::move(data_centres);
        result.services["assistant"] = service;
        return result;
    }
    void sample_all(support::duration usual, support::duration slow) {
        for (int round = 0; round < 50; ++round) {
            for (const auto* id : {"b", "c", "d"}) {
                directory_.on_latency(id, usual, now_);
            }
            directory_.on_latency("a", slow, now_);
        }
    }
    double weight(const std::string& id) { return directory_.find(id, now_)->health; }

    time_point now_{1000s};
    std::vector<membership::listed_vm> vms_;
    node::endpoint_directory directory_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_directory_test);

} // namespace
