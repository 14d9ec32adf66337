#include "dragonflystair/fleet/configuration_difference.h"
#include "dragonflystair/support/json.h"

#include "platform/configuration_check.h"
#include "platform/decode.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;
using support::json;

const std::string sound_text = R"({"version": 7,
 "routes": [
  {"name": "chat", "host": "h", "path-prefix": "/chat/", "kind": "stream", "timeout-ms": 6000,
   "slo-ms": 1000, "gap-aim-ms": 300, "priority": 1, "attempts": 2,
   "split": [{"service": "old", "weight": 90}, {"service": "new", "weight": 10}]},
  {"name": "register", "host": "h", "path-prefix": "/book/", "kind": "unsafe",
   "timeout-ms": 2000, "service": "register", "anon": true}],
 "services": [
  {"name": "old", "max-conns": 64, "engine": {"slots": 32, "kv-capacity": 122581,
   "weights-mb": 75300, "adapter-slots": 13, "models": [
    {"name": "m", "weights-mb": 72700, "adapter-mb": 66, "load-s": 0.6}]}},
  {"name": "new", "max-conns": 64, "engine": {"slots": 12}},
  {"name": "register", "max-conns": 6}],
 "tenants": [
  {"name": "agents", "api-keys": ["secret-1", "secret-2"], "priority": 1, "unit": "tokens",
   "plain-tokens": 200, "rate-per-s": 1000, "burst": 2000},
  {"name": "clerks", "api-keys": ["secret-3"]}],
 "limits": {"idle-timeout-ms": 9000}})";

/// Edits the sound text at a JSON pointer; a null removes the member.
struct edit {
    std::string pointer;
    json value;
};

json edited(const std::vector<edit>& edits) {
    auto text = json::parse(sound_text);
    for (const auto& [pointer, value] : edits) {
        const json::json_pointer target(pointer);
        if (value.is_null()) {
            auto& parent = text.at(target.parent_pointer());
            parent.is_array() ? parent.erase(std::stoul(target.back()))
                              : static_cast<void>(parent.erase(target.back()));
        } else {
            text[target] = value;
        }
    }
    return text;
}

std::string findings_of(const std::string& text) {
    return support::to_string(check_configuration(text).findings, "c");
}

struct check_case {
    std::vector<edit> edits;
    std::string findings; ///< Lines without the name of the file.
};

class configuration_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_check_test);
    CPPUNIT_TEST(sound_configuration_has_no_findings);
    CPPUNIT_TEST(entry_that_never_matches_is_reported_with_its_path);
    CPPUNIT_TEST(contradicting_limits_are_reported_with_their_path);
    CPPUNIT_TEST(ignored_value_is_reported_with_its_path);
    CPPUNIT_TEST(several_findings_follow_the_order_of_the_text);
    CPPUNIT_TEST(text_that_is_not_json_is_reported_with_its_line);
    CPPUNIT_TEST(keys_are_never_printed);
    CPPUNIT_TEST(differences_are_described_by_entry);
    CPPUNIT_TEST_SUITE_END();

public:
    void sound_configuration_has_no_findings() {
        CPPUNIT_ASSERT_EQUAL(std::string(), findings_of(sound_text));
        CPPUNIT_ASSERT(is_configuration("\xEF\xBB\xBF\n" + sound_text));
        CPPUNIT_ASSERT(!is_configuration("[deployment]\n"));
    }

    /// Guards against a rule that no longer sees its fault, or that names another place.
    void entry_that_never_matches_is_reported_with_its_path() {
        const std::vector<check_case> cases{
            {{{"/routes/1/path-prefix", "/chat/"}},
             "routes[1].path-prefix: error: route 'register' can never match: route 'chat' before "
             "it has the same host and path"},
            {{{"/routes/1/path-prefix", "/chat/?a"}},
             "routes[1].path-prefix: error: route 'register' can never match: paths are compared "
             "without their query"},
            {{{"/routes/1/host", {}}},
             "routes[1].host: warning: the route only matches calls that name no host"},
            {{{"/routes/0/split/1/weight", 0}},
             "routes[0].split[1].weight: warning: the weight of 'new' is 0: the service gets no "
             "calls of this route"},
            {{{"/routes/0/split", {7, {{"service", "old"}, {"weight", 0}}, {{"service", "new"}}}}},
             "routes[0].split[0]: error: not an object\n"
             "routes[0].split[1].weight: warning: the weight of 'old' is 0: the service gets no "
             "calls of this route"},
            {{{"/routes/1/service", {}},
              {"/routes/1/split", {{{"service", "register"}, {"weight", 0}}}}},
             "routes[1].split[0].weight: warning: the weight of 'register' is 0: all weights are "
             "0, so the last gets all calls"},
            {{{"/routes/0/service", "old"}},
             "routes[0].service: warning: has no effect beside 'split'"},
            {{{"/routes/1/service", "regster"}},
             "routes[1].service: warning: no service is named 'regster'\n"
             "services[2].name: warning: no route leads to service 'register'"},
            {{{"/services/3", {{"name", "new"}}}},
             "services[1]: error: has no effect: services[3] has the name 'new' too"},
            {{{"/tenants/1/api-keys", {}}},
             "tenants[1].api-keys: warning: tenant 'clerks' has no key, so no call can be its own"},
            {{{"/tenants/1/api-keys", {"secret-3", "secret-2"}}},
             "tenants[1].api-keys[1]: error: tenant 'agents' has the same key, so its calls are "
             "refused"},
            {{{"/tenants/1/name", "agents"}},
             "tenants[1].name: error: a tenant before it is named 'agents' too: only the limits of "
             "the first are used"},
            {{{"/tenants", json::array()}},
             "tenants: warning: no tenant, so all calls that need a key are refused"}};
        check(cases);
    }

    void contradicting_limits_are_reported_with_their_path() {
        const std::vector<check_case> cases{
            {{{"/routes/0/slo-ms", 7000}},
             "routes[0].slo-ms: error: the objective of 7000 ms is over the deadline of 6000 ms"},
            {{{"/routes/0/gap-aim-ms", 7000}},
             "routes[0].gap-aim-ms: error: the pause of 7000 ms between events is over the "
             "deadline of 6000 ms"},
            {{{"/routes/1/resumable", true}},
             "routes[1].resumable: error: unsafe calls run at most once, but those of a resumable "
             "route are repeated"},
            {{{"/services/0/engine/slots", 65}},
             "services[0].engine.slots: warning: engines have 65 slots but accept 64 connections"},
            {{{"/tenants/0/plain-tokens", 2001}},
             "tenants[0].plain-tokens: error: a plain call of 2001 tokens is always refused: the "
             "burst of 2000 at 1000 per second allows 2000 at once"},
            {{{"/tenants/0/burst", 50}, {"/tenants/0/plain-tokens", 80}},
             "tenants[0].plain-tokens: warning: a plain call of 80 tokens is over the burst of 50"},
            {{{"/tenants/0/rate-per-s", 0}},
             "tenants[0].burst: warning: the burst of 2000 has no effect: without a rate there is "
             "no quota"}};
        check(cases);
    }

    /// Guards against a value that the decoder silently replaces by its default.
    void ignored_value_is_reported_with_its_path() {
        const std::vector<check_case> cases{
            {{{"/version", {}}}, "version: error: 'version' is missing"},
            {{{"/routes/0/kind", "streams"}},
             "routes[0].kind: error: 'streams' is not one of: safe, unsafe, stream\n"
             "services[0].name: warning: no route leads to service 'old'\n"
             "services[1].name: warning: no route leads to service 'new'"},
            {{{"/routes/2", {{"path-prefix", "x/"}, {"kind", "safe"}}}},
             "routes[2].path-prefix: error: 'x/' does not begin with a slash\n"
             "routes[2]: error: the route has neither 'service' nor 'split'"},
            {{{"/routes/0/timeout-ms", -1}},
             "routes[0].timeout-ms: error: 'timeout-ms' is not a whole number of 0 or more"},
            {{{"/routes/0/timeout_ms", 4000}},
             "routes[0].timeout_ms: warning: unknown member; did you mean 'timeout-ms'?"},
            {{{"/services/0/engine/models/0/load-s", "1"}},
             "services[0].engine.models[0].load-s: error: 'load-s' is not a number of 0 or more"},
            {{{"/tenants/0/unit", "token"}},
             "tenants[0].unit: error: 'token' is not one of: tokens, requests"},
            {{{"/tenants/0/priority", 1.0}},
             "tenants[0].priority: error: 'priority' is not a whole number of 0 or more, without "
             "fraction and exponent"},
            {{{"/tenants/1/api-keys/1", ""}},
             "tenants[1].api-keys[1]: error: not a text, or empty"},
            {{{"/tenants/1/name", "a\r\nb"}}, "tenants[1]: error: the entry is not used"},
            {{{"/limits/max-body-bytes", "4"}},
             "limits.max-body-bytes: error: 'max-body-bytes' is not a whole number of 0 or more"}};
        check(cases);
    }

    void several_findings_follow_the_order_of_the_text() {
        check({{{{"/tenants/1/api-keys", {}},
                 {"/limits/idle-timeout-ms", -1},
                 {"/routes/0/slo-ms", 7000}},
                "routes[0].slo-ms: error: the objective of 7000 ms is over the deadline of 6000 "
                "ms\n"
                "tenants[1].api-keys: warning: tenant 'clerks' has no key, so no call can be its "
                "own\n"
                "limits.idle-timeout-ms: error: 'idle-timeout-ms' is not a whole number of 0 or "
                "more"}});
    }

    void text_that_is_not_json_is_reported_with_its_line() {
        CPPUNIT_ASSERT_EQUAL(std::string("c:2: error: not JSON, at byte 29\n"),
                             findings_of("{\"version\": 1,\n\"key\" \"secret\"}"));
        const std::string deep = R"({"version":1,"routes":)" + std::string(1'000'000, '[');
        CPPUNIT_ASSERT(findings_of(deep).starts_with("c:1: error: not JSON"));
        CPPUNIT_ASSERT_EQUAL(std::string("c:0: error: nested more deeply than 64 levels\n"),
                             findings_of(deep + std::string(1'000'000, ']') + "}"));
    }

    void keys_are_never_printed() {
        const auto text = edited({{"/tenants/1/api-keys", {"secret-2", 5, ""}},
                                  {"/tenants/0/api-keys", {"secret-2", "secret-4"}},
                                  {"/tenants/0/api_keys", {"secret-5"}}})
                              .dump();
        const auto printed =
            findings_of(text) + findings_of(text.substr(0, text.size() - 1)) + differences_to(text);
        CPPUNIT_ASSERT_MESSAGE(printed, printed.find("secret") == std::string::npos);
        CPPUNIT_ASSERT(printed.find("changed: tenant 'agents': keys replaced") !=
                       std::string::npos);
    }

    void differences_are_described_by_entry() {
        const auto text = edited({{"/version", 8},
                                  {"/routes/0/timeout-ms", 8000},
                                  {"/routes/0/split/1/weight", 20},
                                  {"/routes/1/name", "stamps"},
                                  {"/services/0/engine/slots", 48},
                                  {"/services/3", {{"name", "spare"}}},
                                  {"/tenants/0/priority", {}},
                                  {"/tenants/0/burst", 2500.5},
                                  {"/tenants/1", {}},
                                  {"/limits/idle-timeout-ms", {}}});
        CPPUNIT_ASSERT_EQUAL(
            std::string("changed: service 'old': slots from 32 to 48\n"
                        "added: service 'spare'\n"
                        "changed: route 'chat': services from old (weight 90), new (weight 10) to "
                        "old (weight 90), new (weight 20); deadline from 6000 ms to 8000 ms\n"
                        "added: route 'stamps'\n"
                        "changed: tenant 'agents': priority from 1 to none; burst from 2000 to "
                        "2500.5\n"
                        "changed: limits of callers: idle timeout from 9000 ms to 15000 ms\n"
                        "removed: route 'register'\n"
                        "removed: tenant 'clerks'"),
            differences_to(text.dump()));
        CPPUNIT_ASSERT_EQUAL(std::string(), differences_to(sound_text));
    }

private:
    static void check(const std::vector<check_case>& cases) {
        for (const auto& [edits, findings] : cases) {
            const auto actual = findings_of(edited(edits).dump());
            std::string expected = "c:" + findings + '\n';
            for (std::size_t end = expected.find('\n'); end + 1 < expected.size();
                 end = expected.find('\n', end + 1)) {
                expected.insert(end + 1, "c:");
            }
            CPPUNIT_ASSERT_EQUAL(expected, actual);
        }
    }

    static std::string differences_to(const std::string& text) {
        return fmt::format("{}", fmt::join(fleet::differences(*decode_configuration(sound_text),
                                                              *decode_configuration(text)),
                                           "\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_check_test);

} // namespace
