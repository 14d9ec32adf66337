#include "dragonflystair/config/settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair::config;
using dragonflystair::support::to_string;

const std::string valid_text = R"([node]
name = entry-1
data_centre = lahore
region = lahore
caller_address = 127.0.0.1:8000
peer_address = 127.0.0.1:8001
operator_address = [::1]:8002
threads = 4
[peers]
addresses = 127.0.0.2:8001, 127.0.0.3:8001
[platform]
log = 127.0.0.1:9000
vm_list = 127.0.0.1:9001
[secrets]
operator_token = token
peer_secret = secret
[timing]
lease = 5s
progress_timeout = 500ms
drain_timeout = 2min
[limits]
memory_mb = 120
header_fields = 64
)";

std::string findings_after_replacing(const std::string& from, const std::string& to) {
    auto text = valid_text;
    const auto start = text.find(from);
    CPPUNIT_ASSERT_MESSAGE("the text does not contain the part to replace",
                           start != std::string::npos);
    return to_string(parse_settings(text.replace(start, from.size(), to), "n.ini").findings);
}

class settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(valid_text_gives_values);
    CPPUNIT_TEST(address_without_ip_or_port_is_reported);
    CPPUNIT_TEST(port_zero_is_reported_except_in_own_addresses);
    CPPUNIT_TEST(duration_without_unit_is_reported);
    CPPUNIT_TEST(renewal_period_longer_than_lease_is_reported);
    CPPUNIT_TEST(missing_and_unknown_sections_are_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_text_gives_values() {
        const auto result = parse_settings(valid_text, "n.ini");
        CPPUNIT_ASSERT_EQUAL(std::string(), to_string(result.findings));
        const auto& values = result.values;
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8002"), values.operator_address);
        CPPUNIT_ASSERT_EQUAL(4U, values.threads);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, values.peers.size());
        CPPUNIT_ASSERT(values.lease == std::chrono::seconds{5});
        CPPUNIT_ASSERT(values.progress_timeout == std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(values.drain_timeout == std::chrono::minutes{2});
        CPPUNIT_ASSERT(values.lease_margin == std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(120.0, values.callers.memory_mb);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, values.callers.header_fields);
    }

    void address_without_ip_or_port_is_reported() {
        for (const auto* address :
             {"localhost:8000", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8000x",
              "::1:8000", "[127.0.0.1]:8000", "0.0.0.0:8000"}) {
            const auto findings = findings_after_replacing("127.0.0.1:8000", address);
            CPPUNIT_ASSERT_MESSAGE(address, findings.starts_with("n.ini:5: error: "));
            CPPUNIT_ASSERT_MESSAGE(address, findings.ends_with("\n"));
        }
        CPPUNIT_ASSERT(
            findings_after_replacing("127.0.0.3:8001", "x").starts_with("n.ini:10: error: 'x'"));
    }

    /// Port 0 is valid only in addresses to listen on: no process can be connected to at port 0.
    void port_zero_is_reported_except_in_own_addresses() {
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             findings_after_replacing("127.0.0.1:8000", "127.0.0.1:0"));
        CPPUNIT_ASSERT_EQUAL(std::string(), findings_after_replacing("[::1]:8002", "[::1]:0"));
        CPPUNIT_ASSERT(
            findings_after_replacing("127.0.0.3:8001", "127.0.0.3:0").starts_with("n.ini:10:"));
        CPPUNIT_ASSERT(
            findings_after_replacing("127.0.0.1:9000", "127.0.0.1:0").starts_with("n.ini:12:"));
    }

    void duration_without_unit_is_reported() {
        for (const auto* duration : {"5", "5h", "0s", "-5s", "5 s", "s", "99999999s", ""}) {
            const auto findings =
                findings_after_replacing("lease = 5s", std::string("lease = ") + duration);
            CPPUNIT_ASSERT_EQUAL(std::string("n.ini:18: error: lease = '") + duration +
                                     "' is not a duration with unit ms, s or min, such as 10s\n",
                                 findings);
        }
    }

    /// Guards against a node whose lease expires between two renewals.
    void renewal_period_longer_than_lease_is_reported() {
        CPPUNIT_ASSERT(
            findings_after_replacing("lease = 5s", "lease = 1s").starts_with("n.ini:17: error: "));
    }

    void missing_and_unknown_sections_are_reported() {
        CPPUNIT_ASSERT_EQUAL(std::string("n.ini:0: error: missing section [secrets]\n"
                                         "n.ini:14: error: unknown section [secret]\n"),
                             findings_after_replacing("[secrets]", "[secret]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace
