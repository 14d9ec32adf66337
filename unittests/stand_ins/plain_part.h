#pragma once

#include "part.h"

#include <map>
#include <vector>

namespace dragonflystair::stand_ins {

/// A plain service. It runs every request it gets, so a repeated one shows in `GET /executions`.
/// `GET PREFIX/KEY` under a status prefix gives the stored result of a key and runs nothing.
class plain_part : public part {
public:
    plain_part(asio::any_io_executor context, section& settings);

protected:
    awaitable<void> handle(exchange& call) override;

private:
    [[nodiscard]] bool is_status_lookup(const exchange& call) const;
    awaitable<void> look_up(exchange& call);
    awaitable<void> run(exchange& call);

    std::chrono::milliseconds run_time_;
    std::vector<std::string> status_prefixes_;
    double slow_ = 1;
    std::uint64_t refuse_ = 0;
    std::uint64_t silent_after_run_ = 0;
    std::uint64_t drop_after_run_ = 0;
    std::uint64_t serial_ = 0;
    std::map<std::string, std::uint64_t> executions_;
    std::map<std::string, json> results_;
};

} // namespace dragonflystair::stand_ins
