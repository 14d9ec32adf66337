#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::fleet {

/// Decides whether a node relies on another node of its data centre to read the store for it. A
/// node counts as a reader only while the store answers it: on a silent link it notices the loss
/// of the store by a timeout that is longer than records may take to be in force. Has no clock and
/// does no I/O.
class store_readers {
public:
    /// Longest time since the store's last answer to a reader. Readers get an answer, which may be
    /// empty, within `read_interval` + `read_wait` and the store's response time.
    static constexpr std::chrono::milliseconds max_silence{1'400};
    /// Pause after an answer with records.
    static constexpr std::chrono::milliseconds read_interval{700};
    /// Time for which the store holds a read until there are records.
    static constexpr std::chrono::milliseconds read_wait{500};

    explicit store_readers(std::string own_name) : own_name_(std::move(own_name)) {}

    /// Applies the status of a peer. `reads` is whether it reads the store itself, and `answered`
    /// when the store last answered it.
    void on_status(std::string_view peer, std::string_view name, bool reads,
                   support::time_point answered);
    /// Records that a peer forwarded records that it has just read.
    void on_forwarded(std::string_view peer, support::time_point now);
    void remove(std::string_view peer);

    /// Returns whether a node that ranks before this one reads the store.
    [[nodiscard]] bool has_reader(support::time_point now) const;
    /// Returns the peer on which this node relies; empty if there is none.
    [[nodiscard]] std::string reader(support::time_point now) const;
    /// Returns how many nodes rank before this one as readers of the store.
    [[nodiscard]] std::size_t rank() const;

private:
    struct node {
        std::string name;
        bool reads = false;
        support::time_point answered;
    };

    std::string own_name_;
    std::map<std::string, node, std::less<>> peers_;
};

} // namespace dragonflystair::fleet
