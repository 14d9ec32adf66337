#pragma once

#include "exchange.h"

#include <cstdint>
#include <string>

namespace dragonflystair::stand_ins {

/// A completion that is queued or running at an engine.
struct generation {
    generation(const asio::any_io_executor& context, exchange& caller)
        : changed(context), call(caller) {}

    notifier changed;
    exchange& call;
    std::string request_id;
    std::string adapter;
    std::string prompt;
    bool chat = false;
    double priority = 0;
    std::uint64_t position = 0; ///< Position of the next token.
    std::uint64_t end = 0;      ///< Position after the last token.
    bool running = false;
    std::string stopped; ///< Reason for the early end; empty while the completion continues.

    void stop(std::string reason) {
        stopped = std::move(reason);
        changed.notify_all();
    }
};

} // namespace dragonflystair::stand_ins
