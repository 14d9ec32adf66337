#pragma once

#include "dragonflystair/ledger/records.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::ledger {

/// One append to send to the log. A retry after a failure or a lost response has the same sequence
/// and payload, so that readers can drop the duplicate.
struct append_request {
    std::uint64_t sequence = 0;
    support::json payload;
};

/// Batches the pending records of one stream into appends (group commit). At most one append is
/// outstanding, so that a writer's sequence numbers reach the stream in order.
class group_committer {
public:
    explicit group_committer(std::size_t max_records = 512) : max_records_(max_records) {}

    /// Enqueues a record. Returns its ticket number, which increases by one per record.
    std::uint64_t add(record content);

    /// Removes a record from the queue. Returns false if it is already part of an append request or
    /// was withdrawn before.
    bool withdraw(std::uint64_t ticket);

    /// Returns the append to send now, or nothing while one is in flight or no record is pending.
    std::optional<append_request> next();

    /// Called when the outstanding append was accepted.
    void on_appended();

    /// Called when the outstanding append was rejected or its response was lost; `next` returns the
    /// same append again.
    void on_failed();

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] bool outstanding() const { return outstanding_.has_value(); }

private:
    struct pending_record {
        std::uint64_t ticket = 0;
        record content;
    };

    std::size_t max_records_;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t next_sequence_ = 1;
    std::deque<pending_record> queue_;
    std::optional<append_request> outstanding_;
    bool in_flight_ = false;
};

} // namespace dragonflystair::ledger
