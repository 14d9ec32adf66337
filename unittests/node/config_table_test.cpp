#include "../../lib/node/config_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <tuple>

namespace {

using namespace dragonflystair;
using dragonflystair::node::config_table;

class config_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_table_test);
    CPPUNIT_TEST(view_after_random_changes_equals_full_parse);
    CPPUNIT_TEST(view_after_class_of_service_changes_fills_in_adapters);
    CPPUNIT_TEST(view_after_restored_state_drops_removed_adapter);
    CPPUNIT_TEST_SUITE_END();

    using sections = std::map<std::string, std::optional<ledger::section>>;

    static ledger::stream_entry entry_of(std::uint64_t offset, const sections& changed) {
        ledger::config_change change;
        change.base = ledger::make_position(offset, 0) - 1;
        change.sections = changed;
        ledger::stream_entry entry{offset, "writer", offset + 1, support::json::array()};
        entry.payload.push_back(ledger::to_json(change));
        return entry;
    }

    static void apply(config_table& table, const sections& changed) {
        const std::vector<ledger::stream_entry> entries{entry_of(table.next_offset(), changed)};
        table.apply(entries);
    }

    static ledger::section service(const std::string& work_class) {
        return {{"kind", "model"},
                {"base_model", "fan-7b"},
                {"data_centres", "lahore"},
                {"checks_fencing", "yes"},
                {"class", work_class}};
    }

    static sections start() {
        sections first;
        first["deployment"] = ledger::section{{"name", "test"}};
        first["data_centre lahore"] = ledger::section{{"region", "lahore"}};
        first["service assistant"] = service("short");
        first["adapter assistant/a1"] = ledger::section{{"versions", "1, 2"}, {"current", "1"}};
        first["adapter assistant/a2"] = ledger::section{{"versions", "1"}, {"current", "1"}};
        return first;
    }

    static void expect_equal_to_full_parse(const config_table& table) {
        using row = std::tuple<std::string, std::string, std::string, std::vector<std::string>,
                               std::string, bool>;
        const auto rows_of = [](const config::deployment& values) {
            std::vector<row> rows;
            rows.reserve(values.adapters.size());
            for (const auto& [key, item] : values.adapters) {
                rows.emplace_back(key, item.service, item.name, item.versions, item.current,
                                  item.long_work);
            }
            return rows;
        };
        const auto view = table.view();
        const auto parsed = config::deployment_from_sections(view->sections);
        CPPUNIT_ASSERT(rows_of(parsed.values) == rows_of(view->deployment));
        CPPUNIT_ASSERT_EQUAL(parsed.values.name, view->deployment.name);
        CPPUNIT_ASSERT(parsed.values.region_by_data_centre ==
                       view->deployment.region_by_data_centre);
        CPPUNIT_ASSERT_EQUAL(parsed.values.services.size(), view->deployment.services.size());
    }

public:
    /// Guards against incremental updates, which parse only the changed sections, that leave a
    /// removed, missing or stale adapter in the view.
    void view_after_random_changes_equals_full_parse() {
        config_table table;
        apply(table, start());
        std::mt19937 random(11);
        const auto one_of = [&](unsigned count) { return std::to_string(random() % count); };
        for (int round = 0; round < 100; ++round) {
            sections changed;
            for (unsigned count = random() % 3 + 1; count > 0; --count) {
                auto& section = changed["adapter assistant/a" + one_of(8)];
                if (random() % 3 == 0) {
                    continue;
                }
                section = ledger::section{{"versions", "0, 1, 2, 3"}, {"current", one_of(4)}};
                if (random() % 4 == 0) {
                    (*section)["class"] = "long";
                }
            }
            if (random() % 10 == 0) {
                changed["service assistant"] = service(random() % 2 == 0 ? "short" : "long");
            }
            apply(table, changed);
            expect_equal_to_full_parse(table);
        }
        CPPUNIT_ASSERT(!table.view()->deployment.adapters.empty());
    }

    /// Guards against adapters that keep the previous work class of their service.
    void view_after_class_of_service_changes_fills_in_adapters() {
        config_table table;
        apply(table, start());
        apply(table, {{"service assistant", service("long")}});
        CPPUNIT_ASSERT(table.view()->deployment.adapters.at("assistant/a1").long_work);
        apply(table,
              {{"adapter assistant/a2", ledger::section{{"versions", "1, 2"}, {"current", "2"}}}});
        CPPUNIT_ASSERT(table.view()->deployment.adapters.at("assistant/a2").long_work);
    }

    /// Guards against an adapter that remains in the view although a restored state does not have
    /// it.
    void view_after_restored_state_drops_removed_adapter() {
        config_table source;
        config_table copy;
        apply(source, start());
        apply(copy, start());
        apply(source, {{"adapter assistant/a1", std::nullopt}});
        copy.restore(source.state());
        CPPUNIT_ASSERT(!copy.view()->deployment.adapters.contains("assistant/a1"));
        CPPUNIT_ASSERT_EQUAL(source.view()->revision, copy.view()->revision);
        expect_equal_to_full_parse(copy);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_table_test);

} // namespace
