#include "dragonflystair/net/engine_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/log_client.h"
#include "dragonflystair/net/vm_list_client.h"

#include "scripted_peer.h"
#include "test_context.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace dragonflystair::net;
using dragonflystair::support::counters;
using dragonflystair::support::error_kind;
using dragonflystair::support::json;
using std::chrono::milliseconds;

constexpr milliseconds long_timeout{20'000};

class platform_clients_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_clients_test);
    CPPUNIT_TEST(append_sends_record_and_returns_offset);
    CPPUNIT_TEST(append_error_depends_on_status);
    CPPUNIT_TEST(append_of_text_that_is_not_utf8_is_malformed);
    CPPUNIT_TEST(read_returns_page);
    CPPUNIT_TEST(first_offset_is_read_from_both_responses);
    CPPUNIT_TEST(page_with_any_member_missing_or_mistyped_is_malformed);
    CPPUNIT_TEST(vm_list_with_any_member_missing_or_mistyped_is_malformed);
    CPPUNIT_TEST(engine_state_with_any_member_missing_or_mistyped_is_malformed);
    CPPUNIT_TEST(deeply_nested_response_is_malformed);
    CPPUNIT_TEST(order_error_depends_on_status);
    CPPUNIT_TEST(order_carries_adapter_and_fence);
    CPPUNIT_TEST(completion_returns_events);
    CPPUNIT_TEST(refused_completion_has_the_message);
    CPPUNIT_TEST(event_without_end_exhausts_memory);
    CPPUNIT_TEST(bytes_without_an_event_keep_a_stream_open);
    CPPUNIT_TEST(response_without_end_exceeds_the_limit_of_its_client);
    CPPUNIT_TEST_SUITE_END();

    test_context context_;
    counters counters_;
    std::mutex mutex_;
    http_response response_;
    http_request last_request_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_client> http_;

    void set_response(int status, std::string body, http_headers headers = {}) {
        const std::lock_guard lock(mutex_);
        response_ = {status, std::move(headers), std::move(body)};
    }

    http_request last_request() {
        const std::lock_guard lock(mutex_);
        return last_request_;
    }

    /// An engine answers a completion by `write_events`; the stream ends with an error.
    void expect_broken_stream(milliseconds timeout, const scripted_server::script& write_events) {
        scripted_server engine({[&](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.read_until("}"); // The whole request; closing would reset it otherwise.
            connection.write("HTTP/1.1 200 OK\r\n\r\n");
            write_events(connection);
        }});
        engine_client client(*http_);
        engine_call call{"r", {{"model", "a"}}, false, 0};
        const auto stream = context_.run(client.complete(engine.address(), call, long_timeout));
        CPPUNIT_ASSERT(stream);
        const auto event = context_.run(stream.value()->next(timeout));
        CPPUNIT_ASSERT(!event);
        stream.value()->close();
    }

    log_client log() { return {*http_, server_->address()}; }

    /// Returns the error kind of a result, or "ok".
    template <class T> static std::string kind_of(const async_result<T>& result) {
        return result ? "ok" : std::string(to_string(result.error().kind));
    }

    /// Runs `call` for the valid response, and with each of its members missing or mistyped.
    void assert_members_checked(const json& valid, const std::function<std::string()>& call) {
        set_response(200, valid.dump());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), call());
        const json flat = valid.flatten();
        for (const auto& path : flat.items()) {
            // Paths such as /records/0/offset. They and their parents cover every member.
            for (json::json_pointer at(path.key()); !at.empty(); at = at.parent_pointer()) {
                json missing = valid;
                // The names of the members of `active` are adapters, so any may be missing.
                const bool named_by_data = at.parent_pointer().to_string() == "/active";
                if (missing.at(at.parent_pointer()).is_object() && !named_by_data) {
                    missing.at(at.parent_pointer()).erase(at.back());
                    set_response(200, missing.dump());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(missing.dump(), std::string("malformed"), call());
                }
                json mistyped = valid;
                mistyped.at(at) = -1.5;
                set_response(200, mistyped.dump());
                // The payload may be any value.
                const bool any = at.back() == "payload";
                CPPUNIT_ASSERT_EQUAL_MESSAGE(mistyped.dump(), std::string(any ? "ok" : "malformed"),
                                             call());
            }
        }
        for (const auto* const text : {"", "{", "[]", "null", "\"text\""}) {
            set_response(200, text);
            CPPUNIT_ASSERT_EQUAL(std::string("malformed"), call());
        }
    }

public:
    void setUp() override {
        server_ = std::make_unique<http_server>(
            context_.get(), "127.0.0.1:0", http_server_limits{},
            [this](http_exchange& exchange) -> awaitable<void> {
                http_response response;
                {
                    const std::lock_guard lock(mutex_);
                    last_request_ = exchange.request();
                    response = response_;
                }
                co_await exchange.respond(std::move(response));
            },
            counters_);
        server_->start();
        http_ = std::make_unique<http_client>(context_.get());
    }
    void tearDown() override { context_.stop(); }

    void append_sends_record_and_returns_offset() {
        set_response(200, R"({"offset":7})");
        auto client = log();
        const auto offset = context_.run(client.append("members", "w", 3, {1, "a"}, long_timeout));
        CPPUNIT_ASSERT(offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, offset.value());
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/streams/members/append"), last_request().target);
        CPPUNIT_ASSERT(json::parse(last_request().body) ==
                       json({{"writer", "w"}, {"sequence", 3}, {"payload", {1, "a"}}}));
    }

    /// Guards against a record that is appended twice, or abandoned after it was appended.
    void append_error_depends_on_status() {
        auto client = log();
        const std::vector<std::pair<int, std::string>> kinds{{429, "rate_limited"},
                                                             {503, "unavailable"},
                                                             {500, "unknown"},
                                                             {504, "unknown"},
                                                             {400, "refused"}};
        for (const auto& [status, kind] : kinds) {
            set_response(status, "", {{"Retry-After", "2"}});
            const auto offset = context_.run(client.append("s", "w", 1, {}, long_timeout));
            CPPUNIT_ASSERT_EQUAL(kind, kind_of(offset));
            CPPUNIT_ASSERT(offset.error().retry_after == milliseconds(2'000));
        }
    }

    void append_of_text_that_is_not_utf8_is_malformed() {
        auto client = log();
        CPPUNIT_ASSERT_EQUAL(
            std::string("malformed"),
            kind_of(context_.run(client.append("s", "w", 1, json("\xff"), long_timeout))));
    }

    void read_returns_page() {
        set_response(
            200,
            R"({"first":1,"next":9,"records":[{"offset":8,"writer":"w","sequence":4,"payload":[5]}]})");
        auto client = log();
        const auto page = context_.run(client.read("s", 5, 10, milliseconds(50)));
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page.value().next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, page.value().entries.at(0).offset);
        CPPUNIT_ASSERT(page.value().entries.at(0).payload == json::array({5}));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/streams/s/records?from=5&limit=10&wait_ms=50"),
                             last_request().target);
        set_response(410, R"({"first":6})");
        CPPUNIT_ASSERT_EQUAL(std::string("gone"),
                             kind_of(context_.run(client.read("s", 5, 10, {}))));
    }

    void first_offset_is_read_from_both_responses() {
        auto client = log();
        set_response(410, R"({"first":6})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, context_.run(client.first_offset("s")).value());
        set_response(200, R"({"first":0,"next":0,"records":[]})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, context_.run(client.first_offset("s")).value());
    }

    void page_with_any_member_missing_or_mistyped_is_malformed() {
        auto client = log();
        assert_members_checked(
            json::parse(
                R"({"first":1,"next":9,"records":[{"offset":8,"writer":"w","sequence":4,"payload":5}]})"),
            [&] { return kind_of(context_.run(client.read("s", 0, 1, {}))); });
    }

    void vm_list_with_any_member_missing_or_mistyped_is_malformed() {
        vm_list_client client(*http_, server_->address());
        assert_members_checked(
            json::parse(
                R"({"vms":[{"id":"v","address":"a","data_centre":"d","service":"s","state":"leaving"}]})"),
            [&] { return kind_of(context_.run(client.list(long_timeout))); });
        set_response(200, R"({"vms":[{"id":"v","address":"a","data_centre":"d","service":"s",
                        "state":"other"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"),
                             kind_of(context_.run(client.list(long_timeout))));
    }

    void engine_state_with_any_member_missing_or_mistyped_is_malformed() {
        engine_client client(*http_);
        assert_members_checked(
            json::parse(
                R"({"start":"x","model":"m","slots":4,"batch_limit":8,"running":1,"queued":0,
                    "resident":["a"],"active":{"a":1}})"),
            [&] { return kind_of(context_.run(client.state(server_->address(), long_timeout))); });
    }

    /// Guards against a stack overflow: the JSON library copies and writes values recursively.
    void deeply_nested_response_is_malformed() {
        auto client = log();
        set_response(200, R"({"first":0,"next":1,"records":[{"offset":0,"writer":"w","sequence":1,)"
                          R"("payload":)" +
                              std::string(500'000, '[') + std::string(500'000, ']') + "}]}");
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"),
                             kind_of(context_.run(client.read("s", 0, 1, {}))));
    }

    void order_error_depends_on_status() {
        engine_client client(*http_);
        const std::vector<std::pair<int, std::string>> kinds{{200, "ok"},      {409, "conflict"},
                                                             {503, "refused"}, {507, "refused"},
                                                             {404, "refused"}, {500, "unknown"}};
        for (const auto& [status, kind] : kinds) {
            set_response(status, "");
            CPPUNIT_ASSERT_EQUAL(kind, kind_of(context_.run(client.unload(server_->address(), "a",
                                                                          1, long_timeout))));
        }
    }

    void order_carries_adapter_and_fence() {
        engine_client client(*http_);
        set_response(200, "");
        CPPUNIT_ASSERT(context_.run(client.load(server_->address(), "a@1", 12, long_timeout)));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/load_lora_adapter"), last_request().target);
        CPPUNIT_ASSERT(json::parse(last_request().body) ==
                       json({{"lora_name", "a@1"}, {"fence", 12}}));
        CPPUNIT_ASSERT(context_.run(client.cancel(server_->address(), "r", long_timeout)));
        CPPUNIT_ASSERT(json::parse(last_request().body) == json({{"request_id", "r"}}));
    }

    void completion_returns_events() {
        engine_client client(*http_);
        set_response(200, "id: 4\ndata: x\n\nid: 5\ndata: y\n\n");
        engine_call call{"r", {{"model", "a"}}, false, 4};
        auto stream = context_.run(client.complete(server_->address(), call, long_timeout));
        CPPUNIT_ASSERT(stream);
        CPPUNIT_ASSERT_EQUAL(std::string("r"),
                             std::string(header(last_request().headers, "x-request-id")));
        CPPUNIT_ASSERT_EQUAL(std::string("4"),
                             std::string(header(last_request().headers, "X-Resume-From")));
        CPPUNIT_ASSERT(json::parse(last_request().body)["stream"] == true);
        CPPUNIT_ASSERT_EQUAL(std::string("4"),
                             context_.run(stream.value()->next(long_timeout)).value()->id);
        CPPUNIT_ASSERT_EQUAL(std::string("y"),
                             context_.run(stream.value()->next(long_timeout)).value()->data);
        CPPUNIT_ASSERT(!context_.run(stream.value()->next(long_timeout)).value());
    }

    void event_without_end_exhausts_memory() {
        constexpr std::size_t total_bytes = std::size_t{64} * 1024 * 1024;
        const std::string line = "data: " + std::string(64'000, 'x') + "\n";
        expect_broken_stream(long_timeout, [&](raw_connection& connection) {
            for (std::size_t sent = 0; sent < total_bytes; sent += line.size()) {
                connection.write(line);
            }
            connection.write("\n");
        });
    }

    /// The engine sends a comment now and then for a multiple of the timeout.
    void bytes_without_an_event_keep_a_stream_open() {
        expect_broken_stream(milliseconds{200}, [](raw_connection& connection) {
            for (int sent = 0; sent < 5'000; ++sent) {
                connection.write(":\n");
                std::this_thread::sleep_for(milliseconds{2});
            }
            connection.write("data: a\n\n");
        });
    }

    void response_without_end_exceeds_the_limit_of_its_client() {
        const std::string block(64'000, 'x');
        for (const std::string head : {"Content-Length: 99999999\r\n\r\n", "\r\n"}) {
            scripted_server engine({[&](raw_connection& connection) {
                connection.read_until("\r\n\r\n");
                connection.write("HTTP/1.1 200 OK\r\n" + head);
                for (int sent = 0; sent < 200; ++sent) {
                    connection.write(block);
                }
            }});
            http_client limited(context_.get(), 2 * block.size());
            const auto result =
                context_.run(limited.request(engine.address(), http_request{}, long_timeout));
            CPPUNIT_ASSERT(!result);
            CPPUNIT_ASSERT(result.error().kind == error_kind::malformed);
        }
    }

    void refused_completion_has_the_message() {
        engine_client client(*http_);
        set_response(404, R"({"error":{"message":"no adapter a"}})");
        const auto stream =
            context_.run(client.complete(server_->address(), {"r", json::object()}, long_timeout));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), kind_of(stream));
        CPPUNIT_ASSERT_EQUAL(std::string("no adapter a"), stream.error().message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_clients_test);

} // namespace
