#pragma once

#include "exchange.h"

#include <cstdint>
#include <string>

namespace dragonflystair::stand_ins {

/// One completion that an engine has queued or runs.
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
    std::uint64_t position = 0; ///< Of the next token.
    std::uint64_t end = 0;      ///< Position after the last token.
    bool running = false;
    std::string stopped; ///< Why it ended early; empty while it goes on.

    void stop(std::string why) {
        stopped = std::move(why);
        changed.notify_all();
    }
};

} // namespace dragonflystair::stand_ins
