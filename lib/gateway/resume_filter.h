#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// Releases only complete events of a stream and records the id of the last one, so that a stream
/// that breaks in the middle of an event can be resumed at another endpoint. Does not change bytes.
class resume_filter {
public:
    /// If `transparent`, bytes pass without regard to event boundaries, as for streams that are not
    /// resumable.
    explicit resume_filter(bool transparent) : transparent_(transparent) {}

    /// Adds bytes of the stream and returns those that may be sent now.
    std::string feed(std::string_view bytes);
    /// Discards an incomplete event after a broken stream.
    void drop_partial() { partial_.clear(); }
    /// Returns the remaining bytes at the regular end of a stream.
    std::string take_remainder();

    /// Returns the id of the last released event that has one; empty if there is none.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    /// Returns the number of bytes that are withheld.
    [[nodiscard]] std::size_t withheld_bytes() const { return partial_.size(); }
    /// Returns whether any bytes of the stream have arrived.
    [[nodiscard]] bool started() const { return started_; }

private:
    bool transparent_;
    bool started_ = false;
    std::string partial_;
    std::string last_id_;
};

} // namespace dragonflystair::gateway
