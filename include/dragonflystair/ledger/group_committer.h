#pragma once

#include "dragonflystair/ledger/records.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::ledger {

/// One append to send: the same sequence and payload again after an unknown answer.
struct append_request {
    std::uint64_t sequence = 0;
    support::json payload;
};

/// Collects the records that wait for one stream into one append at a time. At most one append is
/// outstanding, so that a writer's sequences reach the stream in order.
class group_committer {
public:
    explicit group_committer(std::size_t max_records = 512) : max_records_(max_records) {}

    /// Adds a record; returns its ticket, which rises by one per record.
    std::uint64_t add(record item);

    /// Takes a record back that has not been part of any append order yet.
    bool withdraw(std::uint64_t ticket);

    /// The append to send now, or nothing while one is outstanding or nothing waits.
    std::optional<append_request> next();

    /// The outstanding append was accepted.
    void on_appended();

    /// The outstanding append was refused or its answer was lost; `next` gives it again.
    void on_failed();

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] bool outstanding() const { return outstanding_.has_value(); }

private:
    struct waiting_record {
        std::uint64_t ticket = 0;
        record item;
    };

    std::size_t max_records_;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t next_sequence_ = 1;
    std::deque<waiting_record> queue_;
    std::optional<append_request> outstanding_;
    bool sent_ = false;
};

} // namespace dragonflystair::ledger
