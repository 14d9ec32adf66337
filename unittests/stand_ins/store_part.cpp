#include "make_part.h"
#include "rate_window.h"

#include <algorithm>

namespace dragonflystair::stand_ins {

namespace {

constexpr std::string_view prefix = "/v1/adapters/";

/// The weight store. At most `concurrent_loads` loads transfer at a time while the others wait; all
/// of them count as in transit. A transfer takes `load_time`, multiplied by the ratio of loads in
/// transit to `transit_limit` if that ratio is above one.
class store_part : public part {
public:
    store_part(const asio::any_io_executor& context, section& settings)
        : part(context, settings), loads_(settings.number("loads_per_second", 6)),
          concurrent_loads_(settings.number("concurrent_loads", 3)),
          transit_limit_(settings.number("transit_limit", 24)),
          load_time_(settings.duration("load_time", std::chrono::milliseconds{250})),
          changed_(context) {
        on_control("slow", slow_);
        on_control("down", [this](const json& value) {
            down_ = value.get<bool>();
            changed_.notify_all();
        });
    }

private:
    awaitable<json> handle(exchange& call) override {
        if (call.method() != http::verb::get || !call.path().starts_with(prefix)) {
            refuse(http::status::not_found, "no such path");
        }
        if (!down_ && !loads_.allow(steady::now())) {
            refuse(http::status::too_many_requests, "over the load rate");
        }
        most_in_transit_ = std::max(most_in_transit_, ++in_transit_);
        co_await transfer();
        --in_transit_;
        if (down_) {
            refuse(http::status::service_unavailable, "outage");
        }
        const auto name = call.path().substr(prefix.size());
        count("loads");
        ++loads_by_adapter_[name];
        co_return json{{"name", name}};
    }

    [[nodiscard]] json report() const override {
        auto facts = part::report();
        facts["in_transit"] = in_transit_;
        facts["most_in_transit"] = most_in_transit_;
        facts["loads_by_adapter"] = loads_by_adapter_;
        return facts;
    }

    awaitable<void> transfer() {
        while (!down_ && transferring_ >= concurrent_loads_) {
            co_await changed_.wait();
        }
        ++transferring_;
        const auto congestion = std::max(1.0, double(in_transit_) / double(transit_limit_));
        const auto end = steady::now() + scaled(load_time_, slow_ * congestion);
        while (!down_ && steady::now() < end) {
            co_await changed_.wait_until(end);
        }
        --transferring_;
        changed_.notify_all();
    }

    rate_window loads_;
    std::uint64_t concurrent_loads_;
    std::uint64_t transit_limit_;
    std::chrono::milliseconds load_time_;
    bool down_ = false;
    double slow_ = 1;
    std::uint64_t in_transit_ = 0;
    std::uint64_t most_in_transit_ = 0;
    std::uint64_t transferring_ = 0;
    notifier changed_;
    std::map<std::string, std::uint64_t> loads_by_adapter_;
};

} // namespace

std::shared_ptr<part> make_store(const asio::any_io_executor& context, section& settings) {
    return std::make_shared<store_part>(context, settings);
}

} // namespace dragonflystair::stand_ins
