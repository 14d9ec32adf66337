#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// Passes on whole events only, and remembers the id of the last one, so that a stream that breaks
/// in the middle of an event can go on at another endpoint. Bytes are not changed.
class resume_filter {
public:
    /// Whether bytes pass without being cut at events, as for streams that are not resumable.
    explicit resume_filter(bool transparent) : transparent_(transparent) {}

    /// The bytes that may be sent now.
    std::string feed(std::string_view bytes);
    /// Drops the part of an event whose rest will not come.
    void drop_partial() { partial_.clear(); }
    /// What is left at the orderly end of a stream.
    std::string rest();

    /// Id of the last event that was passed on; empty if there was none.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    [[nodiscard]] bool started() const { return started_; }

private:
    bool transparent_;
    bool started_ = false;
    std::string partial_;
    std::string last_id_;
};

} // namespace dragonflystair::gateway
