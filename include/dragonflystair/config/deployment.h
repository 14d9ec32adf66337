#pragma once

#include "dragonflystair/support/finding.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Body of a section as written: key to value.
using section_values = std::map<std::string, std::string>;
/// All sections by the words in their brackets, such as `service assistant`.
using section_map = std::map<std::string, section_values>;

enum class service_kind { model, plain };

/// One method and path prefix of a plain service that is not idempotent.
struct operation {
    std::string method;
    std::string path;
    bool operator==(const operation&) const = default;
};

struct service {
    std::string name;
    service_kind kind = service_kind::model;
    std::string base_model;
    std::vector<std::string> data_centres;
    bool checks_fencing = false;
    bool long_work = false;
    std::vector<std::string> depends_on;
    std::vector<operation> non_idempotent;
    std::string status_lookup; ///< Path with `{key}`; empty if there is none.

    /// Whether a call of this method and path may not be repeated. The method's case, and the
    /// query, escapes, empty segments and dot segments of the path are left out of account.
    [[nodiscard]] bool is_non_idempotent(std::string_view method, std::string_view path) const;
};

struct adapter {
    std::string service;
    std::string name;
    std::vector<std::string> versions;
    std::string current;
    bool long_work = false;
};

/// The operators' text, understood.
struct deployment {
    std::string name;
    double store_loads_per_second = 6;
    std::size_t store_concurrent_loads = 3;
    std::size_t transit_limit = 24;
    std::map<std::string, std::string> region_by_data_centre;
    std::map<std::string, service> services;
    std::map<std::string, adapter> adapters; ///< By `service/adapter`.

    /// Full name `service/adapter@version` for a requested model, with the current version filled
    /// in; nothing if the service, adapter or version is unknown.
    [[nodiscard]] std::optional<std::string> full_name(std::string_view model) const;
    /// The adapter of a requested model, or null.
    [[nodiscard]] const adapter* find_adapter(std::string_view model) const;
};

/// A text with every finding; `values` is usable only if there are none.
struct deployment_result {
    deployment values;
    section_map sections;
    support::findings findings;
};

/// Reads and validates the operators' text. All findings come in the order of lines: unknown
/// section kind or key, missing key, wrong unit or type, duplicate section or key, unknown version,
/// unknown reference, dependency cycle, model service without base model, service without endpoints
/// (no data centre), broken UTF-8, a line that is not INI or longer than 60,000 bytes.
deployment_result parse_deployment(std::string_view text, std::string_view file);

/// The same from sections in force; findings carry the file `configuration` and line 0. No sections
/// give an empty deployment without findings, as before the first publication.
deployment_result deployment_from_sections(const section_map& sections);

/// INI text of sections, in a stable order.
std::string render(const section_map& sections);

/// Sections that differ: a new value, or nothing for a removed section.
std::map<std::string, std::optional<section_values>> changed_sections(const section_map& from,
                                                                      const section_map& to);

} // namespace dragonflystair::config
