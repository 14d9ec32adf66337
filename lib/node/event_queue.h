#pragma once

#include "dragonflystair/net/awaitable.h"

#include "call_event.h"

#include <memory>

namespace dragonflystair::node {

/// Passes the events of one attempt to the coroutine that answers the caller.
class event_queue {
public:
    /// Number of events buffered for a caller that reads slowly. Beyond it `push` fails, and the
    /// attempt ends with a gap in its stream.
    static constexpr std::size_t capacity = 8'192;

    explicit event_queue(const net::executor& executor);
    ~event_queue();
    event_queue(const event_queue&) = delete;
    event_queue& operator=(const event_queue&) = delete;

    /// Appends an event. Safe to call from any thread. Returns false if the queue is full.
    bool push(call_event event);

    /// Waits for the next event and returns it.
    net::awaitable<call_event> pop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::node
