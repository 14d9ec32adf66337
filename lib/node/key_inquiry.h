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

/// Asks the other nodes about an idempotency key before a caller is told `not_run`.
///
/// A caller that repeats a key means the call, not this attempt at it. An earlier attempt may have
/// gone through another node whose claim this node has not read, for example because the log is
/// down. So `not_run` needs the word of every live session; without it the answer is `unknown`.
class key_inquiry {
public:
    /// Longer than a round trip between regions (40 ms), short enough for a refusal at once.
    static constexpr std::chrono::milliseconds answer_timeout{300};

    struct hooks {
        std::function<bool(std::string_view peer, const support::json& frame)> send;
        /// Whether a key's call has run, may be running, or may still be dispatched by this node.
        std::function<bool(std::string_view key)> may_have_run;
    };

    key_inquiry(node_context& context, const member_table& members, hooks callbacks);

    /// True if every other live session has said in time that it neither ran nor claimed the key.
    net::awaitable<bool> nobody_ran(std::string key);

    /// Frames `key_query` and `key_answer`.
    void on_frame(std::string_view peer, const support::json& frame);

private:
    class inquiry;

    std::shared_ptr<inquiry> begin(const std::string& id, const std::string& key);

    node_context& context_;
    const member_table& members_;
    hooks hooks_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<inquiry>, std::less<>> open_;
};

} // namespace dragonflystair::node
