#pragma once

#include "dragonflystair/support/json.h"

#include "member_table.h"
#include "node_context.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace dragonflystair::node {

/// Queries the other nodes about an idempotency key before `not_run` is returned to a caller.
///
/// The outcome refers to the call that the key identifies, not to one attempt at it. An earlier
/// attempt may have gone through another node whose claim this node has not read, for example
/// because the log is down. `not_run` therefore requires confirmation by every live session;
/// without it the outcome is `unknown`.
class key_inquiry {
public:
    /// Longer than a round trip between regions (40 ms), and short enough to refuse a call
    /// promptly.
    static constexpr std::chrono::milliseconds answer_timeout{300};

    struct hooks {
        std::function<bool(std::string_view peer, const support::json& frame)> send;
        /// Returns true if a key's call has run, may be running, or may still be dispatched by this
        /// node.
        std::function<bool(std::string_view key)> may_have_run;
    };

    key_inquiry(node_context& context, const member_table& members, hooks callbacks);

    /// Returns true if this node and every other live session confirm within `answer_timeout` that
    /// they have neither run nor claimed the key.
    net::awaitable<bool> confirm_not_run(std::string key);

    /// Handles the frames `key_query` and `key_answer`.
    void on_frame(std::string_view peer, const support::json& frame);

private:
    class inquiry;

    std::shared_ptr<inquiry> begin(const std::string& id, const std::string& key);

    node_context& context_;
    const member_table& members_;
    hooks hooks_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<inquiry>, std::less<>> pending_;
};

} // namespace dragonflystair::node
