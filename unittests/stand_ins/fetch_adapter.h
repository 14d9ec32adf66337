#pragma once

#include "exchange.h"

#include <string>

namespace dragonflystair::stand_ins {

/// Fetches an adapter from the store at `address` and returns the HTTP status, or 503 if the store
/// could not be reached.
awaitable<http::status> fetch_adapter(std::string address, std::string adapter);

} // namespace dragonflystair::stand_ins
