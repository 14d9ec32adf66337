#include "key_inquiry.h"

#include "dragonflystair/support/hash.h"

#include "sleep.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace dragonflystair::node {

/// Collects the answers of the other nodes to one inquiry.
class key_inquiry::inquiry {
public:
    using channel =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, bool)>;

    inquiry(const net::executor& executor, std::set<std::string, std::less<>> peers)
        : result(executor, 1), pending_peers_(std::move(peers)) {}

    void on_answer(std::string_view peer, bool may_have_run) {
        const std::lock_guard lock(mutex_);
        const auto found = pending_peers_.find(peer);
        if (found != pending_peers_.end()) {
            pending_peers_.erase(found);
        }
        if (may_have_run || pending_peers_.empty()) {
            result.try_send(boost::system::error_code{}, !may_have_run);
        }
    }

    channel result; ///< Receives one value: true if no node has run the key.

private:
    std::mutex mutex_;
    std::set<std::string, std::less<>> pending_peers_;
};

key_inquiry::key_inquiry(node_context& context, const member_table& members, hooks callbacks)
    : context_(context), members_(members), hooks_(std::move(callbacks)) {}

std::shared_ptr<key_inquiry::inquiry> key_inquiry::begin(const std::string& id,
                                                         const std::string& key) {
    std::set<std::string, std::less<>> others;
    for (const auto& session : members_.sessions()) {
        if (session.open.incarnation != context_.incarnation) {
            others.insert(session.open.incarnation);
        }
    }
    auto pending = std::make_shared<inquiry>(context_.executor, others);
    {
        const std::lock_guard lock(mutex_);
        pending_[id] = pending;
    }
    if (others.empty()) {
        pending->on_answer({}, false);
    }
    for (const auto& peer : others) {
        if (!hooks_.send(peer, {{"type", "key_query"}, {"id", id}, {"key", key}})) {
            pending->on_answer(peer, true);
        }
    }
    return pending;
}

net::awaitable<bool> key_inquiry::confirm_not_run(std::string key) {
    using namespace boost::asio::experimental::awaitable_operators;
    if (hooks_.may_have_run(key)) {
        co_return false;
    }
    const auto id = support::random_id();
    auto pending = begin(id, key);
    auto answer = co_await (pending->result.async_receive(boost::asio::use_awaitable) ||
                            sleep_for(answer_timeout));
    {
        const std::lock_guard lock(mutex_);
        pending_.erase(id);
    }
    co_return answer.index() == 0 && std::get<0>(answer);
}

void key_inquiry::on_frame(std::string_view peer, const support::json& frame) {
    const auto id = frame.at("id").get<std::string>();
    if (frame.value("type", "") == "key_query") {
        const bool may_have_run = hooks_.may_have_run(frame.at("key").get<std::string>());
        hooks_.send(peer, {{"type", "key_answer"}, {"id", id}, {"may_have_run", may_have_run}});
        return;
    }
    std::shared_ptr<inquiry> pending;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            return;
        }
        pending = found->second;
    }
    pending->on_answer(peer, frame.value("may_have_run", true));
}

} // namespace dragonflystair::node
