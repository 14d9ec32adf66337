#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::net {

/// Decides how much the connections of a listener may hold, and which of them are closed first. A
/// connection is busy while its request is served and waiting otherwise; only waiting ones are
/// closed, except those whose callers do not read while no connection is left. The first to be
/// closed is the one with the largest product of its bytes and the time since its last progress.
class byte_budget {
public:
    using holder = std::uint64_t;
    using time_point = std::chrono::steady_clock::time_point;

    struct limits {
        std::size_t bytes = 0;    ///< Held by all connections.
        std::size_t reserved = 0; ///< Part of `bytes` that waiting connections may not hold.
        std::size_t connections = 0;
        std::size_t connections_per_address = 0; ///< 0 means no limit.
    };

    /// Bytes that a waiting connection sends to count as progress. A caller that sends single bytes
    /// makes none.
    static constexpr std::size_t progress_bytes = std::size_t{16} * 1024;

    /// At the limit of connections, one without progress for this long makes room for another.
    static constexpr std::chrono::milliseconds min_stall{200};

    /// Where that is not enough, so does a connection whose caller has not read a write for this
    /// long. Callers may read slowly, so it is longer.
    static constexpr std::chrono::milliseconds min_unread{1'000};

    /// Share of the connections that are closed at once to make room: 1 / `connections_per_batch`,
    /// but at least `min_batch`.
    static constexpr std::size_t connections_per_batch = 16;
    static constexpr std::size_t min_batch = 4;

    /// Bytes of a connection with a short request, rounded up.
    static constexpr std::size_t connection_bytes = std::size_t{16} * 1024;

    struct verdict {
        bool granted = false;
        std::vector<holder> closed; ///< Connections that must be closed.
    };

    explicit byte_budget(limits chosen) : limits_(chosen) {}

    /// Returns whether another connection has room, and the connections to close if it has none.
    verdict make_room(time_point now);

    /// Adds a waiting connection. Returns false if its address has too many.
    bool open(holder id, const std::string& address, time_point now);
    void close(holder id);

    /// Sets the bytes that a connection holds. If they are not granted, a waiting connection must
    /// release them, and a busy one must not take more.
    verdict hold(holder id, std::size_t bytes, time_point now);

    /// Sets the bytes that a busy connection holds together with those of its next requests.
    /// Returns false, and changes nothing, if they would take the reserved part or what the
    /// connections that may still come need: those have no room if requests that were sent ahead
    /// take everything.
    bool hold_ahead(holder id, std::size_t bytes);

    /// Counts bytes that a waiting connection has sent.
    void receive(holder id, std::size_t bytes, time_point now);

    /// Marks a connection as busy or waiting. Either change is progress.
    void set_busy(holder id, bool busy, time_point now);

    /// Marks that a write to the caller has begun or ended.
    void set_writing(holder id, bool writing, time_point now);

    /// Returns whether a body of this size fits beside the requests that are being served.
    [[nodiscard]] bool has_room(std::size_t bytes) const;

    [[nodiscard]] std::size_t connections() const { return entries_.size(); }
    [[nodiscard]] std::size_t held() const { return waiting_bytes_ + busy_bytes_; }

private:
    struct entry {
        std::string address;
        std::size_t bytes = 0;
        std::size_t received = 0; ///< Since the last progress.
        time_point progressed;
        bool busy = false;
        bool writing = false;
        time_point write_began;
        bool closing = false; ///< Its bytes no longer count.
    };
    using entries = std::map<holder, entry>;

    [[nodiscard]] bool over(bool busy) const;
    [[nodiscard]] std::size_t kept_for_connections() const;
    entries::iterator first_to_close(time_point now);
    std::vector<entries::iterator> stalled(time_point now);
    void uncount(const entry& item);
    void count(const entry& item);

    limits limits_;
    entries entries_;
    std::map<std::string, std::size_t> by_address_;
    std::size_t waiting_bytes_ = 0;
    std::size_t busy_bytes_ = 0;
};

} // namespace dragonflystair::net
