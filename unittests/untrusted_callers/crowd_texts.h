#pragma once

#include <cstddef>
#include <string>

namespace dragonflystair::untrusted {

/// What callers that are not under our control send to a path.

/// A body that lacks its last byte.
std::string almost_whole_body(const std::string& path, std::size_t body_bytes);

/// A body in chunks that lacks its last chunk.
std::string chunks(const std::string& path, std::size_t body_bytes);

std::string many_fields(const std::string& path);

std::string short_request(const std::string& path);

/// The length of a frame between peers, 768 bytes, and a part of the frame.
std::string part_of_frame();

} // namespace dragonflystair::untrusted
