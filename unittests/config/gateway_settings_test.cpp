#include "dragonflystair/config/gateway_settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair::config;

const std::string valid_text = R"([gateway]
name = front-1
data_centre = north
region = n
caller_address = 10.0.0.1:7000
ready_address = 10.0.0.1:7001
resolve_address = 10.0.0.1:7002
peer_address = 10.0.0.1:7003
metrics_address = 10.0.0.1:7004
[peers]
addresses = 10.0.0.1:7003,10.0.0.2:7003
[store]
store = 10.9.0.1:8142
[data_centres]
north = n
south = s
[secrets]
peer_secret = secret
[limits]
retry_ratio = 0.3
lease = 3000ms
engines_check_fencing = true
memory_mb = 120
descriptors = 3075
)";

class gateway_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_settings_test);
    CPPUNIT_TEST(valid_settings_have_no_findings);
    CPPUNIT_TEST(invalid_settings_give_all_findings_with_their_lines);
    CPPUNIT_TEST(placement_of_plain_calls_by_leads_is_enabled_by_its_setting);
    CPPUNIT_TEST(bounds_of_quotas_are_read);
    CPPUNIT_TEST(gateway_settings_are_distinguished_from_node_settings);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_settings_have_no_findings() {
        const auto result = parse_gateway_settings(valid_text, "gateway.ini");
        CPPUNIT_ASSERT(result.findings.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.values.peers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s"), result.values.data_centres.at("south"));
        CPPUNIT_ASSERT(result.values.engines_check_fencing);
        CPPUNIT_ASSERT_EQUAL(0.3, result.values.retry_ratio);
        CPPUNIT_ASSERT_EQUAL(120.0, result.values.callers.memory_mb);
        CPPUNIT_ASSERT_EQUAL(3'075.0, result.values.callers.descriptors);
        CPPUNIT_ASSERT(result.values.plain_calls == plain_placement::node);
    }

    void invalid_settings_give_all_findings_with_their_lines() {
        auto text = valid_text;
        text.replace(text.find("10.9.0.1:8142"), 13, "nowhere");
        text.replace(text.find("3000ms"), 6, "3000");
        text += "[unknown]\n";
        const auto result = parse_gateway_settings(text, "gateway.ini");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, result.findings.size());
        CPPUNIT_ASSERT_EQUAL(13, result.findings.at(0).line);
        CPPUNIT_ASSERT_EQUAL(21, result.findings.at(1).line);
        CPPUNIT_ASSERT_EQUAL(25, result.findings.at(2).line);
    }

    void placement_of_plain_calls_by_leads_is_enabled_by_its_setting() {
        const auto result = parse_gateway_settings(valid_text + "plain_calls = lead\n", "a.ini");
        CPPUNIT_ASSERT(result.findings.empty());
        CPPUNIT_ASSERT(result.values.plain_calls == plain_placement::lead);
        const auto wrong = parse_gateway_settings(valid_text + "plain_calls = all\n", "a.ini");
        CPPUNIT_ASSERT_EQUAL(25, wrong.findings.at(0).line);
    }

    /// Guards against a bound of another deployment that stays in force.
    void bounds_of_quotas_are_read() {
        const auto result = parse_gateway_settings(
            valid_text + "quota_window = 5s\nquota_overrun = 0.2\nquota_slack = 110000\n", "a.ini");
        CPPUNIT_ASSERT(result.findings.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, std::int64_t{result.values.quota_window.count()});
        CPPUNIT_ASSERT_EQUAL(0.2, result.values.quota_overrun);
        CPPUNIT_ASSERT_EQUAL(110'000.0, result.values.quota_slack);
    }

    void gateway_settings_are_distinguished_from_node_settings() {
        CPPUNIT_ASSERT(has_gateway_settings(valid_text));
        CPPUNIT_ASSERT(!has_gateway_settings("[node]\nname = a\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_settings_test);

} // namespace
