#pragma once

#include "generation.h"
#include "part.h"

#include <list>
#include <map>
#include <set>
#include <string>

namespace dragonflystair::stand_ins {

/// A model engine with continuous batching. Requests wait until the running set has room; those
/// with the greatest `priority` enter first, in order of arrival among equals.
class engine_part : public part {
public:
    engine_part(asio::any_io_executor context, section& settings);

    /// Sets where adapters are fetched from.
    void use_store(std::string address) { store_ = std::move(address); }

protected:
    awaitable<void> handle(exchange& call) override;
    [[nodiscard]] json report() const override;

private:
    awaitable<void> load(exchange& call);
    awaitable<void> fetch(exchange& call, std::string adapter);
    awaitable<void> unload(exchange& call);
    /// Checks the fencing number of an order; answers 409 and returns false if it is stale.
    awaitable<bool> accept_fence(exchange& call, const json& order);
    awaitable<void> answer_order(exchange& call);

    awaitable<void> complete(exchange& call, bool chat);
    awaitable<void> generate(generation& job);
    awaitable<void> wait_for_batch(generation& job);
    awaitable<void> emit(generation& job);
    awaitable<void> finish(generation& job);
    awaitable<void> pause(generation& job, std::chrono::milliseconds time);
    awaitable<void> cancel(exchange& call);
    void fill_batch();
    void restart();
    [[nodiscard]] json state() const;
    [[nodiscard]] std::size_t running() const;

    std::string model_;
    std::uint64_t slots_;
    std::uint64_t batch_limit_;
    std::chrono::milliseconds token_time_;
    std::chrono::milliseconds prefill_time_;
    bool checks_fencing_;
    std::string store_;

    double slow_ = 1;
    std::uint64_t fail_loads_ = 0;
    std::uint64_t lose_answers_ = 0;

    std::string start_;
    std::uint64_t largest_fence_ = 0;
    std::set<std::string> resident_;
    std::set<std::string> loading_;
    notifier load_ended_;
    std::list<generation*> jobs_; ///< In order of arrival.
};

} // namespace dragonflystair::stand_ins
