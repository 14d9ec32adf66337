#pragma once

#include "located_deployment.h"
#include "section_reader.h"

#include <string>

namespace dragonflystair::config {

/// Reads the body of `[service NAME]`.
void read_service(section_reader& reader, const std::string& name, located_deployment& target);

/// Reads the body of `[adapter SERVICE/NAME]`.
void read_adapter(section_reader& reader, const std::string& full_name, located_deployment& target);

} // namespace dragonflystair::config
