#pragma once

#include "dragonflystair/config/deployment.h"
#include "dragonflystair/ledger/position.h"

namespace dragonflystair::node {

/// The configuration in force at one revision; immutable once published.
struct config_view {
    ledger::position revision = 0;
    config::section_map sections;
    config::deployment deployment;
};

} // namespace dragonflystair::node
