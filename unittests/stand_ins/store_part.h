#pragma once

#include "part.h"
#include "rate_window.h"

#include <map>

namespace dragonflystair::stand_ins {

/// The weight store. At most `concurrent_loads` transfer at a time and the others wait; all of them
/// are in transit. A transfer takes the base load time, times the number in transit over the
/// transit limit when that is above one.
class store_part : public part {
public:
    store_part(asio::any_io_executor context, section& settings);

protected:
    awaitable<void> handle(exchange& call) override;
    [[nodiscard]] json report() const override;

private:
    awaitable<void> transfer(exchange& call);
    [[nodiscard]] std::chrono::nanoseconds load_time() const;

    rate_window loads_;
    std::uint64_t concurrent_loads_;
    std::uint64_t transit_limit_;
    std::chrono::milliseconds base_load_time_;
    bool down_ = false;
    double slow_ = 1;
    std::uint64_t in_transit_ = 0;
    std::uint64_t most_in_transit_ = 0;
    std::uint64_t transferring_ = 0;
    notifier changed_;
    std::map<std::string, std::uint64_t> loads_by_adapter_;
};

} // namespace dragonflystair::stand_ins
