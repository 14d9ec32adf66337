#include "dragonflystair/net/engine_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/log_client.h"
#include "dragonflystair/net/vm_list_client.h"

#include "test_context.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair::net;
using dragonflystair::support::counters;
using dragonflystair::support::error_kind;
using dragonflystair::support::json;
using std::chrono::milliseconds;

constexpr milliseconds ample{20'000};

class platform_clients_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_clients_test);
    CPPUNIT_TEST(append_sends_the_record_and_gives_the_offset);
    CPPUNIT_TEST(append_errors_follow_the_status);
    CPPUNIT_TEST(append_of_text_that_is_not_utf8_is_malformed);
    CPPUNIT_TEST(read_gives_a_page);
    CPPUNIT_TEST(first_offset_is_read_from_both_answers);
    CPPUNIT_TEST(page_with_any_member_missing_or_mistyped_is_malformed);
    CPPUNIT_TEST(vm_list_with_any_member_missing_or_mistyped_is_malformed);
    CPPUNIT_TEST(engine_state_with_any_member_missing_or_mistyped_is_malformed);
    CPPUNIT_TEST(deeply_nested_answer_is_malformed);
    CPPUNIT_TEST(order_errors_follow_the_status);
    CPPUNIT_TEST(order_carries_adapter_and_fence);
    CPPUNIT_TEST(completion_gives_events);
    CPPUNIT_TEST(refused_completion_carries_the_message);
    CPPUNIT_TEST_SUITE_END();

    test_context context_;
    counters counters_;
    std::mutex mutex_;
    http_response next_;
    http_request seen_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_client> http_;

    void answer(int status, std::string body, http_headers headers = {}) {
        const std::lock_guard lock(mutex_);
        next_ = {status, std::move(headers), std::move(body)};
    }

    http_request seen() {
        const std::lock_guard lock(mutex_);
        return seen_;
    }

    log_client log() { return {*http_, server_->address()}; }

    /// The kind of error of a result, or "ok".
    template <class T> static std::string kind_of(const async_result<T>& result) {
        return result ? "ok" : std::string(to_string(result.error().kind));
    }

    /// Runs `call` for the valid answer, and for each member missing or of a wrong type.
    void assert_members_checked(const json& valid, const std::function<std::string()>& call) {
        answer(200, valid.dump());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), call());
        const json flat = valid.flatten();
        for (const auto& path : flat.items()) {
            // Paths such as /records/0/offset; removing the last part of each gives every member.
            for (json::json_pointer at(path.key()); !at.empty(); at = at.parent_pointer()) {
                json missing = valid;
                // The members of `active` are named by adapters, so any may be missing.
                const bool named_by_data = at.parent_pointer().to_string() == "/active";
                if (missing.at(at.parent_pointer()).is_object() && !named_by_data) {
                    missing.at(at.parent_pointer()).erase(at.back());
                    answer(200, missing.dump());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(missing.dump(), std::string("malformed"), call());
                }
                json mistyped = valid;
                mistyped.at(at) = -1.5;
                answer(200, mistyped.dump());
                // The payload may be any value.
                const bool any = at.back() == "payload";
                CPPUNIT_ASSERT_EQUAL_MESSAGE(mistyped.dump(), std::string(any ? "ok" : "malformed"),
                                             call());
            }
        }
        for (const auto* const text : {"", "{", "[]", "null", "\"text\""}) {
            answer(200, text);
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
                    seen_ = exchange.request();
                    response = next_;
                }
                co_await exchange.respond(std::move(response));
            },
            counters_);
        server_->start();
        http_ = std::make_unique<http_client>(context_.get());
    }
    void tearDown() override { context_.stop(); }

    void append_sends_the_record_and_gives_the_offset() {
        answer(200, R"({"offset":7})");
        auto client = log();
        const auto offset = context_.run(client.append("members", "w", 3, {1, "a"}, ample));
        CPPUNIT_ASSERT(offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, offset.value());
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/streams/members/append"), seen().target);
        CPPUNIT_ASSERT(json::parse(seen().body) ==
                       json({{"writer", "w"}, {"sequence", 3}, {"payload", {1, "a"}}}));
    }

    /// Guards against a record that is appended twice or given up after it was appended.
    void append_errors_follow_the_status() {
        auto client = log();
        const std::vector<std::pair<int, std::string>> kinds{{429, "rate_limited"},
                                                             {503, "unavailable"},
                                                             {500, "unknown"},
                                                             {504, "unknown"},
                                                             {400, "refused"}};
        for (const auto& [status, kind] : kinds) {
            answer(status, "", {{"Retry-After", "2"}});
            const auto offset = context_.run(client.append("s", "w", 1, {}, ample));
            CPPUNIT_ASSERT_EQUAL(kind, kind_of(offset));
            CPPUNIT_ASSERT(offset.error().retry_after == milliseconds(2'000));
        }
    }

    void append_of_text_that_is_not_utf8_is_malformed() {
        auto client = log();
        CPPUNIT_ASSERT_EQUAL(
            std::string("malformed"),
            kind_of(context_.run(client.append("s", "w", 1, json("\xff"), ample))));
    }

    void read_gives_a_page() {
        answer(
            200,
            R"({"first":1,"next":9,"records":[{"offset":8,"writer":"w","sequence":4,"payload":[5]}]})");
        auto client = log();
        const auto page = context_.run(client.read("s", 5, 10, milliseconds(50)));
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page.value().next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, page.value().entries.at(0).offset);
        CPPUNIT_ASSERT(page.value().entries.at(0).payload == json::array({5}));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/streams/s/records?from=5&limit=10&wait_ms=50"),
                             seen().target);
        answer(410, R"({"first":6})");
        CPPUNIT_ASSERT_EQUAL(std::string("gone"),
                             kind_of(context_.run(client.read("s", 5, 10, {}))));
    }

    void first_offset_is_read_from_both_answers() {
        auto client = log();
        answer(410, R"({"first":6})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, context_.run(client.first_offset("s")).value());
        answer(200, R"({"first":0,"next":0,"records":[]})");
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
            [&] { return kind_of(context_.run(client.list(ample))); });
        answer(200, R"({"vms":[{"id":"v","address":"a","data_centre":"d","service":"s",
                        "state":"other"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"), kind_of(context_.run(client.list(ample))));
    }

    void engine_state_with_any_member_missing_or_mistyped_is_malformed() {
        engine_client client(*http_);
        assert_members_checked(
            json::parse(
                R"({"start":"x","model":"m","slots":4,"batch_limit":8,"running":1,"queued":0,
                    "resident":["a"],"active":{"a":1}})"),
            [&] { return kind_of(context_.run(client.state(server_->address(), ample))); });
    }

    /// Guards against a stack overflow: the JSON library copies and writes values recursively.
    void deeply_nested_answer_is_malformed() {
        auto client = log();
        answer(200, R"({"first":0,"next":1,"records":[{"offset":0,"writer":"w","sequence":1,)"
                    R"("payload":)" +
                        std::string(500'000, '[') + std::string(500'000, ']') + "}]}");
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"),
                             kind_of(context_.run(client.read("s", 0, 1, {}))));
    }

    void order_errors_follow_the_status() {
        engine_client client(*http_);
        const std::vector<std::pair<int, std::string>> kinds{{200, "ok"},      {409, "conflict"},
                                                             {503, "refused"}, {507, "refused"},
                                                             {404, "refused"}, {500, "unknown"}};
        for (const auto& [status, kind] : kinds) {
            answer(status, "");
            CPPUNIT_ASSERT_EQUAL(
                kind, kind_of(context_.run(client.unload(server_->address(), "a", 1, ample))));
        }
    }

    void order_carries_adapter_and_fence() {
        engine_client client(*http_);
        answer(200, "");
        CPPUNIT_ASSERT(context_.run(client.load(server_->address(), "a@1", 12, ample)));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/load_lora_adapter"), seen().target);
        CPPUNIT_ASSERT(json::parse(seen().body) == json({{"lora_name", "a@1"}, {"fence", 12}}));
        CPPUNIT_ASSERT(context_.run(client.cancel(server_->address(), "r", ample)));
        CPPUNIT_ASSERT(json::parse(seen().body) == json({{"request_id", "r"}}));
    }

    void completion_gives_events() {
        engine_client client(*http_);
        answer(200, "id: 4\ndata: x\n\nid: 5\ndata: y\n\n");
        engine_call call{"r", {{"model", "a"}}, false, 4};
        auto stream = context_.run(client.complete(server_->address(), call, ample));
        CPPUNIT_ASSERT(stream);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), std::string(header(seen().headers, "x-request-id")));
        CPPUNIT_ASSERT_EQUAL(std::string("4"),
                             std::string(header(seen().headers, "X-Resume-From")));
        CPPUNIT_ASSERT(json::parse(seen().body)["stream"] == true);
        CPPUNIT_ASSERT_EQUAL(std::string("4"),
                             context_.run(stream.value()->next(ample)).value()->id);
        CPPUNIT_ASSERT_EQUAL(std::string("y"),
                             context_.run(stream.value()->next(ample)).value()->data);
        CPPUNIT_ASSERT(!context_.run(stream.value()->next(ample)).value());
    }

    void refused_completion_carries_the_message() {
        engine_client client(*http_);
        answer(404, R"({"error":{"message":"no adapter a"}})");
        const auto stream =
            context_.run(client.complete(server_->address(), {"r", json::object()}, ample));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), kind_of(stream));
        CPPUNIT_ASSERT_EQUAL(std::string("no adapter a"), stream.error().message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_clients_test);

} // namespace
