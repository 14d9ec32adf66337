#pragma once

#include "dragonflystair/config/deployment.h"
#include "dragonflystair/ledger/records.h"
#include "dragonflystair/ledger/stream_entry.h"
#include "dragonflystair/membership/endpoint_view.h"

#include <cstdint>
#include <string>
#include <vector>

/// Inputs of the benches, shaped as at the size that decides the design (docs/design.md,
/// section 4): 3 regions, 8 data centres, names and addresses of usual length.
namespace bench {

inline constexpr std::size_t data_centres = 8;

/// Adapters that one endpoint holds; a stand-in's default number of slots is 8.
inline constexpr std::size_t slots = 8;

std::string data_centre_name(std::size_t index);
std::string region_name(std::size_t data_centre);
std::string adapter_name(std::size_t index);
std::string endpoint_name(std::size_t index);

/// 32 hexadecimal digits, as an incarnation or a writer has them.
std::string hex_id(std::size_t index);

/// Sections of a text with one model service and so many adapters.
dragonflystair::config::section_map sections_of(std::size_t adapters);

/// Entry with one record, at `offset`, written by node `writer`.
dragonflystair::ledger::stream_entry entry_of(std::uint64_t offset, std::size_t writer,
                                              const dragonflystair::ledger::record& item);

/// Bytes of an entry in the log's answer.
std::string text_of(const dragonflystair::ledger::stream_entry& entry);
dragonflystair::ledger::stream_entry entry_from(const std::string& text);

dragonflystair::ledger::session_open session_of(std::size_t node);

/// VM list of so many model endpoints.
std::vector<dragonflystair::membership::listed_vm> vms_of(std::size_t endpoints);

} // namespace bench
