#pragma once

#include "dragonflystair/fleet/crash_evidence.h"
#include "dragonflystair/support/json.h"

namespace dragonflystair::gateway {

/// Frames about endpoints that crashed. The first one has the evidence of a notice, the second one
/// its conclusions, since they go to different nodes. A decoder reads either, and leaves out
/// damaged rows and those beyond its bounds.
support::json crash_evidence_frame(const fleet::crash_notice& notice);
support::json crash_conclusions_frame(const fleet::crash_notice& notice);
fleet::crash_notice decode_crash_notice(const support::json& frame);

} // namespace dragonflystair::gateway
