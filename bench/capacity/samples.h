#pragma once

#include "dragonflystair/config/deployment.h"
#include "dragonflystair/ledger/records.h"
#include "dragonflystair/ledger/stream_entry.h"
#include "dragonflystair/membership/endpoint_view.h"

#include <cstdint>
#include <string>
#include <vector>

/// Inputs of the benchmarks at the size that the design targets (docs/design.md, section 4): 3
/// regions, 8 data centres, names and addresses of typical length.
namespace bench {

inline constexpr std::size_t data_centres = 8;

/// Resident adapters per endpoint. Equals the default number of slots of a stand-in engine.
inline constexpr std::size_t slots = 8;

std::string data_centre_name(std::size_t index);
std::string region_name(std::size_t data_centre);
std::string adapter_name(std::size_t index);
std::string endpoint_name(std::size_t index);

/// Returns 32 hexadecimal digits, the form of incarnation and writer identifiers.
std::string hex_id(std::size_t index);

/// Returns the sections of a deployment text with one model service and `adapters` adapters.
dragonflystair::config::section_map make_sections(std::size_t adapters);

/// Returns an entry at `offset` with one record, written by node `writer`.
dragonflystair::ledger::stream_entry make_entry(std::uint64_t offset, std::size_t writer,
                                                const dragonflystair::ledger::record& record);

/// Returns an entry as it appears in a response of the log.
std::string serialize(const dragonflystair::ledger::stream_entry& entry);
dragonflystair::ledger::stream_entry parse_entry(const std::string& text);

dragonflystair::ledger::session_open make_session(std::size_t node);

/// Returns a VM list of `endpoints` model endpoints.
std::vector<dragonflystair::membership::listed_vm> make_vms(std::size_t endpoints);

} // namespace bench
