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

/// Appends this node's records to one stream of the log in batches, retries failed appends, and
/// reports the position of each record once the stream's follower has read it back. Thread-safe.
class log_writer : public std::enable_shared_from_this<log_writer> {
public:
    /// Called with the position at which the record was read back.
    using read_back_hook = std::function<void(ledger::position)>;

    static constexpr std::chrono::milliseconds append_timeout{1'000};
    static constexpr std::chrono::milliseconds retry_delay{100};

    log_writer(node_context& context, net::log_client& log, std::string stream);

    /// Enqueues a record. `hook` runs on the thread that reads the log; `on_sending` runs
    /// immediately before the append with this record is sent for the first time. Both may be
    /// empty.
    void append(ledger::record record, read_back_hook hook = {},
                std::function<void()> on_sending = {});

    /// Appends a record and waits until it has been read back. Returns its position, or an empty
    /// optional after `timeout`; the record may still be appended later in that case.
    net::awaitable<std::optional<ledger::position>>
    append_and_wait(ledger::record record, std::chrono::milliseconds timeout);

    /// Called for each entry that the stream's follower has read and applied.
    void on_entry(const ledger::stream_entry& entry);

    /// Starts the loop that sends queued records.
    void start();

    /// Returns true if no record is queued or being appended.
    [[nodiscard]] bool idle() const;

    /// Returns true if the last append was rejected or got no response.
    [[nodiscard]] bool failing() const;

private:
    struct pending {
        read_back_hook hook;
        std::function<void()> on_sending;
    };

    net::awaitable<void> run();
    net::awaitable<bool> send(ledger::append_request order);
    std::optional<ledger::append_request> next_request();

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
