#pragma once

#include "exchange.h"

#include <string>

namespace dragonflystair::stand_ins {

/// Fetches an adapter from the store at `address`. Returns the HTTP status, or 503 if the store is
/// unreachable or the connection fails.
awaitable<http::status> fetch_adapter(std::string address, std::string adapter);

} // namespace dragonflystair::stand_ins
