#pragma once

#include "dragonflystair/fleet/crash_evidence.h"
#include "dragonflystair/support/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflystair::fleet {

/// Returns whether a request has a trait.
bool has_trait(const request_traits& request, const trait& what);

/// A crash as known from the reports of all nodes.
struct crash_record {
    std::string endpoint;
    std::uint64_t started_ms = 0;
    support::time_point at;
    std::vector<request_traits> requests;

    [[nodiscard]] bool has_part(std::uint64_t part) const;
    [[nodiscard]] bool has(const trait& what) const;
};

/// The most recent crashes, a bounded number of them.
class crash_records {
public:
    /// Adds a report of a crash; reports of the same crash by several nodes are joined. Returns the
    /// record.
    const crash_record& add(const endpoint_crash& crash, support::time_point now);
    /// Removes the record of a run of an endpoint if it is of a time before `response_to`, when a
    /// request was sent that was responded to.
    void refute(std::string_view endpoint, std::uint64_t started_ms,
                support::time_point response_to);
    /// Adds the records of a run again that were removed since a time.
    void restore(std::string_view endpoint, std::uint64_t started_ms, support::time_point since);
    /// Drops the records from before a time.
    void expire(support::time_point before);

    [[nodiscard]] const std::deque<crash_record>& all() const { return records_; }

private:
    struct refuted_record {
        support::time_point at; ///< When the request was sent whose response refuted the record.
        crash_record record;
    };

    void append(crash_record record);

    std::deque<crash_record> records_;
    std::deque<refuted_record> refuted_;
};

/// When traits were last served, for a bounded number of traits.
class served_traits {
public:
    void add(const trait& what, support::time_point at);
    /// Returns the time, or the epoch if it is unknown.
    [[nodiscard]] support::time_point last(const trait& what) const;

private:
    struct hash {
        std::size_t operator()(const trait& what) const {
            return static_cast<std::size_t>(what.id) ^ static_cast<std::size_t>(what.kind);
        }
    };
    using times = std::unordered_map<trait, support::time_point, hash>;

    // Two generations, of which the older one is dropped when the younger one is full.
    times young_;
    times old_;
};

} // namespace dragonflystair::fleet
