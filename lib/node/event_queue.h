#pragma once

#include "dragonflystair/net/awaitable.h"

#include "call_event.h"

#include <memory>

namespace dragonflystair::node {

/// Carries the events of one attempt to the coroutine that answers the caller.
class event_queue {
public:
    /// Events that may wait for a caller that reads slowly; beyond it the attempt is ended.
    static constexpr std::size_t capacity = 8'192;

    explicit event_queue(const net::executor& executor);
    ~event_queue();
    event_queue(const event_queue&) = delete;
    event_queue& operator=(const event_queue&) = delete;

    /// Safe from any thread; false if the queue is full.
    bool push(call_event event);

    /// The next event; waits for one.
    net::awaitable<call_event> pop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::node
