#include "dragonflystair/config/deployment_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair::config;

const std::string sound_text = R"([deployment]
name = authority
store_concurrent_loads = 3
transit_limit = 24
[data_centre lahore]
region = lahore
[service register]
kind = plain
data_centres = lahore
non_idempotent = POST /stamps, POST /permits
status_lookup = /stamps/{key}
)";

std::string sound_text_with(const std::string& from, const std::string& to) {
    auto text = sound_text;
    const auto start = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, start != std::string::npos);
    return text.replace(start, from.size(), to);
}

class deployment_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(deployment_check_test);
    CPPUNIT_TEST(entry_without_effect_is_a_warning_with_its_line);
    CPPUNIT_TEST(differences_name_sections_and_keys);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a warning that becomes an error, which would refuse the publication.
    void entry_without_effect_is_a_warning_with_its_line() {
        const std::vector<std::pair<std::string, std::string>> cases{
            {sound_text, ""},
            {sound_text_with("POST /permits", "POST /stamps/a"),
             "t:10: warning: 'POST /stamps/a' in non_idempotent has no effect: 'POST /stamps' "
             "covers it\n"},
            {sound_text_with("POST /permits", "POST //stamps/"),
             "t:10: warning: 'POST //stamps/' in non_idempotent has no effect: 'POST /stamps' "
             "covers it\n"},
            {sound_text_with("non_idempotent = POST /stamps, POST /permits\n", ""),
             "t:10: warning: status_lookup has no effect without non_idempotent\n"},
            {sound_text_with("transit_limit = 24", "transit_limit = 2"),
             "t:4: warning: store_concurrent_loads = 3 is over transit_limit = 2\n"},
            {sound_text_with("region = lahore", "").replace(0, 1, "x\n["),
             "t:1: error: not an INI line: expected '[section]' or 'key = value'\n"
             "t:6: error: missing key 'region' in [data_centre lahore]\n"}};
        for (const auto& [text, findings] : cases) {
            const auto checked = check_deployment(text);
            CPPUNIT_ASSERT_EQUAL(findings,
                                 dragonflystair::support::to_string(checked.findings, "t"));
        }
    }

    void differences_name_sections_and_keys() {
        const auto from = check_deployment(sound_text).sections;
        auto to = check_deployment(sound_text_with("POST /stamps, ", "POST /stamps ,")).sections;
        CPPUNIT_ASSERT(differences(from, to).empty());
        to.erase("data_centre lahore");
        to["data_centre multan"]["region"] = "multan";
        to["service register"].erase("status_lookup");
        to["service register"]["depends_on"] = "archive";
        CPPUNIT_ASSERT_EQUAL(
            std::string("added: [data_centre multan]\n"
                        "changed: [service register]: depends_on from none to archive; "
                        "status_lookup from /stamps/{key} to none\n"
                        "removed: [data_centre lahore]"),
            fmt::format("{}", fmt::join(differences(from, to), "\n")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deployment_check_test);

} // namespace
