#include "call_relay.h"
#include "fleet/samples.h"
#include "net/exchange_stand_in.h"
#include "net/scripted_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using std::chrono::milliseconds;

std::shared_ptr<const fleet::configuration> sample_configuration() {
    auto current = std::make_shared<fleet::configuration>();
    fleet::service assistant;
    assistant.name = "assistant";
    assistant.has_engines = true;
    current->services = {{"assistant", assistant}};
    fleet::route answers;
    answers.name = "answers";
    answers.host = "desk";
    answers.path_prefix = "/answers/";
    answers.attempts = 2;
    answers.services = {{"assistant", 1}};
    current->routes = {answers};
    return current;
}

config::gateway_settings sample_settings() {
    config::gateway_settings settings;
    settings.name = "one";
    settings.data_centre = "north";
    settings.data_centres = {{"north", "n"}};
    return settings;
}

/// Reports of a node to the lead that places its calls.
class reported_outcome_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reported_outcome_test);
    CPPUNIT_TEST(outcome_of_first_placement_is_not_reported_for_second);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a lead that takes an adapter as absent from an engine that was sent nothing:
    /// the caller disconnects while the call waits for its second engine.
    void outcome_of_first_placement_is_not_reported_for_second() {
        net::scripted_server engine({[](net::raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: call\r\n"
                             "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            connection.read_all();
        }});
        add_engine(engine.address());
        net::http_request request;
        request.target = "/answers/1";
        request.headers = {{"Host", "desk"}, {"Request-Id", "call"}, {"Model", "base/patterns"}};
        net::exchange_stand_in caller(std::move(request));
        bool served = false;
        boost::asio::co_spawn(io_, relay_.serve(caller),
                              [&](const std::exception_ptr&) { served = true; });
        run_until([&] { return count("p") == 1; });
        placement_answer placed;
        placed.decision.number = 1;
        placed.decision.endpoint = "engine";
        placer_.on_placement_answer(placement_answer_frame(placed));
        run_until([&] { return count("p") == 2; });
        caller.disconnect();
        run_until([&] { return served; });
        // The engine reads until the connection closes.
        view_.endpoints.close_idle(engine.address());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcomes().size());
        CPPUNIT_ASSERT_MESSAGE("first placement", send_outcome::not_resident == outcomes()[0]);
        CPPUNIT_ASSERT_MESSAGE("second placement", send_outcome::none == outcomes()[1]);
    }

private:
    void add_engine(const std::string& address) {
        view_.configuration = sample_configuration();
        view_.dispatcher.configure(*view_.configuration);
        auto record = fleet::sample_endpoint("engine", "assistant", 1);
        record.address = address;
        view_.dispatcher.update(record);
    }

    void run_until(const std::function<bool()>& done) {
        io_.restart();
        while (!done()) {
            io_.run_one();
        }
    }

    [[nodiscard]] std::size_t count(std::string_view type) const {
        std::size_t found = 0;
        for (const auto& frame : frames_) {
            found += frame.at("type") == type ? 1 : 0;
        }
        return found;
    }

    /// Returns the outcomes that were reported, in order.
    [[nodiscard]] std::vector<send_outcome> outcomes() const {
        std::vector<send_outcome> result;
        for (const auto& frame : frames_) {
            if (frame.at("type") == "f") {
                result.push_back(decode_placement_end(frame)->outcome);
            }
        }
        return result;
    }

    boost::asio::io_context io_{1};
    std::vector<support::json> frames_;
    fleet::topology topology_{"north", {{"north", "n"}}};
    support::counters counters_;
    support::latency_histogram latency_;
    node_view view_{sample_settings(),
                    "one",
                    io_.get_executor(),
                    topology_,
                    counters_,
                    latency_,
                    nullptr,
                    fleet::dispatcher(topology_),
                    fleet::retry_allowance({0.2, 50, milliseconds{10'000}}),
                    fleet::endpoint_backoff("one"),
                    net::exchange_client(io_.get_executor(), "Request-Id"),
                    1,
                    false};
    call_placer placer_{view_,
                        {[this](std::string_view /*peer*/, const support::json& frame) {
                             frames_.push_back(frame);
                             return true;
                         },
                         [](std::string_view) { return std::string("lead"); },
                         [] { return std::string("lead"); },
                         [this](const auto& decision) { relay_.decide(decision); }, [] {},
                         [] { return support::boot_clock::now(); }}};
    call_relay relay_{view_,
                      placer_,
                      {[](std::string_view, std::uint64_t, const auto&, support::time_point) {},
                       [] { return false; }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(reported_outcome_test);

} // namespace
