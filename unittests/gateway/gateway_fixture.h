#pragma once

#include "dragonflystair/gateway/gateway.h"

#include "endpoint_stand_in.h"
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
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>

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

/// A complete gateway with a stand-in of the platform's store.
class gateway_fixture : public CppUnit::TestFixture {
public:
    void setUp() override {
        output = std::make_unique<captured_output>();
        context = std::make_unique<net::test_context>();
        store = std::make_unique<store_stand_in>(context->get());
        client = std::make_unique<net::http_client>(context->get());
    }

    void tearDown() override {
        stop_threads();
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
        net::http_request request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Host", "desk"},
                           {"Request-Id", id},
                           {"Deadline-Ms", std::to_string(patience.count())}};
        if (!model.empty()) {
            request.headers["Model"] = model;
        }
        return context->run(client->request(address, request, generous_timeout, false));
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
    std::string address;
    std::string peer_address;
    std::optional<config::gateway_settings> reloaded; ///< Settings that a reload returns.
    milliseconds shutdown_timeout = short_shutdown;
    std::thread running;
    std::atomic<bool> ended{false}; ///< Then a signal would end the test process itself.
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
