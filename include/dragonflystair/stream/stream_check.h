#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflystair::stream {

/// Action for an event of a stream.
enum class event_verdict { relay, duplicate, gap, wrong_model };

/// Validates the events of one stream: positions must increase by one from the first expected
/// position, and the events must come from the model that the request named.
class stream_check {
public:
    stream_check(std::string model, std::uint64_t first_position)
        : model_(std::move(model)), expected_(first_position) {}

    /// Checks one event. `relay` advances the expected position; the node drops a `duplicate`; on
    /// the other verdicts it ends or resumes the stream.
    event_verdict check(std::uint64_t position, std::string_view model);

    /// Returns the position of the next event, from which a resumed stream has to start.
    [[nodiscard]] std::uint64_t expected() const { return expected_; }

private:
    std::string model_;
    std::uint64_t expected_;
};

} // namespace dragonflystair::stream
