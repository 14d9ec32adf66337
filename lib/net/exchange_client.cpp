#include "dragonflystair/net/exchange_client.h"

#include "exchange_connection.h"
#include "socket_address.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace dragonflystair::net {

struct exchange_client::impl : std::enable_shared_from_this<impl> {
    impl(executor used, std::string header, exchange_limits chosen)
        : context(std::move(used)), id_header(std::move(header)), limits(chosen) {}

    std::shared_ptr<exchange_connection> acquire(const std::string& address, std::string_view id);
    void release(const std::string& address,
                 const std::shared_ptr<exchange_connection>& connection);
    [[nodiscard]] std::size_t unread_bytes() const;

    executor context;
    std::string id_header;
    exchange_limits limits;
    std::map<std::string, std::vector<std::shared_ptr<exchange_connection>>, std::less<>> idle;
    std::map<const exchange*, std::weak_ptr<exchange_connection>> in_flight;
    std::size_t opened = 0;
};

/// Returns the most recently used idle connection, so that surplus ones reach their idle timeout,
/// that has not carried the request id. Closes the idle connections that are no longer usable.
std::shared_ptr<exchange_connection> exchange_client::impl::acquire(const std::string& address,
                                                                    std::string_view id) {
    const auto found = idle.find(address);
    if (found == idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(connections, [&](const auto& candidate) {
        if (candidate->usable(now)) {
            return false;
        }
        candidate->close();
        return true;
    });
    if (connections.empty()) {
        idle.erase(found);
        return nullptr;
    }
    const auto newest = std::find_if(connections.rbegin(), connections.rend(),
                                     [&](const auto& item) { return !item->has_carried(id); });
    if (newest == connections.rend()) {
        return nullptr;
    }
    auto connection = std::move(*newest);
    connections.erase(std::next(newest).base());
    return connection;
}

void exchange_client::impl::release(const std::string& address,
                                    const std::shared_ptr<exchange_connection>& connection) {
    auto& connections = idle[address];
    if (connections.size() >= limits.max_idle_connections) {
        connection->close();
        return;
    }
    connections.push_back(connection);
}

std::size_t exchange_client::impl::unread_bytes() const {
    std::size_t total = 0;
    for (const auto& [identity, connection] : in_flight) {
        if (const auto carrier = connection.lock(); carrier && carrier->carries(identity)) {
            total += carrier->unread_bytes();
        }
    }
    return total;
}

exchange_client::exchange_client(executor context, std::string id_header, exchange_limits limits)
    : impl_(std::make_shared<impl>(std::move(context), std::move(id_header), limits)) {}

exchange_client::~exchange_client() {
    for (const auto& [address, connections] : impl_->idle) {
        for (const auto& connection : connections) {
            connection->close();
        }
    }
}

std::shared_ptr<exchange> exchange_client::send(std::string_view address, std::string text,
                                                std::string id, std::function<void()> on_change) {
    auto pending = std::make_shared<exchange>();
    pending->on_change = std::move(on_change);
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        pending->end = exchange_end::not_sent;
        pending->fault = "not an address of the form IP:PORT: " + std::string(address);
        return pending;
    }
    std::string key(address);
    // Without a body, a response to HEAD could not be told from the body of a late duplicate.
    auto connection = text.starts_with("HEAD ") ? nullptr : impl_->acquire(key, id);
    if (!connection) {
        connection = std::make_shared<exchange_connection>(impl_->context, impl_->id_header,
                                                           impl_->limits, ++impl_->opened);
    }
    connection->on_idle = [weak = impl_->weak_from_this(), key,
                           weak_connection = std::weak_ptr(connection)] {
        const auto self = weak.lock();
        const auto idle = weak_connection.lock();
        if (self && idle) {
            self->release(key, idle);
        }
    };
    connection->total_unread_bytes = [weak = impl_->weak_from_this()] {
        const auto self = weak.lock();
        return self ? self->unread_bytes() : 0;
    };
    std::erase_if(impl_->in_flight, [](const auto& entry) { return entry.second.expired(); });
    impl_->in_flight[pending.get()] = connection;
    pending->connection = connection->number();
    connection->begin(*endpoint, std::move(text), std::move(id), pending);
    return pending;
}

void exchange_client::cancel(const std::shared_ptr<exchange>& pending) {
    const auto found = impl_->in_flight.find(pending.get());
    if (found == impl_->in_flight.end()) {
        return;
    }
    const auto connection = found->second.lock();
    impl_->in_flight.erase(found);
    pending->on_change = {};
    if (connection && connection->carries(pending.get())) {
        connection->close();
    }
}

std::size_t exchange_client::opened() const {
    return impl_->opened;
}

void exchange_client::close_idle(std::string_view address) {
    const auto found = impl_->idle.find(address);
    if (found == impl_->idle.end()) {
        return;
    }
    for (const auto& connection : found->second) {
        connection->close();
    }
    impl_->idle.erase(found);
}

} // namespace dragonflystair::net
