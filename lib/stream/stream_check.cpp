#include "dragonflystair/stream/stream_check.h"

namespace dragonflystair::stream {

event_verdict stream_check::check(std::uint64_t position, std::string_view model) {
    // The model is checked first: an event of another model must not be dropped as a duplicate.
    if (model != model_) {
        return event_verdict::wrong_model;
    }
    if (position < expected_) {
        return event_verdict::duplicate;
    }
    if (position > expected_) {
        return event_verdict::gap;
    }
    ++expected_;
    return event_verdict::relay;
}

} // namespace dragonflystair::stream
