#include "dragonflystair/fleet/residency_batch.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair::fleet;

class residency_batch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(residency_batch_test);
    CPPUNIT_TEST(repeatedly_changed_adapter_is_published_once_with_its_last_state);
    CPPUNIT_TEST(same_adapter_on_two_engines_is_published_for_both);
    CPPUNIT_TEST(taken_changes_are_not_published_again);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays a burst of rare adapters through one slot of an engine.
    void repeatedly_changed_adapter_is_published_once_with_its_last_state() {
        residency_batch batch;
        for (std::uint64_t version = 1; version <= 20; ++version) {
            add(batch, "engine", residency::loading, version);
            add(batch, "engine", residency::ready, version);
            add(batch, "engine", residency::absent, 0);
        }
        add(batch, "engine", residency::ready, 21);
        const auto changes = batch.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes.front().state == residency::ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, changes.front().version);
    }

    void same_adapter_on_two_engines_is_published_for_both() {
        residency_batch batch;
        add(batch, "one", residency::ready, 1);
        add(batch, "two", residency::absent, 0);
        const auto changes = batch.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes.front().state == residency::ready);
        CPPUNIT_ASSERT(changes.back().state == residency::absent);
    }

    void taken_changes_are_not_published_again() {
        residency_batch batch;
        add(batch, "engine", residency::ready, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.take().size());
        CPPUNIT_ASSERT(batch.take().empty());
    }

private:
    static void add(residency_batch& batch, const std::string& endpoint, residency state,
                    std::uint64_t version) {
        const std::vector<residency_change> changes{
            {endpoint, {"base", "patterns"}, state, version}};
        batch.add(changes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(residency_batch_test);

} // namespace
