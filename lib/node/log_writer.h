#pragma once

#include "dragonflystair/ledger/group_committer.h"
#include "dragonflystair/ledger/stream_entry.h"
#include "dragonflystair/net/log_client.h"

#include "node_context.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::node {

/// Appends this node's records to one stream, many at a time, and tells each record's position once
/// it has been read back.
class log_writer : public std::enable_shared_from_this<log_writer> {
public:
    /// Receives the position at which the record was read back.
    using read_back_hook = std::function<void(ledger::position)>;

    static constexpr std::chrono::milliseconds append_timeout{1'000};
    static constexpr std::chrono::milliseconds retry_pause{100};

    log_writer(node_context& context, net::log_client& log, std::string stream);

    /// Queues a record; `hook` may be empty and runs on the thread that reads the log. `on_sending`
    /// runs just before the append that holds the record is sent for the first time.
    void append(ledger::record item, read_back_hook hook = {},
                std::function<void()> on_sending = {});

    /// Appends and waits for the read-back; nothing if that takes longer than `timeout`.
    net::awaitable<std::optional<ledger::position>>
    append_and_wait(ledger::record item, std::chrono::milliseconds timeout);

    /// The stream's follower has read and applied an entry.
    void on_entry(const ledger::stream_entry& entry);

    /// Starts the sending loop.
    void start();

    /// True if no record waits to be appended.
    [[nodiscard]] bool idle() const;

    /// True while the last append was refused or its answer was lost.
    [[nodiscard]] bool failing() const;

private:
    struct pending {
        read_back_hook hook;
        std::function<void()> on_sending;
    };

    net::awaitable<void> run();
    net::awaitable<bool> send(ledger::append_request order);
    std::optional<ledger::append_request> next_order();

    node_context& context_;
    net::log_client& log_;
    std::string stream_;
    mutable std::mutex mutex_;
    ledger::group_committer committer_;
    std::deque<pending> queued_;
    std::map<std::uint64_t, std::vector<pending>> sent_;
    std::uint64_t last_sequence_ = 0;
    bool failing_ = false;
    bool running_ = false;
};

} // namespace dragonflystair::node
