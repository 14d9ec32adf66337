#include "restored_store_fixture.h"

#include <atomic>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

/// Calls with keys of tenants, from the caller to the endpoint.
class tenant_keys_test : public restored_store_fixture {
    CPPUNIT_TEST_SUITE(tenant_keys_test);
    CPPUNIT_TEST(endpoint_gets_tenant_and_never_the_key);
    CPPUNIT_TEST(call_without_valid_key_is_refused_before_it_runs);
    CPPUNIT_TEST(revoked_key_is_refused_and_other_keys_stay_valid);
    CPPUNIT_TEST(node_that_lost_the_store_refuses_keys_and_accepts_them_when_it_is_back);
    CPPUNIT_TEST(node_that_follows_a_peer_accepts_and_refuses_keys_like_its_reader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// UNASKED: a caller that names a tenant, in any case and twice, gets its own all the same.
    void endpoint_gets_tenant_and_never_the_key() {
        start(5'000);
        const auto answer = keyed({{"API-KEY", "alpha"}, {"tENANT", "beta"}, {"Tenant", "beta"}});
        CPPUNIT_ASSERT_EQUAL(200, answer);
        const auto seen = last_headers();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), seen.at("Tenant"));
        CPPUNIT_ASSERT(!seen.contains("Api-Key"));
        CPPUNIT_ASSERT_EQUAL(200, keyed({{"Api-Key", "none"}, {"Tenant", "b"}}, "/open/1"));
        CPPUNIT_ASSERT(!last_headers().contains("Tenant"));
        CPPUNIT_ASSERT(!last_headers().contains("Api-Key"));
        CPPUNIT_ASSERT_EQUAL(0, output->count({"alpha"}));
    }

    /// ROUTE: no key that no configuration ever held runs.
    void call_without_valid_key_is_refused_before_it_runs() {
        start(5'000);
        CPPUNIT_ASSERT_EQUAL(401, keyed({}));
        CPPUNIT_ASSERT_EQUAL(401, keyed({{"Api-Key", ""}}));
        CPPUNIT_ASSERT_EQUAL(401, keyed({{"Api-Key", "alph"}}));
        CPPUNIT_ASSERT_EQUAL(401, keyed({{"Api-Key", "alpha\xff"}}));
        // A control character is no HTTP.
        CPPUNIT_ASSERT_EQUAL(400, keyed({{"Api-Key", "alpha\x01"}}));
        CPPUNIT_ASSERT_EQUAL(404, keyed({{"Api-Key", "alpha"}}, "/none/1"));
        CPPUNIT_ASSERT_EQUAL(0, runs_.load());
    }

    void revoked_key_is_refused_and_other_keys_stay_valid() {
        start(5'000);
        CPPUNIT_ASSERT_EQUAL(200, keyed({{"Api-Key", "alpha"}}));
        put_tenants(4, {"gamma"});
        expect_configuration(4);
        CPPUNIT_ASSERT_EQUAL(401, keyed({{"Api-Key", "alpha"}}));
        CPPUNIT_ASSERT_EQUAL(200, keyed({{"Api-Key", "gamma"}}));
        CPPUNIT_ASSERT_EQUAL(200, keyed({{"Api-Key", "beta"}}));
    }

    /// CONFIG: a node that cannot know which keys were revoked must not accept them for good.
    void node_that_lost_the_store_refuses_keys_and_accepts_them_when_it_is_back() {
        start(1'000);
        store->set_mode(store_mode::disconnect);
        eventually("refusal of keys", [&] { return keyed({{"Api-Key", "alpha"}}) == 503; });
        CPPUNIT_ASSERT_EQUAL(200, keyed({}, "/open/1"));
        put_tenants(4, {"gamma"});
        store->set_mode(store_mode::serve);
        eventually("key is valid again", [&] { return keyed({{"Api-Key", "gamma"}}) == 200; });
        CPPUNIT_ASSERT_EQUAL(401, keyed({{"Api-Key", "alpha"}}));
    }

    /// The second node of a data centre does not read the store itself.
    void node_that_follows_a_peer_accepts_and_refuses_keys_like_its_reader() {
        start(1'000);
        auto settings = reachable_settings_of("node-2");
        settings.revocation_timeout = milliseconds{1'000};
        const second_node second(settings, running);
        const auto first_address = std::exchange(address, second.node.caller_address());
        eventually("second node accepts", [&] { return keyed({{"Api-Key", "alpha"}}) == 200; });
        output->expect({"event=peer_regained"}, 2);
        for (int i = 0; i < many_calls; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, keyed({{"Api-Key", "alpha"}}));
            std::this_thread::sleep_for(milliseconds{100});
        }
        put_tenants(4, {"gamma"});
        expect_configuration(4, 2);
        CPPUNIT_ASSERT_EQUAL(401, keyed({{"Api-Key", "alpha"}}));
        store->set_mode(store_mode::disconnect);
        eventually("second node refuses", [&] { return keyed({{"Api-Key", "gamma"}}) == 503; });
        address = first_address;
        eventually("first node refuses", [&] { return keyed({{"Api-Key", "gamma"}}) == 503; });
    }

private:
    void start(int revocation_ms) {
        put_tenants(3, {"alpha"});
        list_endpoint("i-1", "register",
                      [this](net::http_exchange& exchange) { return serve(exchange); });
        auto settings = reachable_settings_of("node-1");
        settings.revocation_timeout = milliseconds{revocation_ms};
        start_gateway(settings);
        expect_configuration(3);
        expect_endpoint("i-1", "ready");
    }

    net::awaitable<void> serve(net::http_exchange& exchange) {
        {
            const std::lock_guard lock(mutex_);
            headers_ = exchange.request().headers;
        }
        ++runs_;
        co_await exchange.respond(endpoint_stand_in::signed_head(exchange));
    }

    net::http_headers last_headers() const {
        const std::lock_guard lock(mutex_);
        return headers_;
    }

    /// Writes a configuration in which tenant `a` has these keys and tenant `b` the key `beta`.
    void put_tenants(int version, const std::vector<std::string>& keys) {
        auto value = support::json::parse(configuration_with(version, {"open"}));
        value["routes"][1]["anon"] = true;
        value["tenants"] = {{{"name", "a"}, {"api-keys", keys}},
                            {{"name", "b"}, {"api-keys", {"beta"}}}};
        store->put("keyed.op", "config", value.dump());
    }

    int keyed(const net::http_headers& headers, const std::string& path = "/stamps/1") {
        const auto answer = send_with(headers, path, "k-" + std::to_string(++calls_));
        return answer ? answer.value().status : 0;
    }

    mutable std::mutex mutex_;
    net::http_headers headers_;
    std::atomic<int> runs_{0};
    int calls_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_keys_test);

} // namespace
