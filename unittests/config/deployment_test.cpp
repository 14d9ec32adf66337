#include "dragonflystair/config/deployment.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair::config;
using dragonflystair::support::to_string;

const std::string valid_text = R"([deployment]
name = authority
store_loads_per_second = 6
store_concurrent_loads = 3
transit_limit = 24

[data_centre lahore]
region = lahore
[data_centre multan]
region = multan

[service assistant]
kind = model                    ; model or plain
base_model = fan-7b
data_centres = lahore, multan   ; endpoints there serve it
checks_fencing = yes
class = long
depends_on = register

[adapter assistant/pleats]
versions = 3, 4
current = 4
class = short
[adapter assistant/reviews]
versions = 1
current = 1

[service register]
kind = plain
data_centres = lahore
non_idempotent = POST /stamps, POST /permits
status_lookup = /stamps/{key}
)";

std::string findings_of(const std::string& text) {
    return to_string(parse_deployment(text, "t.ini").findings);
}

/// Returns `valid_text` with the first occurrence of `from` replaced by `to`.
std::string valid_text_with(const std::string& from, const std::string& to) {
    auto text = valid_text;
    const auto start = text.find(from);
    CPPUNIT_ASSERT_MESSAGE("the text does not contain the part to replace",
                           start != std::string::npos);
    return text.replace(start, from.size(), to);
}

class deployment_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(deployment_test);
    CPPUNIT_TEST(valid_text_gives_values);
    CPPUNIT_TEST(text_with_six_errors_gives_six_findings);
    CPPUNIT_TEST(dependency_cycle_is_reported_with_its_path);
    CPPUNIT_TEST(duplicates_are_reported_with_first_line);
    CPPUNIT_TEST(unreadable_lines_are_reported_once_each);
    CPPUNIT_TEST(long_names_and_lists_are_not_truncated);
    CPPUNIT_TEST(key_of_other_kind_is_reported_as_unknown);
    CPPUNIT_TEST(empty_text_is_missing_deployment_section);
    CPPUNIT_TEST(rendered_sections_give_the_same_values);
    CPPUNIT_TEST(sections_with_error_give_finding_without_line);
    CPPUNIT_TEST(changed_sections_include_added_changed_and_removed);
    CPPUNIT_TEST(full_name_requires_known_service_adapter_and_version);
    CPPUNIT_TEST(operation_is_matched_in_every_spelling_of_its_path);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_text_gives_values() {
        const auto result = parse_deployment(valid_text, "t.ini");
        CPPUNIT_ASSERT_EQUAL(std::string(), to_string(result.findings));
        CPPUNIT_ASSERT_EQUAL(std::string("authority"), result.values.name);
        const auto& assistant = result.values.services.at("assistant");
        CPPUNIT_ASSERT(assistant.kind == service_kind::model && assistant.checks_fencing);
        CPPUNIT_ASSERT((assistant.data_centres == std::vector<std::string>{"lahore", "multan"}));
        CPPUNIT_ASSERT(!result.values.adapters.at("assistant/pleats").long_work);
        CPPUNIT_ASSERT(result.values.adapters.at("assistant/reviews").long_work);
        CPPUNIT_ASSERT_EQUAL(std::string("/stamps/{key}"),
                             result.values.services.at("register").status_lookup);
    }

    /// Guards against a validator that stops at the first error, or that reports an error twice.
    void text_with_six_errors_gives_six_findings() {
        const std::string text = "[deployment]\n"
                                 "name = authority\n"
                                 "store_loads_per_second = 6/s\n"
                                 "[data_centre lahore]\n"
                                 "region = lahore\n"
                                 "[service assistant]\n"
                                 "kind = model\n"
                                 "data_centres = lahore, karachi\n"
                                 "depends_on = registry\n"
                                 "[adapter assistant/pleats]\n"
                                 "versions = 3, 4\n"
                                 "current = 5\n"
                                 "clas = long\n";
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "t.ini:3: error: store_loads_per_second = '6/s' is not a number above 0 without a "
                "unit\n"
                "t.ini:6: error: missing key 'base_model' in [service assistant]\n"
                "t.ini:8: error: unknown data centre 'karachi' in [service assistant]\n"
                "t.ini:9: error: unknown service 'registry' in depends_on of [service assistant]\n"
                "t.ini:12: error: unknown version: current = '5' is not among versions\n"
                "t.ini:13: error: unknown key 'clas' in [adapter assistant/pleats], known are: "
                "class, current, versions\n"),
            findings_of(text));
    }

    void dependency_cycle_is_reported_with_its_path() {
        CPPUNIT_ASSERT_EQUAL(
            std::string("t.ini:18: error: dependency cycle: assistant -> register -> assistant\n"),
            findings_of(valid_text + "depends_on = assistant\n"));
    }

    void duplicates_are_reported_with_first_line() {
        CPPUNIT_ASSERT_EQUAL(
            std::string("t.ini:33: error: duplicate key 'kind' in [service register], first on "
                        "line 29\n"
                        "t.ini:34: error: duplicate section [data_centre lahore], first on line "
                        "7\n"),
            findings_of(valid_text + "kind = plain\n[data_centre lahore]\nregion = lahore\n"));
    }

    /// Guards against lines that inih skips silently: it reports only the first line that is not
    /// INI, and truncates text after a heading and at a zero byte.
    void unreadable_lines_are_reported_once_each() {
        using namespace std::string_literals;
        const auto text = "key = outside\n" + valid_text +
                          "no value\n[broken\nkind = plain\n[service x] y\n  continued, z\n"
                          "[other x]\nname = \xC3\x28\nname = a\0b\nname = "s +
                          std::string(70'000, 'x') + "\n";
        CPPUNIT_ASSERT_EQUAL(
            std::string("t.ini:1: error: key 'key' is outside a section\n"
                        "t.ini:34: error: not an INI line: expected '[section]' or 'key = value'\n"
                        "t.ini:35: error: section heading without ']'\n"
                        "t.ini:37: error: text after the section heading\n"
                        "t.ini:38: error: not an INI line: expected '[section]' or 'key = value'\n"
                        "t.ini:39: error: unknown section kind 'other' in [other x]\n"
                        "t.ini:40: error: broken UTF-8 at byte 8\n"
                        "t.ini:41: error: control character 0x00 at byte 9\n"
                        "t.ini:42: error: line of 70007 bytes is longer than 60000\n"),
            findings_of(text));
    }

    /// Guards against truncation by inih's limits of 50 bytes for a section name and 200 for a
    /// line.
    void long_names_and_lists_are_not_truncated() {
        const std::string name(120, 'n');
        std::string versions = "1";
        for (int version = 2; version <= 2'000; ++version) {
            versions += ", " + std::to_string(version);
        }
        const auto result = parse_deployment(valid_text + "[adapter assistant/" + name +
                                                 "]\nversions = " + versions + "\ncurrent = 2000\n",
                                             "t.ini");
        CPPUNIT_ASSERT_EQUAL(std::string(), to_string(result.findings));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2'000},
                             result.values.adapters.at("assistant/" + name).versions.size());
    }

    void key_of_other_kind_is_reported_as_unknown() {
        CPPUNIT_ASSERT(findings_of(valid_text + "base_model = x\n")
                           .find("t.ini:33: error: unknown key 'base_model'") == 0);
        CPPUNIT_ASSERT_EQUAL(std::string("t.ini:13: error: kind = 'modle' is not one of: model, "
                                         "plain\n"),
                             findings_of(valid_text_with("kind = model", "kind = modle")));
        CPPUNIT_ASSERT_EQUAL(
            std::string("t.ini:15: error: service 'assistant' has no endpoints: data_centres is "
                        "empty\n"),
            findings_of(valid_text_with("data_centres = lahore, multan", "data_centres =")));
    }

    void empty_text_is_missing_deployment_section() {
        CPPUNIT_ASSERT_EQUAL(std::string("t.ini:0: error: missing section [deployment]\n"),
                             findings_of(""));
    }

    void rendered_sections_give_the_same_values() {
        const auto first = parse_deployment(valid_text, "t.ini");
        const auto second = parse_deployment(render(first.sections), "t.ini");
        CPPUNIT_ASSERT_EQUAL(std::string(), to_string(second.findings));
        CPPUNIT_ASSERT(first.sections == second.sections);
        const auto third = deployment_from_sections(first.sections);
        CPPUNIT_ASSERT(third.findings.empty());
        CPPUNIT_ASSERT(third.sections == first.sections);
        CPPUNIT_ASSERT(third.values.adapters.at("assistant/reviews").long_work);
    }

    void sections_with_error_give_finding_without_line() {
        auto sections = parse_deployment(valid_text, "t.ini").sections;
        sections.at("adapter assistant/pleats").at("current") = "9";
        CPPUNIT_ASSERT_EQUAL(std::string("configuration:0: error: unknown version: current = '9' "
                                         "is not among versions\n"),
                             to_string(deployment_from_sections(sections).findings));
        CPPUNIT_ASSERT(deployment_from_sections({}).findings.empty());
    }

    void changed_sections_include_added_changed_and_removed() {
        const section_map from{{"a", {{"k", "1"}}}, {"b", {{"k", "1"}}}, {"c", {}}};
        const section_map to{{"a", {{"k", "1"}}}, {"b", {{"k", "2"}}}, {"d", {}}};
        const auto changes = changed_sections(from, to);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
        CPPUNIT_ASSERT((changes.at("b") == section_values{{"k", "2"}}));
        CPPUNIT_ASSERT(!changes.at("c").has_value());
        CPPUNIT_ASSERT(changes.at("d").has_value());
    }

    void full_name_requires_known_service_adapter_and_version() {
        const auto values = parse_deployment(valid_text, "t.ini").values;
        CPPUNIT_ASSERT_EQUAL(std::string("assistant/pleats@4"),
                             values.full_name("assistant/pleats").value());
        CPPUNIT_ASSERT_EQUAL(std::string("assistant/pleats@3"),
                             values.full_name("assistant/pleats@3").value());
        for (const auto* unknown : {"assistant/pleats@5", "assistant/pleats@", "assistant/x",
                                    "assistant", "x/pleats", ""}) {
            CPPUNIT_ASSERT_MESSAGE(unknown, !values.full_name(unknown));
        }
    }

    /// Guards against the retry of a call that is not idempotent because its path is spelled
    /// differently.
    void operation_is_matched_in_every_spelling_of_its_path() {
        const auto registry = parse_deployment(valid_text, "t.ini").values.services.at("register");
        for (const auto* path : {"/stamps", "/stamps/", "/stamps/7", "/stamps?x=1", "//stamps",
                                 "/%73tamps", "/./stamps", "/a/../stamps"}) {
            CPPUNIT_ASSERT_MESSAGE(path, registry.is_non_idempotent("POST", path));
        }
        CPPUNIT_ASSERT(registry.is_non_idempotent("post", "/stamps"));
        CPPUNIT_ASSERT(!registry.is_non_idempotent("GET", "/stamps"));
        CPPUNIT_ASSERT(!registry.is_non_idempotent("POST", "/stampsx"));
        CPPUNIT_ASSERT(!registry.is_non_idempotent("POST", "/lookups/stamps"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deployment_test);

} // namespace
