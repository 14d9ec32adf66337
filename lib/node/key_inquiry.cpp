#include "key_inquiry.h"

#include "dragonflystair/support/hash.h"

#include "sleep.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace dragonflystair::node {

/// The answers that one inquiry waits for.
class key_inquiry::inquiry {
public:
    using channel =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, bool)>;

    inquiry(const net::executor& executor, std::set<std::string, std::less<>> asked)
        : result(executor, 1), waiting_(std::move(asked)) {}

    void on_answer(std::string_view peer, bool may_have_run) {
        const std::lock_guard lock(mutex_);
        const auto found = waiting_.find(peer);
        if (found != waiting_.end()) {
            waiting_.erase(found);
        }
        if (may_have_run || waiting_.empty()) {
            result.try_send(boost::system::error_code{}, !may_have_run);
        }
    }

    channel result; ///< One value: whether nobody ran the key.

private:
    std::mutex mutex_;
    std::set<std::string, std::less<>> waiting_;
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
    auto item = std::make_shared<inquiry>(context_.executor, others);
    {
        const std::lock_guard lock(mutex_);
        open_[id] = item;
    }
    if (others.empty()) {
        item->on_answer({}, false);
    }
    for (const auto& peer : others) {
        if (!hooks_.send(peer, {{"type", "key_query"}, {"id", id}, {"key", key}})) {
            item->on_answer(peer, true);
        }
    }
    return item;
}

net::awaitable<bool> key_inquiry::nobody_ran(std::string key) {
    using namespace boost::asio::experimental::awaitable_operators;
    if (hooks_.may_have_run(key)) {
        co_return false;
    }
    const auto id = support::random_id();
    auto item = begin(id, key);
    auto first = co_await (item->result.async_receive(boost::asio::use_awaitable) ||
                           sleep_for(answer_timeout));
    {
        const std::lock_guard lock(mutex_);
        open_.erase(id);
    }
    co_return first.index() == 0 && std::get<0>(first);
}

void key_inquiry::on_frame(std::string_view peer, const support::json& frame) {
    const auto id = frame.at("id").get<std::string>();
    if (frame.value("type", "") == "key_query") {
        const bool may_have_run = hooks_.may_have_run(frame.at("key").get<std::string>());
        hooks_.send(peer, {{"type", "key_answer"}, {"id", id}, {"may_have_run", may_have_run}});
        return;
    }
    std::shared_ptr<inquiry> item;
    {
        const std::lock_guard lock(mutex_);
        const auto found = open_.find(id);
        if (found == open_.end()) {
            return;
        }
        item = found->second;
    }
    item->on_answer(peer, frame.value("may_have_run", true));
}

} // namespace dragonflystair::node
