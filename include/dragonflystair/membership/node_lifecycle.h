#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace dragonflystair::membership {

/// Life cycle of a node: starting, serving, isolated, draining, stopped. Events that mean nothing
/// in the current state are ignored.
class node_lifecycle {
public:
    /// Called after each change with the names of the state before and the state now.
    using change_hook = std::function<void(std::string_view, std::string_view)>;

    explicit node_lifecycle(change_hook on_change = {});
    ~node_lifecycle();
    node_lifecycle(const node_lifecycle&) = delete;
    node_lifecycle& operator=(const node_lifecycle&) = delete;

    /// All streams have been read up to their end, or up to a peer's state while the log is down.
    void on_log_caught_up();

    /// Neither the log nor a peer has answered for 10 s.
    void on_isolated();

    /// The log or a peer answers again.
    void on_reconnected();

    /// SIGTERM, or the VM list says that this VM is leaving.
    void on_stop_requested();

    /// The last stream and the longest answer lifetime have passed.
    void on_drained();

    /// True if `resolve` may name this node and `/readyz` reports success.
    [[nodiscard]] bool accepts_callers() const;
    [[nodiscard]] bool draining() const;
    [[nodiscard]] std::string_view state_name() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::membership
