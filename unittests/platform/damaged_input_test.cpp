#include "dragonflystair/net/http_client.h"

#include "net/scripted_peer.h"
#include "net/test_context.h"
#include "platform/decode.h"
#include "platform/store_client.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;

constexpr std::string_view sample_text =
    R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/","kind":"stream",
    "timeout-ms":6000,"slo-ms":1000,"split":[{"service":"s","weight":90}],"attempts":2}],
    "services":[{"name":"s","engine":{"slots":64,"weights-mb":75300.0,"adapter-slots":17,"models":
    [{"name":"m","weights-mb":72700.0,"load-s":0.6,"adapter-mb":66.0}]}}],"limits":{},
    "service":"s","addr":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","seq":3,"born":1,
    "models":[{"name":"m","version":1,"adapters":["a@1"]}],"pending":["a@2"],"orders":9})";

/// Malformed texts from the platform are rejected; they cause neither an exception nor a crash.
class damaged_input_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(damaged_input_test);
    CPPUNIT_TEST(malformed_texts_cause_no_exception);
    CPPUNIT_TEST(deeply_nested_texts_do_not_overflow_the_stack);
    CPPUNIT_TEST(malformed_newest_records_are_an_error);
    CPPUNIT_TEST(newest_records_with_repeated_key_are_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void malformed_texts_cause_no_exception() {
        constexpr int texts = 3'000;
        std::mt19937 random(20261204); // NOLINT(cert-msc51-cpp): the same texts in each run.
        for (int i = 0; i < texts; ++i) {
            const auto text = mutated(random);
            decode_all(text);
        }
    }

    void deeply_nested_texts_do_not_overflow_the_stack() {
        constexpr std::size_t levels = 1'000'000;
        const std::string opened = R"({"routes":)" + std::string(levels, '[');
        decode_all(opened);
        decode_all(opened + std::string(levels, ']') + "}");
    }

    /// Guards against an exception that permanently stops the reader of a topic.
    void malformed_newest_records_are_an_error() {
        for (const std::string body :
             {R"([])", R"({"items":5})", R"({"items":[5]})", R"({"items":[{"key":5}]})",
              R"({"items":[{"key":"k","offset":"5"}]})", R"({"items":[],"end":"5"})",
              R"({"items":[{"key":"k","offset":5,"value":{}}]})", "no JSON"}) {
            const auto answer = newest({body});
            CPPUNIT_ASSERT_MESSAGE(body, !answer);
            CPPUNIT_ASSERT_MESSAGE(body, answer.error().kind == support::error_kind::malformed);
        }
    }

    void newest_records_with_repeated_key_are_an_error() {
        const std::string body =
            R"({"items":[{"key":"k","offset":5,"value":""}],"has-more":true,"end":6})";
        CPPUNIT_ASSERT(!newest({body, body, body, body}));
    }

private:
    /// Returns the sample with a few bytes changed, removed, repeated or added.
    static std::string mutated(std::mt19937& random) {
        static constexpr std::string_view pieces = "{}[]\",:0-e\\\x01\xff";
        std::string text(sample_text);
        for (auto change = random() % 6 + 1; change > 0 && !text.empty(); --change) {
            const auto position = random() % text.size();
            const auto length = random() % 12;
            switch (random() % 4) {
            case 0:
                text[position] = pieces[random() % pieces.size()];
                break;
            case 1:
                text.erase(position, length);
                break;
            case 2:
                text.insert(random() % text.size(), text.substr(position, length));
                break;
            default:
                text.insert(position, 1, pieces[random() % pieces.size()]);
            }
        }
        return text;
    }

    static void decode_all(std::string_view text) {
        decode_configuration(text);
        decode_endpoint("i-1", text);
        decode_report(text);
        decode_version(text);
        net::http_request call;
        for (const auto* name : {"Model", "Token-Usage", "Prompt-Prefix", "Deadline-Ms"}) {
            call.headers[name] = std::string(text.substr(0, 40));
        }
        decode_call(call);
    }

    /// Reads the newest records from a store that responds with these bodies, one per connection.
    net::async_result<fleet::keyed_page> newest(const std::vector<std::string>& bodies) {
        std::vector<net::scripted_server::script> scripts;
        scripts.reserve(bodies.size());
        for (const auto& body : bodies) {
            scripts.emplace_back([body](net::raw_connection& connection) {
                connection.read_until("\r\n\r\n");
                connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
            });
        }
        net::scripted_server server(std::move(scripts));
        net::test_context context;
        net::http_client http(context.get());
        store_client store(http, server.address());
        auto answer = context.run(store.newest("keyed.op"));
        context.stop();
        return answer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(damaged_input_test);

} // namespace
