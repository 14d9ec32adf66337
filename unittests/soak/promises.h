#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::soak {

/// Kinds of call, which differ in what may be repeated.
enum class call_kind {
    stamp,   ///< Plain, runs once at most.
    lookup,  ///< Plain, may be repeated.
    draft,   ///< Stream, runs once at most.
    pattern, ///< Stream that may be resumed.
};

inline constexpr std::size_t call_kinds = 4;
/// Events of a whole stream.
inline constexpr int stream_events = 6;

/// How a call ended for its caller.
enum class call_end {
    served,
    refused, ///< 429 or 503: the call has not run and never will.
    failed,  ///< Another failure, which promises nothing.
    cut,     ///< The connection ended before a whole answer.
};

bool runs_once(call_kind kind);
std::string_view to_string(call_kind kind);

/// What endpoints and callers have seen, and what of it breaks a promise. Thread-safe.
class promises {
public:
    /// `cuts_allowed` tells whether faults may cut off a call that runs.
    promises(bool cuts_allowed, std::function<void(std::string_view)> on_broken)
        : cuts_allowed_(cuts_allowed), on_broken_(std::move(on_broken)) {}

    void note_call(const std::string& id, call_kind kind);
    /// An endpoint of `service` begins to run a call; `first_event` is where a stream begins.
    void note_run(const std::string& id, std::string_view service, int first_event);
    /// A caller has its final answer; `body` is what came.
    void note_end(const std::string& id, call_end end, std::string_view signature,
                  std::string_view body);

    /// Reports one broken promise.
    void broken(const std::string& text);

    [[nodiscard]] std::size_t violations() const;
    /// Calls of a kind that were served so far.
    [[nodiscard]] std::size_t served(call_kind kind) const;
    [[nodiscard]] std::string summary() const;

private:
    struct call {
        call_kind kind = call_kind::stamp;
        int runs = 0;
        bool refused = false;
    };

    void check_body(const std::string& id, const call& item, std::string_view signature,
                    std::string_view body, bool complete);

    bool cuts_allowed_;
    std::function<void(std::string_view)> on_broken_;
    mutable std::mutex mutex_;
    std::map<std::string, call> calls_;
    std::map<std::pair<call_kind, call_end>, std::size_t> ends_;
    std::size_t violations_ = 0;
};

/// Bodies and signatures by which a request and an answer are known as a call's own.
std::string request_body(std::string_view id);
std::string signature_of(std::string_view id);
std::string plain_body(std::string_view id);
std::string event_text(std::string_view id, int number);

} // namespace dragonflystair::soak
