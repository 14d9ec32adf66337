#include "dragonflystair/support/json.h"

#include "platform/call_headers.h"
#include "platform/decode.h"
#include "platform/directory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;

/// Decoding of the platform's texts, and rendering of forwarded calls.
class decode_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(decode_test);
    CPPUNIT_TEST(configuration_has_routes_services_and_limits);
    CPPUNIT_TEST(configuration_has_tenants_with_quotas);
    CPPUNIT_TEST(tenant_whose_name_cannot_be_a_header_is_skipped);
    CPPUNIT_TEST(route_of_unknown_kind_is_skipped);
    CPPUNIT_TEST(malformed_configuration_is_rejected);
    CPPUNIT_TEST(endpoint_has_adapters_with_versions);
    CPPUNIT_TEST(malformed_endpoint_entry_is_rejected);
    CPPUNIT_TEST(entry_with_one_odd_field_is_used_as_an_endpoint);
    CPPUNIT_TEST(call_has_model_adapter_and_prompt);
    CPPUNIT_TEST(forwarded_call_replaces_the_system_headers);
    CPPUNIT_TEST(forwarded_call_drops_headers_of_its_connection);
    CPPUNIT_TEST(misdirected_response_counts_as_not_run);
    CPPUNIT_TEST(resolve_response_has_addresses_and_seconds);
    CPPUNIT_TEST_SUITE_END();

public:
    void configuration_has_routes_services_and_limits() {
        const auto current = decode_configuration(R"({"version":7,"routes":[
            {"name":"r","host":"h","path-prefix":"/p/","kind":"stream","timeout-ms":6000,
             "slo-ms":1000,"priority":1,"split":[{"service":"s","weight":90},
             {"service":"t","weight":10}],"attempts":2,"resumable":true,"gap-aim-ms":300}],
            "services":[{"name":"s","max-conns":360,"engine":{"slots":64,"weights-mb":75300.0,
             "adapter-slots":17,"models":[{"name":"m","weights-mb":72700.0,"load-s":0.6,
             "adapter-mb":66.0}]}}],"limits":{"idle-timeout-ms":9000}})");
        CPPUNIT_ASSERT(current.has_value());
        const auto& route = current->routes.at(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.services.size());
        CPPUNIT_ASSERT(route.idempotent());
        CPPUNIT_ASSERT(route.objective == std::chrono::milliseconds{1'000});
        const auto* service = current->find_service("s");
        CPPUNIT_ASSERT(service->has_engines);
        CPPUNIT_ASSERT_EQUAL(std::size_t{17}, service->engines.adapter_slots);
        CPPUNIT_ASSERT(service->engines.find("m")->load_time == std::chrono::milliseconds{600});
        CPPUNIT_ASSERT(current->limits.idle_timeout == std::chrono::milliseconds{9'000});
    }

    void configuration_has_tenants_with_quotas() {
        const auto current = decode_configuration(R"({"version":7,"routes":[
            {"name":"r","path-prefix":"/p/","kind":"safe","service":"s","anon":true}],
            "tenants":[{"name":"a","api-keys":["k1","k2",3,""],"priority":1,"unit":"tokens",
            "plain-tokens":200,"rate-per-s":394957,"burst":1000}]})");
        const auto* tenant = current->find_tenant("a");
        CPPUNIT_ASSERT(current->has_tenants && tenant != nullptr);
        CPPUNIT_ASSERT(current->routes.at(0).anonymous);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tenant->keys.size());
        CPPUNIT_ASSERT_EQUAL(1, tenant->priority.value());
        CPPUNIT_ASSERT(tenant->unit == fleet::quota_unit::tokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, tenant->plain_call_tokens);
        CPPUNIT_ASSERT_EQUAL(394'957.0, tenant->rate_per_s);
        CPPUNIT_ASSERT(!decode_configuration(R"({"version":1})")->has_tenants);
        CPPUNIT_ASSERT(decode_configuration(R"({"version":1,"tenants":[]})")->has_tenants);
    }

    /// Guards against a name that adds lines to the head of forwarded calls.
    void tenant_whose_name_cannot_be_a_header_is_skipped() {
        const auto current = decode_configuration(R"({"version":1,"tenants":[
            {"name":"a\r\nHold: h","api-keys":["k"]},{"name":"","api-keys":["l"]},7]})");
        CPPUNIT_ASSERT(current->has_tenants && current->tenants.empty());
    }

    void route_of_unknown_kind_is_skipped() {
        const auto current = decode_configuration(
            R"({"version":1,"routes":[{"name":"r","path-prefix":"/p/","kind":"new","service":"s"}]})");
        CPPUNIT_ASSERT(current->routes.empty());
    }

    void malformed_configuration_is_rejected() {
        CPPUNIT_ASSERT(!decode_configuration("[1]"));
        CPPUNIT_ASSERT(!decode_configuration("{\"version\":"));
        CPPUNIT_ASSERT(!decode_configuration("{}"));
    }

    void endpoint_has_adapters_with_versions() {
        const auto record = decode_endpoint("i-1", R"({"service":"s","addr":"10.0.0.1:80",
            "zone":"z","slots":64,"state":"draining","seq":4,"born":1700000000000,
            "models":[{"name":"m","version":1,"adapters":["a3@12"]}]})");
        CPPUNIT_ASSERT(record->draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, record->orders_accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'700'000'000'000}, record->started_ms);
        CPPUNIT_ASSERT_EQUAL(std::string("a3"), record->models.at(0).adapters.at(0).name);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, record->models.at(0).adapters.at(0).version);
    }

    /// Guards against calls to an address that comes from a malformed entry.
    void malformed_endpoint_entry_is_rejected() {
        const std::vector<std::string> entries{
            "\xff\xfe", "{}", R"({"service":"s","addr":"10.0.0.1:80","slots":4,"state":"odd"})",
            R"({"service":"s","addr":7,"slots":4,"state":"ready"})",
            R"({"service":"s","addr":"10.0.0.1:80","slots":"4","state":"ready"})"};
        for (const auto& entry : entries) {
            CPPUNIT_ASSERT(!decode_endpoint("i-1", entry));
        }
    }

    /// Each entry differs from a sound one in one field. Such an entry names no endpoint.
    void entry_with_one_odd_field_is_used_as_an_endpoint() {
        const support::json sound{{"service", "s"},    {"addr", "10.0.0.1:80"},
                                  {"zone", "z"},       {"slots", 4},
                                  {"state", "ready"},  {"seq", 3},
                                  {"born", 1'700'000}, {"models", support::json::array()}};
        CPPUNIT_ASSERT(decode_endpoint("i-1", sound.dump()));
        const std::vector<std::pair<std::string, support::json>> odd{{"addr", "10.0.0.1:99999"},
                                                                     {"addr", "10.0.0.1:-1"},
                                                                     {"addr", "10.0.0.1:0"},
                                                                     {"addr", "10.0.0.1"},
                                                                     {"addr", "host:80"},
                                                                     {"addr", 80},
                                                                     {"zone", 7},
                                                                     {"zone", ""},
                                                                     {"slots", 1e30},
                                                                     {"slots", -4},
                                                                     {"slots", 1.5},
                                                                     {"slots", 1'000'000'000},
                                                                     {"seq", "3"},
                                                                     {"seq", 1e30},
                                                                     {"seq", -1},
                                                                     {"born", "1"},
                                                                     {"born", 1e30},
                                                                     {"born", 1.5},
                                                                     {"service", 5},
                                                                     {"state", "odd"},
                                                                     {"models", 5}};
        for (const auto& [name, value] : odd) {
            auto entry = sound;
            entry[name] = value;
            CPPUNIT_ASSERT_MESSAGE(entry.dump(), !decode_endpoint("i-1", entry.dump()));
        }
        for (const auto* name : {"service", "addr", "zone", "slots", "state"}) {
            auto entry = sound;
            entry.erase(name);
            CPPUNIT_ASSERT_MESSAGE(entry.dump(), !decode_endpoint("i-1", entry.dump()));
        }
        auto text = sound.dump();
        text.insert(text.size() - 1, R"(,"x":1e999)");
        CPPUNIT_ASSERT(!decode_endpoint("i-1", text));
    }

    void call_has_model_adapter_and_prompt() {
        const auto call = decode_call(request());
        CPPUNIT_ASSERT_EQUAL(std::string("m"), call.model.model);
        CPPUNIT_ASSERT_EQUAL(std::string("a3"), call.model.adapter);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1'460}, call.prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, call.output_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x5c1e07a2}, call.prompt.at(0).id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{410}, call.prompt.at(1).tokens);
        CPPUNIT_ASSERT(call.caller_timeout == std::chrono::milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::string("/p/x"), call.path);
    }

    /// Guards against a caller that sets system headers to take over the memory or the place of
    /// another
    /// call.
    void forwarded_call_replaces_the_system_headers() {
        auto call = request();
        call.headers["Hold"] = "h-1";
        call.headers["Kv-From"] = "10.0.0.1:80/h";
        added_call_headers added;
        added.endpoint = "i-1";
        added.remaining = std::chrono::milliseconds{700};
        const auto text = render_call(call, added);
        CPPUNIT_ASSERT(text.find("Deadline-Ms: 700\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Deadline-Ms: 5000") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Expect-Instance: i-1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Hold") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Kv-From") == std::string::npos);
        CPPUNIT_ASSERT(text.starts_with("POST /p/x?q=1 HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nbody"));
    }

    void forwarded_call_drops_headers_of_its_connection() {
        auto call = request();
        call.headers["Connection"] = "close, X-Hop";
        call.headers["X-Hop"] = "1";
        call.headers["X-Kept"] = "1";
        const auto text = render_call(call, {});
        CPPUNIT_ASSERT(text.find("X-Hop") == std::string::npos);
        CPPUNIT_ASSERT(text.find("X-Kept: 1\r\n") != std::string::npos);
    }

    void misdirected_response_counts_as_not_run() {
        CPPUNIT_ASSERT(metadata_of(421, {}).not_run);
        CPPUNIT_ASSERT(metadata_of(503, {{"Not-Run", "1"}}).not_run);
        CPPUNIT_ASSERT(!metadata_of(503, {}).not_run);
        // The header contradicts these statuses: the call may have run.
        for (const int status : {200, 404, 500, 502, 504}) {
            CPPUNIT_ASSERT(!metadata_of(status, {{"Not-Run", "1"}}).not_run);
        }
        CPPUNIT_ASSERT(metadata_of(200, {{"Server-Stamp", "x"}}).has_signature);
    }

    void resolve_response_has_addresses_and_seconds() {
        const std::vector<std::string> addresses{"10.0.0.1:80"};
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"addrs":["10.0.0.1:80"],"ttl-s":2})"),
                             render_addresses(addresses, std::chrono::milliseconds{2'000}));
        CPPUNIT_ASSERT_EQUAL(std::string("north-a"),
                             requested_data_centre("/x?name=n&region=r&zone=north-a"));
    }

private:
    static net::http_request request() {
        net::http_request call;
        call.method = "POST";
        call.target = "/p/x?q=1";
        call.headers = {{"Host", "h"},
                        {"Request-Id", "9c41"},
                        {"Model", "m/a3"},
                        {"Token-Usage", "1460,80"},
                        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                        {"Deadline-Ms", "5000"}};
        call.body = "body";
        return call;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_test);

} // namespace
