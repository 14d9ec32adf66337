#include "make_part.h"

#include <algorithm>
#include <sstream>
#include <unordered_set>

namespace dragonflystair::stand_ins {

namespace {

/// A plain service. It executes every request, so that a repeated one is visible in
/// `GET /executions`. `GET PREFIX/KEY` with a status prefix returns the stored result of a key
/// without executing anything.
class plain_part : public part {
public:
    plain_part(const asio::any_io_executor& context, section& settings)
        : part(context, settings),
          run_time_(settings.duration("run_time", std::chrono::milliseconds{20})) {
        auto prefixes = settings.text("status_prefixes", "/stamps, /permits, /checkouts, /returns");
        std::ranges::replace(prefixes, ',', ' ');
        std::istringstream words(prefixes);
        for (std::string prefix; words >> prefix;) {
            status_prefixes_.insert(prefix);
        }
        on_control("slow", slow_);
        on_control("refuse", refuse_);
        on_control("silent_after_run", silent_after_run_);
        on_control("drop_after_run", drop_after_run_);
        on_control("repeat_answers", repeat_answers_);
    }

private:
    awaitable<json> handle(exchange& call) override {
        if (repeat_answers_) {
            call.repeat_previous();
        }
        if (call.is(http::verb::get, "/executions")) {
            co_return json(executions_);
        }
        const auto path = call.path();
        const auto slash = path.rfind('/');
        if (call.method() == http::verb::get && status_prefixes_.contains(path.substr(0, slash))) {
            const auto found = results_.find(path.substr(slash + 1));
            if (found == results_.end()) {
                refuse(http::status::not_found, "no such key");
            }
            co_return found->second;
        }
        if (consume_one(refuse_)) {
            call.add_header("X-Not-Run", "true");
            refuse(http::status::service_unavailable, "not run");
        }
        co_return co_await run(call);
    }

    awaitable<json> run(exchange& call) {
        co_await sleep(run_time_, slow_);
        const auto key = call.header("Idempotency-Key");
        json result{{"service", vm_list_entry().at("service")},
                    {"path", call.path()},
                    {"serial", ++serial_}};
        if (!key.empty()) {
            result["key"] = key;
            ++executions_[key];
            results_[key] = result;
        }
        count("runs");
        if (consume_one(drop_after_run_)) {
            call.drop();
        } else if (consume_one(silent_after_run_)) {
            call.silence();
        }
        co_return result;
    }

    std::chrono::milliseconds run_time_;
    std::unordered_set<std::string> status_prefixes_;
    double slow_ = 1;
    std::uint64_t refuse_ = 0;
    std::uint64_t silent_after_run_ = 0;
    std::uint64_t drop_after_run_ = 0;
    bool repeat_answers_ = false; ///< Sends a second copy of each answer before the next one.
    std::uint64_t serial_ = 0;
    std::map<std::string, std::uint64_t> executions_;
    std::map<std::string, json> results_;
};

} // namespace

std::shared_ptr<part> make_plain(const asio::any_io_executor& context, section& settings) {
    return std::make_shared<plain_part>(context, settings);
}

} // namespace dragonflystair::stand_ins
