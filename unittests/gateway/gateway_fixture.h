#pragma once

#include "dragonflystair/gateway/gateway.h"

#include "endpoint_stand_in.h"
#include "net/scripted_peer.h"
#include "net/test_context.h"
#include "store_stand_in.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

constexpr milliseconds generous_timeout{20'000};
/// Keeps the end of tests short: little more than the margin that a node reserves for the last
/// responses.
constexpr milliseconds short_shutdown{1'600};

/// Redirects the standard output of the process to a file during its lifetime.
class captured_output {
public:
    captured_output() : saved_(::dup(STDOUT_FILENO)) {
        std::fflush(stdout);
        const int file = ::mkstemp(path_.data());
        ::dup2(file, STDOUT_FILENO);
        ::close(file);
    }
    ~captured_output() {
        std::fflush(stdout);
        ::dup2(saved_, STDOUT_FILENO);
        ::close(saved_);
        ::unlink(path_.c_str());
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    /// Returns the number of lines so far that contain all words.
    int count(std::initializer_list<std::string_view> words) const {
        std::fflush(stdout);
        std::ifstream file(path_);
        int lines = 0;
        for (std::string line; std::getline(file, line);) {
            const bool all = std::ranges::all_of(
                words, [&](auto word) { return line.find(word) != std::string::npos; });
            lines += all ? 1 : 0;
        }
        return lines;
    }

    /// Waits for at least `lines` such lines and fails the test if they do not appear in time.
    void expect(std::initializer_list<std::string_view> words, int lines = 1) const {
        for (int attempt = 0; attempt < 2'000; ++attempt) {
            if (count(words) >= lines) {
                return;
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        std::string text = "no log line with";
        for (const auto word : words) {
            text.append(" ").append(word);
        }
        CPPUNIT_FAIL(text);
    }

private:
    std::string path_ = "/tmp/gateway_test_XXXXXX";
    int saved_;
};

/// A complete gateway with stand-ins of the platform's store and of endpoints.
class gateway_fixture : public CppUnit::TestFixture {
public:
    /// The configuration is in the store when a test begins; none if it is empty.
    explicit gateway_fixture(std::string configuration = {})
        : configuration_(std::move(configuration)) {}

    void setUp() override {
        output = std::make_unique<captured_output>();
        context = std::make_unique<net::test_context>();
        store = std::make_unique<store_stand_in>(context->get());
        client = std::make_unique<net::http_client>(context->get());
        if (!configuration_.empty()) {
            store->put("keyed.op", "config", configuration_);
        }
    }

    void tearDown() override {
        stop_threads();
        endpoints.clear();
        client.reset();
        store.reset();
        context.reset();
        output.reset();
        reloaded.reset();
        ended = false;
        shutdown_timeout = short_shutdown;
    }

protected:
    /// Stops the gateway and the threads that may still run handlers of stand-ins.
    void stop_threads() {
        if (running.joinable()) {
            if (!ended) {
                ::kill(::getpid(), SIGTERM);
            }
            running.join();
        }
        context->stop();
    }

    config::gateway_settings settings_of(const std::string& name) const {
        config::gateway_settings settings;
        settings.name = name;
        settings.data_centre = "north";
        settings.region = "n";
        settings.data_centres = {{"north", "n"}};
        settings.store_address = store->address();
        settings.peer_secret = "secret";
        settings.engines_check_fencing = true;
        settings.shutdown_timeout = shutdown_timeout;
        for (auto* listen_address :
             {&settings.caller_address, &settings.ready_address, &settings.resolve_address,
              &settings.peer_address, &settings.metrics_address}) {
            *listen_address = "127.0.0.1:0";
        }
        return settings;
    }

    /// Returns the settings of a node that gets the records of this node.
    config::gateway_settings peer_settings_of(const std::string& name) const {
        auto settings = settings_of(name);
        settings.peers = {peer_address};
        return settings;
    }

    /// Starts the stand-in of an endpoint, which is not yet in the store.
    endpoint_stand_in&
    add_endpoint(const std::string& id,
                 endpoint_stand_in::call_handler on_call = endpoint_stand_in::answer_with("")) {
        auto& endpoint = endpoints[id];
        endpoint = std::make_unique<endpoint_stand_in>(context->get(), std::move(on_call));
        return *endpoint;
    }

    void put_endpoint(const std::string& id, const std::string& state,
                      const std::string& service = "register", int heartbeat = 0) {
        put_record(id, endpoints.at(id)->address(), service, state, heartbeat);
    }

    void put_record(const std::string& id, const std::string& endpoint_address,
                    const std::string& service = "register", const std::string& state = "ready",
                    int heartbeat = 0) {
        store->put("keyed.servers", id,
                   endpoint_record(service, endpoint_address, state, heartbeat));
    }

    /// Starts an endpoint and lists it as ready.
    void
    list_endpoint(const std::string& id, const std::string& service = "register",
                  endpoint_stand_in::call_handler on_call = endpoint_stand_in::answer_with("")) {
        add_endpoint(id, std::move(on_call));
        put_endpoint(id, "ready", service);
    }

    /// Starts the gateway and waits until it has a configuration and the number of endpoints.
    void start_gateway_with(std::size_t ready_endpoints) {
        start_gateway();
        output->expect({"event=configuration"});
        output->expect({"event=endpoint ", "state=ready"}, static_cast<int>(ready_endpoints));
    }

    /// Starts the gateway with the current records of the store.
    void start_gateway() { start_gateway(settings_of("node-1")); }

    void start_gateway(const config::gateway_settings& settings) {
        auto node = std::make_shared<dragonflystair::gateway::gateway>(settings,
                                                                       [this] { return reloaded; });
        address = node->caller_address();
        peer_address = node->peer_address();
        running = std::thread([this, node] {
            node->run();
            ended = true;
        });
    }

    net::async_result<net::http_response> send(const std::string& path, const std::string& id,
                                               const std::string& model = {},
                                               milliseconds patience = milliseconds{9'000}) {
        net::http_headers headers{{"Deadline-Ms", std::to_string(patience.count())}};
        if (!model.empty()) {
            headers["Model"] = model;
        }
        return send_with(std::move(headers), path, id);
    }

    /// Sends a call with headers besides the usual ones, which they take precedence of.
    net::async_result<net::http_response> send_with(net::http_headers headers,
                                                    const std::string& path, const std::string& id,
                                                    const std::string& body = {}) {
        headers.insert({{"Host", "desk"}, {"Request-Id", id}, {"Deadline-Ms", "9000"}});
        net::http_request request;
        request.method = "POST";
        request.target = path;
        request.headers = std::move(headers);
        request.body = body;
        return context->run(client->request(address, request, generous_timeout, false));
    }

    /// Sends a call on a connection of its own, which the node is to close after its answer.
    net::raw_connection open_call(const std::string& path, const std::string& id,
                                  milliseconds patience, const std::string& version = "1.1",
                                  const std::string& body = {}) const {
        auto connection = net::raw_connection::to(address);
        connection.write("POST " + path + " HTTP/" + version + "\r\nHost: desk\r\nRequest-Id: " +
                         id + "\r\nDeadline-Ms: " + std::to_string(patience.count()) +
                         "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
        return connection;
    }

    net::http_response call(const std::string& path, const std::string& id,
                            const std::string& model = {}) {
        const auto answer = send(path, id, model);
        CPPUNIT_ASSERT(answer);
        return answer.value();
    }

    std::unique_ptr<captured_output> output;
    std::unique_ptr<net::test_context> context;
    std::unique_ptr<store_stand_in> store;
    std::unique_ptr<net::http_client> client;
    std::map<std::string, std::unique_ptr<endpoint_stand_in>> endpoints; ///< By their ids.
    std::string address;
    std::string peer_address;
    std::optional<config::gateway_settings> reloaded; ///< Settings that a reload returns.
    milliseconds shutdown_timeout = short_shutdown;
    std::thread running;
    std::atomic<bool> ended{false}; ///< Then a signal would end the test process itself.

private:
    std::string configuration_;
};

/// A second gateway in this process. It stops together with the first one, since both get the
/// signal.
struct second_node {
    second_node(const config::gateway_settings& settings, std::thread& first)
        : node(settings, [] { return std::nullopt; }), first_run(first),
          run([this] { node.run(); }) {}
    ~second_node() {
        ::kill(::getpid(), SIGTERM);
        run.join();
        first_run.join();
    }
    second_node(const second_node&) = delete;
    second_node& operator=(const second_node&) = delete;

    dragonflystair::gateway::gateway node;
    std::thread& first_run;
    std::thread run;
};

} // namespace dragonflystair::gateway
