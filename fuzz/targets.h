#pragma once

#include <span>
#include <string_view>

namespace dragonflystair::fuzz {

/// A reader of bytes that untrusted callers send. `run` aborts the process if the reader breaks a
/// rule that holds for every input.
struct target {
    std::string_view name; ///< Also the folder of its corpus.
    void (*run)(std::string_view input);
};

/// Sends the input to a connection of a caller of the HTTP server: heads, bodies, chunks and
/// pipelined requests. The handler reads and renders each request as the gateway does.
void run_requests(std::string_view input);

/// Reads the input as the bytes of a peer link, and each frame by every decoder of the gateway.
void run_peer_frames(std::string_view input);

/// Reads the input as a target and `NAME: VALUE` lines of a call.
void run_call_headers(std::string_view input);

inline constexpr target targets[] = {{"requests", run_requests},
                                     {"peer_frames", run_peer_frames},
                                     {"call_headers", run_call_headers}};

/// Aborts the process with a message unless `condition` holds.
void require(bool condition, std::string_view rule);

} // namespace dragonflystair::fuzz
