#pragma once

#include "dragonflystair/ledger/stream_entry.h"
#include "dragonflystair/net/http_client.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflystair::net {

/// Consecutive entries of a stream. `first` is the oldest retained offset, `next` the offset after
/// the last entry.
struct log_page {
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<ledger::stream_entry> entries;
};

/// Client of the platform's log service. Errors: `unavailable` (outage, nothing appended),
/// `rate_limited` (nothing appended), `unknown` (may have been appended), `gone` (the offset is no
/// longer retained).
class log_client {
public:
    log_client(http_client& http, std::string address);

    /// Appends a record and returns its offset.
    awaitable<async_result<std::uint64_t>> append(std::string stream, std::string writer,
                                                  std::uint64_t sequence, support::json payload,
                                                  std::chrono::milliseconds timeout);

    /// Reads up to `limit` entries; waits up to `wait` for an entry at `from` or later.
    awaitable<async_result<log_page>> read(std::string stream, std::uint64_t from,
                                           std::size_t limit, std::chrono::milliseconds wait);

    /// Returns the oldest retained offset, from which to continue after `gone`.
    awaitable<async_result<std::uint64_t>> first_offset(std::string stream);

private:
    http_client& http_;
    std::string address_;
};

} // namespace dragonflystair::net
