#include "restored_store_fixture.h"

#include <algorithm>
#include <string>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

/// What the holder of a placement lease makes of a group that a restoration set back.
class restored_store_lease_test : public restored_store_fixture {
    CPPUNIT_TEST_SUITE(restored_store_lease_test);
    CPPUNIT_TEST(orders_of_a_lower_generation_after_restoration_are_accepted);
    CPPUNIT_TEST(fencing_number_of_generation_assigned_again_is_higher);
    CPPUNIT_TEST(holder_that_the_copy_does_not_name_sends_no_orders);
    CPPUNIT_TEST(holder_that_the_copy_names_keeps_the_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against adapters that are not loaded: engines have seen higher fencing numbers.
    void orders_of_a_lower_generation_after_restoration_are_accepted() {
        start();
        expect_order_accepted("first");
        restore_with_holder(first_term / 2, milliseconds{500});
        expect_order_of_next_term_has_higher_fence();
    }

    /// Guards against two terms with one fencing number (ONE).
    void fencing_number_of_generation_assigned_again_is_higher() {
        start();
        expect_order_accepted("first");
        restore_with_holder(first_term - 1, milliseconds{500});
        expect_order_of_next_term_has_higher_fence();
    }

    /// Guards against two holders that take turns (ONE).
    void holder_that_the_copy_does_not_name_sends_no_orders() {
        start();
        expect_order_accepted("first");
        restore_with_holder(first_term - 1, generous_timeout);
        output->expect({"event=lease_lost"});
        const auto before = endpoints.at("engine")->fences().size();
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(503, call_adapter("second").status);
        }
        CPPUNIT_ASSERT_EQUAL(before, endpoints.at("engine")->fences().size());
    }

    void holder_that_the_copy_names_keeps_the_lease() {
        start();
        expect_order_accepted("first");
        auto copy = store->copy();
        list_endpoint("lost");
        expect_endpoint("lost", "ready");
        restore_after_outage(std::move(copy));
        expect_endpoints_are_read();
        expect_order_accepted("second");
        CPPUNIT_ASSERT_EQUAL(0, output->count({"event=lease_lost"}));
        CPPUNIT_ASSERT(std::ranges::is_sorted(endpoints.at("engine")->fences()));
    }

private:
    static constexpr std::uint64_t first_term = 1'000;
    static constexpr const char* group = "placement.north";

    /// Starts the gateway as the holder of the first term, with one engine.
    void start() {
        auto state = store->copy();
        state.groups[group] = {first_term - 1, {}, {}};
        store->restore(std::move(state));
        list_endpoint("engine", "assistant");
        start_gateway();
        expect_configuration(3);
        expect_endpoint("engine", "ready");
        output->expect({"event=lease_won"});
    }

    /// Restores the store from a copy in which another member holds the lease for a while.
    void restore_with_holder(std::uint64_t generation, milliseconds remaining) {
        auto copy = store->copy();
        copy.groups[group] = {generation, "other.1", copy.taken + remaining};
        store->restore(std::move(copy));
    }

    net::http_response call_adapter(const std::string& adapter) {
        return call("/patterns/1", "adapter-" + std::to_string(++calls_), "base/" + adapter);
    }

    /// Calls an adapter that no engine has until the order to load it is accepted.
    void expect_order_accepted(const std::string& adapter) {
        eventually("an accepted order for " + adapter, [&] {
            call_adapter(adapter);
            return output->count(
                       {"event=order ", "adapter=base/" + adapter + " ", "result=accepted"}) > 0;
        });
    }

    void expect_order_of_next_term_has_higher_fence() {
        const auto before = endpoints.at("engine")->fences();
        output->expect({"event=lease_won"}, 2);
        expect_order_accepted("second");
        const auto all = endpoints.at("engine")->fences();
        CPPUNIT_ASSERT(all.back() > std::ranges::max(before));
    }

    int calls_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_lease_test);

} // namespace
