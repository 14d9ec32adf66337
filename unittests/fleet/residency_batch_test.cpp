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
    CPPUNIT_TEST(adapter_that_comes_and_goes_is_told_once_as_it_is_now);
    CPPUNIT_TEST(same_adapter_on_two_engines_is_told_for_both);
    CPPUNIT_TEST(taken_changes_are_not_told_again);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays a burst of rare adapters through one slot of an engine.
    void adapter_that_comes_and_goes_is_told_once_as_it_is_now() {
        residency_batch batch;
        for (std::uint64_t turn = 1; turn <= 20; ++turn) {
            add(batch, "engine", residency::loading, turn);
            add(batch, "engine", residency::ready, turn);
            add(batch, "engine", residency::absent, 0);
        }
        add(batch, "engine", residency::ready, 21);
        const auto told = batch.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
        CPPUNIT_ASSERT(told.front().state == residency::ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, told.front().version);
    }

    void same_adapter_on_two_engines_is_told_for_both() {
        residency_batch batch;
        add(batch, "one", residency::ready, 1);
        add(batch, "two", residency::absent, 0);
        const auto told = batch.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
        CPPUNIT_ASSERT(told.front().state == residency::ready);
        CPPUNIT_ASSERT(told.back().state == residency::absent);
    }

    void taken_changes_are_not_told_again() {
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
