#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflystair::stream {

/// What to do with an event of a stream.
enum class event_verdict { relay, duplicate, gap, wrong_model };

/// Checks the events of one stream: positions rise by one from the first expected position, and the
/// answering model is the one that the request named.
class stream_check {
public:
    stream_check(std::string model, std::uint64_t first_position)
        : model_(std::move(model)), expected_(first_position) {}

    /// `relay` advances the expected position; a `repeat` is dropped by the node; the others end
    /// the stream or make the node resume it.
    event_verdict check(std::uint64_t position, std::string_view model);

    /// Position of the next event, from which to resume.
    [[nodiscard]] std::uint64_t expected() const { return expected_; }

private:
    std::string model_;
    std::uint64_t expected_;
};

} // namespace dragonflystair::stream
