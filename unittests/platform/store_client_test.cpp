#include "dragonflystair/net/http_server.h"

#include "net/test_context.h"
#include "platform/store_client.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;
using std::chrono::milliseconds;
using support::error_kind;

/// What the client learns from the era that responses of the store name.
class store_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(era_of_every_response_is_noted);
    CPPUNIT_TEST(first_era_is_not_reported_as_a_restoration);
    CPPUNIT_TEST(era_is_reported_before_its_response_is_returned);
    CPPUNIT_TEST(page_has_the_era_of_its_response);
    CPPUNIT_TEST(response_without_era_belongs_to_the_latest);
    CPPUNIT_TEST(malformed_era_is_ignored);
    CPPUNIT_TEST(lower_era_is_not_noted_and_marks_its_page_as_older);
    CPPUNIT_TEST(membership_has_the_era_of_its_response);
    CPPUNIT_TEST(list_with_pages_of_two_eras_is_unavailable);
    CPPUNIT_TEST(list_with_all_pages_of_a_later_era_has_that_era);
    CPPUNIT_TEST(era_that_a_peer_reports_is_noted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        server_ = std::make_unique<net::http_server>(
            context_.get(), "127.0.0.1:0", net::http_server_limits{},
            [this](net::http_exchange& exchange) { return serve(exchange); }, counters_);
        server_->start();
        http_ = std::make_unique<net::http_client>(context_.get());
        store_ = std::make_unique<store_client>(
            *http_, server_->address(), [this](std::uint64_t era) { reported_.push_back(era); });
    }

    void tearDown() override { context_.stop(); }

    /// Guards against a restoration that is noticed only by a successful read.
    void era_of_every_response_is_noted() {
        respond(200, empty_page, "1");
        CPPUNIT_ASSERT(read());
        std::uint64_t era = 1;
        for (const int status : {410, 503, 429, 409, 412, 507, 404}) {
            respond(status, R"({"first":0})", std::to_string(++era));
            CPPUNIT_ASSERT(!read());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), era, store_->era());
        }
        respond(200, "damaged", std::to_string(++era));
        CPPUNIT_ASSERT(!read());
        respond(200, "{}", std::to_string(++era));
        CPPUNIT_ASSERT(context_.run(store_->put("keyed.nodes", {"node", "value"})));
        respond(200, "{}", std::to_string(++era));
        CPPUNIT_ASSERT(context_.run(store_->leave("group", "member")));
        CPPUNIT_ASSERT_EQUAL(era, store_->era());
        CPPUNIT_ASSERT_EQUAL(std::size_t{era - 1}, reported_.size());
    }

    void first_era_is_not_reported_as_a_restoration() {
        respond(503, "", "7");
        CPPUNIT_ASSERT(!read());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, store_->era());
        CPPUNIT_ASSERT(reported_.empty());
    }

    void era_is_reported_before_its_response_is_returned() {
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT(read());
        respond(410, R"({"first":0})", "8");
        const auto page = read();
        CPPUNIT_ASSERT(!page && page.error().kind == error_kind::gone);
        CPPUNIT_ASSERT(reported_ == std::vector<std::uint64_t>{8});
        respond(200, empty_page, "8");
        CPPUNIT_ASSERT(read());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported_.size());
    }

    void page_has_the_era_of_its_response() {
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read().value().era);
        respond(200, empty_page, "8");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, read().value().era);
    }

    void response_without_era_belongs_to_the_latest() {
        respond(200, empty_page);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, read().value().era);
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT(read());
        respond(200, empty_page);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read().value().era);
    }

    /// Guards against a copy that is dropped because of a damaged header.
    void malformed_era_is_ignored() {
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT(read());
        for (const auto* text : {"x", "-1", "+9", "9x", "9.0", "9e3", "0x9", "9,10", "2147483648",
                                 "99999999999999999999"}) {
            respond(200, empty_page, text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{7}, read().value().era);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{7}, store_->era());
        }
        CPPUNIT_ASSERT(reported_.empty());
    }

    /// Such a response was sent before the restoration and comes after one that was sent later.
    void lower_era_is_not_noted_and_marks_its_page_as_older() {
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT(read());
        respond(200, empty_page, "6");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, read().value().era);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, store_->era());
        CPPUNIT_ASSERT(reported_.empty());
    }

    void membership_has_the_era_of_its_response() {
        respond(200, R"({"generation":4,"parts":[["placement",0,0]]})", "7");
        const auto joined = context_.run(store_->join("group", "member", milliseconds{2'000}, 0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, joined.value().era);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, joined.value().generation);
    }

    /// Guards against a copy with records of two eras, whose offsets do not compare.
    void list_with_pages_of_two_eras_is_unavailable() {
        respond(200, list_page("a", true), "7");
        respond(200, list_page("b", false), "8");
        const auto list = newest();
        CPPUNIT_ASSERT(!list && list.error().kind == error_kind::unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, store_->era());
    }

    void list_with_all_pages_of_a_later_era_has_that_era() {
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT(read());
        respond(200, list_page("a", true), "8");
        respond(200, list_page("b", false), "8");
        const auto list = newest();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, list.value().era);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list.value().records.size());
        CPPUNIT_ASSERT(reported_ == std::vector<std::uint64_t>{8});
    }

    void era_that_a_peer_reports_is_noted() {
        respond(200, empty_page, "7");
        CPPUNIT_ASSERT(read());
        store_->note_era(8);
        store_->note_era(6);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, store_->era());
        CPPUNIT_ASSERT(reported_ == std::vector<std::uint64_t>{8});
    }

private:
    /// A page of a topic without records: its end and its first offset.
    inline static const std::string empty_page = std::string(16, '\0');

    static std::string list_page(const std::string& key, bool more) {
        return R"({"items":[{"key":")" + key + R"(","value":"eA==","offset":1}],"end":4,)" +
               R"("has-more":)" + (more ? "true}" : "false}");
    }

    /// Adds a response to those that the store gives in turn.
    void respond(int status, std::string body, const std::string& era = {}) {
        net::http_response response;
        response.status = status;
        response.body = std::move(body);
        if (!era.empty()) {
            response.headers["Store-Era"] = era;
        }
        const std::lock_guard lock(mutex_);
        responses_.push_back(std::move(response));
    }

    net::awaitable<void> serve(net::http_exchange& exchange) {
        net::http_response response;
        {
            const std::lock_guard lock(mutex_);
            response = std::move(responses_.front());
            responses_.pop_front();
        }
        co_await exchange.respond(std::move(response));
    }

    net::async_result<fleet::keyed_page> read() {
        return context_.run(store_->read("keyed.op", 0, milliseconds{0}));
    }
    net::async_result<fleet::keyed_page> newest() {
        return context_.run(store_->newest("keyed.op"));
    }

    net::test_context context_;
    support::counters counters_;
    std::mutex mutex_;
    std::deque<net::http_response> responses_;
    std::vector<std::uint64_t> reported_;
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<store_client> store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);

} // namespace
