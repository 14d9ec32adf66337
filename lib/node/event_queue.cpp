#include "event_queue.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace dragonflystair::node {

struct event_queue::impl {
    explicit impl(const net::executor& executor) : channel(executor, capacity) {}
    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, call_event)>
        channel;
};

event_queue::event_queue(const net::executor& executor) : impl_(std::make_unique<impl>(executor)) {}
event_queue::~event_queue() = default;

bool event_queue::push(call_event event) {
    return impl_->channel.try_send(boost::system::error_code{}, std::move(event));
}

net::awaitable<call_event> event_queue::pop() {
    auto event = co_await impl_->channel.async_receive(boost::asio::use_awaitable);
    co_return event;
}

} // namespace dragonflystair::node
