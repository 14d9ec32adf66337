#include "make_part.h"
#include "rate_window.h"

#include <algorithm>
#include <deque>

namespace dragonflystair::stand_ins {

namespace {

constexpr std::string_view prefix = "/v1/streams/";
/// Upper limit of a long poll, which bounds how long the state of a disconnected reader is kept.
constexpr std::uint64_t longest_wait_ms = 60'000;
constexpr std::uint64_t largest_page = 1'000;

/// The log service. Offsets start at 0 and increase by one per append. Repeated appends are stored
/// as they arrive: readers have to discard the duplicates.
class log_part : public part {
public:
    log_part(const asio::any_io_executor& context, section& settings)
        : part(context, settings), appends_(settings.number("appends_per_second", 500)),
          retention_(settings.number("retention", 100'000)) {
        on_control("lose_answers", lose_answers_);
        on_control("outage", [this](const json& value) {
            outage_ = value.get<bool>();
            for (auto& [name, target] : streams_) {
                target.appended.notify_all();
            }
        });
    }

private:
    struct stream {
        explicit stream(const asio::any_io_executor& context) : appended(context) {}
        std::uint64_t first = 0;
        std::deque<json> records;
        notifier appended;
        [[nodiscard]] std::uint64_t next() const { return first + records.size(); }
    };

    awaitable<json> handle(exchange& call) override {
        const auto path = call.path();
        const auto slash = path.rfind('/');
        if (!path.starts_with(prefix) || slash < prefix.size()) {
            refuse(http::status::not_found, "no such path");
        }
        check_outage();
        const auto name = path.substr(prefix.size(), slash - prefix.size());
        auto& target = streams_.try_emplace(name, context()).first->second;
        if (call.is(http::verb::post, path.substr(0, slash) + "/append")) {
            co_return append(call, target);
        }
        if (call.is(http::verb::get, path.substr(0, slash) + "/records")) {
            co_return co_await read(call, target);
        }
        refuse(http::status::not_found, "no such path");
    }

    [[nodiscard]] json report() const override {
        auto facts = part::report();
        for (const auto& [name, item] : streams_) {
            facts["streams"][name] = {{"first", item.first}, {"next", item.next()}};
        }
        return facts;
    }

    json append(exchange& call, stream& target) {
        auto body = call.body();
        if (!body.at("payload").is_array()) {
            throw std::runtime_error("payload is not an array");
        }
        if (!appends_.allow(steady::now())) {
            refuse(http::status::too_many_requests, "over the append rate");
        }
        const auto offset = target.next();
        target.records.push_back({{"offset", offset},
                                  {"writer", body.at("writer").get<std::string>()},
                                  {"sequence", body.at("sequence").get<std::uint64_t>()},
                                  {"payload", std::move(body["payload"])}});
        if (target.records.size() > retention_) {
            target.records.pop_front();
            ++target.first;
        }
        count("appends");
        target.appended.notify_all();
        if (consume_one(lose_answers_)) {
            call.drop();
        }
        return {{"offset", offset}};
    }

    awaitable<json> read(exchange& call, stream& source) {
        const auto from = call.query_number("from", 0);
        const auto limit = std::min(call.query_number("limit", largest_page), largest_page);
        const auto wait_ms = std::min(call.query_number("wait_ms", 0), longest_wait_ms);
        const auto deadline = steady::now() + std::chrono::milliseconds{wait_ms};
        while (!outage_ && from >= source.next() && steady::now() < deadline) {
            co_await source.appended.wait_until(deadline);
        }
        check_outage();
        json page{{"first", source.first}};
        if (from < source.first) {
            co_await call.respond(http::status::gone, page);
            co_return nullptr;
        }
        page["records"] = json::array();
        auto next = from;
        for (; next < source.next() && next - from < limit; ++next) {
            page["records"].push_back(source.records[next - source.first]);
        }
        page["next"] = next;
        count("reads");
        co_return page;
    }

    void check_outage() {
        if (outage_) {
            refuse(http::status::service_unavailable, "outage");
        }
    }

    rate_window appends_;
    std::uint64_t retention_;
    bool outage_ = false;
    std::uint64_t lose_answers_ = 0;
    std::map<std::string, stream> streams_;
};

} // namespace

std::shared_ptr<part> make_log(const asio::any_io_executor& context, section& settings) {
    return std::make_shared<log_part>(context, settings);
}

} // namespace dragonflystair::stand_ins
