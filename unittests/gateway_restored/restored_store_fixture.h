#pragma once

#include "gateway_fixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

inline constexpr std::uint64_t first_era = 3;

/// Returns a configuration with the route /stamps/ of the service `register`, one more route of it
/// for each name, and a service with engines.
inline std::string configuration_with(int version, const std::vector<std::string>& names = {}) {
    auto routes = support::json::array();
    const auto add_route = [&](const std::string& name, const char* kind, const char* service) {
        routes.push_back({{"name", name},
                          {"host", "desk"},
                          {"path-prefix", "/" + name + "/"},
                          {"kind", kind},
                          {"timeout-ms", 9'000},
                          {"slo-ms", 300},
                          {"attempts", 1},
                          {"service", service}});
    };
    add_route("stamps", "unsafe", "register");
    for (const auto& name : names) {
        add_route(name, "unsafe", "register");
    }
    add_route("patterns", "stream", "assistant");
    const auto engine = support::json::parse(R"({"slots":4,"weights-mb":100,"adapter-slots":8,
        "models":[{"name":"base","weights-mb":50,"adapter-mb":1}]})");
    return support::json{
        {"version", version},
        {"routes", routes},
        {"services", {{{"name", "register"}}, {{"name", "assistant"}, {"engine", engine}}}}}
        .dump();
}

/// A local address that no other socket gets until this process listens on it. It is known before
/// the gateway that registers it is created.
class reserved_address {
public:
    reserved_address() : socket_(context_, boost::asio::ip::tcp::v4()) {
        socket_.set_option(boost::asio::socket_base::reuse_address(true));
        socket_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    }

    [[nodiscard]] std::string text() const {
        return "127.0.0.1:" + std::to_string(socket_.local_endpoint().port());
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

/// Gateways whose store is restored from a copy that lacks its newest records.
class restored_store_fixture : public gateway_fixture {
public:
    restored_store_fixture() : gateway_fixture(configuration_with(3)) {}

    void setUp() override {
        gateway_fixture::setUp();
        store->set_era(first_era);
    }

protected:
    /// Calls to each endpoint that a test makes to show that one of them gets none.
    static constexpr int many_calls = 20;

    /// Waits for a state that must come, and fails the test if it does not come in time.
    static void eventually(const std::string& what, const std::function<bool()>& holds) {
        const auto end = support::boot_clock::now() + generous_timeout;
        while (!holds()) {
            CPPUNIT_ASSERT_MESSAGE("never: " + what, support::boot_clock::now() < end);
            std::this_thread::sleep_for(milliseconds{10});
        }
    }

    /// Returns settings with an address at which other gateways that find it in the store reach the
    /// gateway.
    config::gateway_settings reachable_settings_of(const std::string& name) {
        auto settings = settings_of(name);
        settings.peer_address = addresses_[name].text();
        return settings;
    }

    void expect_endpoint(const std::string& id, const std::string& state, int nodes = 1) const {
        output->expect({"event=endpoint ", "endpoint=" + id + " ", "state=" + state}, nodes);
    }

    void put_configuration(int version, const std::vector<std::string>& names = {}) {
        store->put("keyed.op", "config", configuration_with(version, names));
    }

    void expect_configuration(int version, int nodes = 1) const {
        output->expect({"event=configuration ", "version=" + std::to_string(version) + " "}, nodes);
    }

    /// Writes a heartbeat of an endpoint that no call uses, and waits until the gateways have
    /// applied it, and with it all earlier records of the topic.
    void expect_endpoints_are_read(int nodes = 1) {
        const auto id = "marker-" + std::to_string(++markers_);
        store->put("keyed.servers", id, endpoint_record("unused", "127.0.0.1:1", "ready"));
        expect_endpoint(id, "ready", nodes);
    }

    /// Does the same for the operator's records, by a version of an adapter that no call uses.
    void expect_operator_records_are_read(int nodes = 1) {
        const auto adapter = "marker-" + std::to_string(++markers_);
        store->put("keyed.op", "version/base." + adapter,
                   support::json{{"model", "base"}, {"adapter", adapter}, {"version", 1}}.dump());
        output->expect({"event=adapter_version ", "adapter=base/" + adapter + " "}, nodes);
    }

    /// Calls a route of `register` many times and expects that each call is served.
    void expect_served(const std::string& path) {
        for (int number = 0; number < many_calls; ++number) {
            const auto id = "call-" + std::to_string(++calls_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200, call(path, id).status);
        }
    }

    /// Restores the store after an outage that the gateways notice.
    void restore_after_outage(store_copy copy, store_mode mode = store_mode::refuse) {
        const int before = output->count({"event=store_lost"});
        store->set_mode(mode);
        output->expect({"event=store_lost"}, before + 1);
        store->restore(std::move(copy));
    }

    /// Waits until a gateway has read the whole list of a topic since the last restoration.
    void expect_list_is_read(const std::string& topic) {
        eventually("a list of " + topic, [this, &topic] { return store->lists_served(topic) > 0; });
    }

private:
    std::map<std::string, reserved_address> addresses_;
    int markers_ = 0;
    int calls_ = 0;
};

} // namespace dragonflystair::gateway
