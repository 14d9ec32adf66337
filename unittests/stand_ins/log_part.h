#pragma once

#include "part.h"
#include "rate_window.h"

#include <deque>
#include <map>

namespace dragonflystair::stand_ins {

/// The log service. Offsets start at 0 and rise by one per append. Repeated appends are kept as
/// they come: dropping copies is the readers' task.
class log_part : public part {
public:
    log_part(asio::any_io_executor context, section& settings);

protected:
    awaitable<void> handle(exchange& call) override;

private:
    struct stream {
        explicit stream(const asio::any_io_executor& context) : appended(context) {}
        std::uint64_t first = 0;
        std::deque<json> records;
        notifier appended;
        [[nodiscard]] std::uint64_t next() const { return first + records.size(); }
    };

    stream& stream_named(const std::string& name);
    awaitable<void> append(exchange& call, stream& target);
    awaitable<void> read(exchange& call, stream& source);
    [[nodiscard]] json report() const override;

    rate_window appends_;
    std::uint64_t retention_;
    bool outage_ = false;
    std::uint64_t lose_answers_ = 0;
    std::map<std::string, stream> streams_;
};

} // namespace dragonflystair::stand_ins
