#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace dragonflystair::membership {

/// State machine of a node: starting, serving, isolated, draining, stopped. Events without a
/// transition from the current state are ignored.
class node_lifecycle {
public:
    /// Called after each transition with the names of the previous and the new state.
    using change_hook = std::function<void(std::string_view, std::string_view)>;

    explicit node_lifecycle(change_hook on_change = {});
    ~node_lifecycle();
    node_lifecycle(const node_lifecycle&) = delete;
    node_lifecycle& operator=(const node_lifecycle&) = delete;

    /// Called when all streams have been read up to their end, or up to a peer's state while the
    /// log is down.
    void on_log_caught_up();

    /// Called when neither the log nor a peer has answered for 10 s.
    void on_isolated();

    /// Called when the log or a peer answers again.
    void on_reconnected();

    /// Called on SIGTERM, and when the VM list marks this VM as leaving.
    void on_stop_requested();

    /// Called when the last streamed response has ended and the longest lifetime of a resolve
    /// answer has passed.
    void on_drained();

    /// Returns true if `resolve` may return this node and `/readyz` reports success.
    [[nodiscard]] bool accepts_callers() const;
    [[nodiscard]] bool draining() const;
    [[nodiscard]] std::string_view state_name() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::membership
