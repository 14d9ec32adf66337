#pragma once

#include "dragonflystair/ledger/stream_entry.h"
#include "dragonflystair/net/log_client.h"

#include "node_context.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <span>
#include <string>

namespace dragonflystair::node {

/// Reads one stream of the log to its end and then polls it for new entries. While the log is
/// unreachable, applies the entries that peers forward.
class log_follower {
public:
    /// Callbacks into the table that the stream's entries are applied to.
    struct hooks {
        std::function<void(std::span<const ledger::stream_entry>)> apply;
        std::function<std::uint64_t()> next_offset;
        std::function<bool()> complete;    ///< True if no entry before `next_offset` is missing.
        std::function<void()> unreachable; ///< Called each time a read fails.
    };

    static constexpr std::chrono::milliseconds long_poll_timeout{1'000};
    static constexpr std::chrono::milliseconds retry_delay{200};
    static constexpr std::size_t max_page_entries = 1'000;

    log_follower(node_context& context, net::log_client& log, std::string stream, hooks callbacks);

    void start();

    /// Applies entries that a peer forwarded.
    void on_forwarded(std::span<const ledger::stream_entry> entries);

    /// Returns true once the end of the stream has been reached, or a peer's state of the fold has
    /// been restored.
    [[nodiscard]] bool caught_up() const { return caught_up_; }
    /// Returns true if the last read failed.
    [[nodiscard]] bool unreachable() const { return unreachable_; }
    /// Returns the oldest offset that the log retained at the last successful read.
    [[nodiscard]] std::uint64_t first_retained_offset() const { return first_retained_offset_; }
    /// Records that the fold has been restored from a peer's state.
    void mark_caught_up() { caught_up_ = true; }

    [[nodiscard]] const std::string& stream() const { return stream_; }

private:
    net::awaitable<void> run();
    net::awaitable<void> read_page();
    net::awaitable<void> restart_from_first();
    void apply_in_order(std::span<const ledger::stream_entry> entries);
    void set_unreachable(bool value, const std::string& cause);

    node_context& context_;
    net::log_client& log_;
    std::string stream_;
    hooks hooks_;
    std::mutex apply_mutex_; ///< Serializes entries from the log and from peers.
    std::atomic<std::uint64_t> first_retained_offset_ = 0;
    std::atomic<bool> caught_up_ = false;
    std::atomic<bool> unreachable_ = false;
};

} // namespace dragonflystair::node
