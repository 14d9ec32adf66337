#include "dragonflystair/policy/slot_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair::policy;
using names = std::vector<std::string>;

class slot_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_table_test);
    CPPUNIT_TEST(load_of_loading_adapter_is_rejected);
    CPPUNIT_TEST(load_without_free_slot_is_rejected);
    CPPUNIT_TEST(unload_of_pinned_adapter_is_rejected);
    CPPUNIT_TEST(pinned_adapter_with_lower_value_is_not_evicted);
    CPPUNIT_TEST(pin_of_unloading_adapter_is_rejected);
    CPPUNIT_TEST(lost_unload_answer_keeps_slot_until_report);
    CPPUNIT_TEST(report_of_unsettled_adapter_changes_nothing);
    CPPUNIT_TEST(report_without_pinned_adapter_keeps_it);
    CPPUNIT_TEST(takeover_pins_adapter_until_it_is_idle);
    CPPUNIT_TEST(unusable_adapter_is_neither_pinned_nor_loaded);
    CPPUNIT_TEST(unpin_after_restart_keeps_later_pins);
    CPPUNIT_TEST_SUITE_END();

public:
    void load_of_loading_adapter_is_rejected() {
        CPPUNIT_ASSERT(table_.begin_load("a"));
        CPPUNIT_ASSERT(!table_.begin_load("a"));
    }

    void load_without_free_slot_is_rejected() {
        make_resident({"a", "b"});
        CPPUNIT_ASSERT(!table_.begin_load("c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.free_slots());
    }

    /// Guards against eviction of an adapter that serves a request.
    void unload_of_pinned_adapter_is_rejected() {
        make_resident({"a"});
        CPPUNIT_ASSERT(table_.pin("a"));
        CPPUNIT_ASSERT(!table_.begin_unload("a"));
        table_.unpin("a");
        CPPUNIT_ASSERT(table_.begin_unload("a"));
    }

    void pinned_adapter_with_lower_value_is_not_evicted() {
        make_resident({"a", "b"});
        table_.pin("a");
        const auto value = [](std::string_view name) { return name == "a" ? 1.0 : 2.0; };
        CPPUNIT_ASSERT_EQUAL(std::string("b"), table_.victim(value).value());
    }

    void pin_of_unloading_adapter_is_rejected() {
        make_resident({"a"});
        table_.begin_unload("a");
        CPPUNIT_ASSERT(!table_.pin("a"));
    }

    /// Guards against dispatch to an adapter that may be unloaded already, and against a load into
    /// its slot.
    void lost_unload_answer_keeps_slot_until_report() {
        make_resident({"a", "b"});
        table_.begin_unload("a");
        table_.end_unload("a", std::nullopt);
        CPPUNIT_ASSERT(!table_.pin("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.free_slots());
        table_.reconcile(names{"b"});
        CPPUNIT_ASSERT(table_.state("a") == slot_state::absent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.free_slots());
    }

    /// Guards against a stale report that reverts a load or an unload.
    void report_of_unsettled_adapter_changes_nothing() {
        make_resident({"a"});
        table_.reconcile(names{"b"}, names{"a", "b"});
        CPPUNIT_ASSERT(table_.state("a") == slot_state::resident);
        CPPUNIT_ASSERT(table_.state("b") == slot_state::absent);
    }

    void report_without_pinned_adapter_keeps_it() {
        make_resident({"a"});
        table_.pin("a");
        table_.reconcile(names{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.pins("a"));
    }

    /// Guards against eviction of an adapter that requests of a former owner use.
    void takeover_pins_adapter_until_it_is_idle() {
        table_.adopt(names{"a"});
        table_.unpin("a");
        CPPUNIT_ASSERT(!table_.begin_unload("a"));
        table_.release_takeover_pins(names{"a"});
        CPPUNIT_ASSERT(table_.begin_unload("a"));
    }

    void unusable_adapter_is_neither_pinned_nor_loaded() {
        make_resident({"a"});
        table_.set_unusable("a", true);
        table_.set_unusable("b", true);
        CPPUNIT_ASSERT(!table_.pin("a"));
        CPPUNIT_ASSERT(!table_.begin_load("b"));
        table_.set_unusable("a", false);
        CPPUNIT_ASSERT(table_.pin("a"));
    }

    void unpin_after_restart_keeps_later_pins() {
        make_resident({"a"});
        table_.pin("a");
        table_.clear();
        table_.unpin("a");
        make_resident({"a"});
        table_.pin("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.pins("a"));
    }

private:
    void make_resident(const names& adapters) {
        for (const auto& adapter : adapters) {
            table_.begin_load(adapter);
            table_.end_load(adapter, true);
        }
    }

    slot_table table_{2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_table_test);

} // namespace
