#pragma once

#include <chrono>
#include <cstddef>

namespace dragonflystair::net {

/// Bytes that one read asks for.
inline constexpr std::size_t read_bytes = 4096;

/// Memory of a connection apart from its input buffer and its request: the session and the frames
/// of its coroutines.
inline constexpr std::size_t connection_bytes = std::size_t{8} * 1024;

/// Memory of a header field apart from its text.
inline constexpr std::size_t field_bytes = 160;

/// Longest body that is discarded to keep the connection of a request refused from its head; after
/// a longer one the connection closes.
inline constexpr std::size_t max_discarded_bytes = std::size_t{64} * 1024;

/// Limits for draining the input of a rejected request, so that the caller can read the error
/// response: closing with unread input would reset the connection and discard the response.
inline constexpr std::chrono::milliseconds drain_timeout{1'000};
inline constexpr std::size_t max_drained_bytes = std::size_t{4} * 1024 * 1024;

/// Retry-After of requests that have no room. The time in which stalled callers are closed.
inline constexpr std::chrono::milliseconds room_retry_after{1'000};

} // namespace dragonflystair::net
