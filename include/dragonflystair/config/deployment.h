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
/// All sections by the text between their brackets, such as `service assistant`.
using section_map = std::map<std::string, section_values>;

/// Kind of a service: one that serves adapters of a base model, or a plain HTTP service.
enum class service_kind { model, plain };

/// Method and path prefix of the calls to a plain service that are not idempotent.
struct operation {
    std::string method;
    std::string path;
    bool operator==(const operation&) const = default;
};

/// A service of the deployment, from a section `[service NAME]`.
struct service {
    std::string name;
    service_kind kind = service_kind::model;
    std::string base_model;
    std::vector<std::string> data_centres;
    bool checks_fencing = false; ///< Whether endpoints reject stale fencing numbers.
    bool long_work = false;      ///< Class `long`; applies to adapters without a class.
    std::vector<std::string> depends_on;
    std::vector<operation> non_idempotent;
    std::string status_lookup; ///< Path with `{key}`; empty if there is none.

    /// Returns whether a call of this method and path must not be retried. The method is compared
    /// without regard to case; the query, percent escapes, empty segments and dot segments of the
    /// path make no difference.
    [[nodiscard]] bool is_non_idempotent(std::string_view method, std::string_view path) const;
};

/// An adapter of a model service, from a section `[adapter SERVICE/NAME]`.
struct adapter {
    std::string service;
    std::string name;
    std::vector<std::string> versions;
    std::string current;
    bool long_work = false;
};

/// The deployment as published by operators, parsed into typed values.
struct deployment {
    std::string name;
    double store_loads_per_second = 6;
    std::size_t store_concurrent_loads = 3;
    std::size_t transit_limit = 24; ///< Further upper bound on concurrent loads from the store.
    std::map<std::string, std::string> region_by_data_centre;
    std::map<std::string, service> services;
    std::map<std::string, adapter> adapters; ///< By `service/adapter`.

    /// Returns the full name `service/adapter@version` of a requested model, with the current
    /// version if the request has none; nothing if the service, adapter or version is unknown.
    [[nodiscard]] std::optional<std::string> full_name(std::string_view model) const;
    /// Returns the adapter of a requested model, or null if it is unknown.
    [[nodiscard]] const adapter* find_adapter(std::string_view model) const;
};

/// A parsed deployment with all findings; `values` is usable only if there are none.
struct deployment_result {
    deployment values;
    section_map sections;
    support::findings findings;
};

/// Parses and validates the INI text of a deployment. Findings are reported in the order of lines:
/// unknown section kind or key, missing key, wrong unit or type, duplicate section or key, unknown
/// version, unknown reference, dependency cycle, model service without base model, service without
/// endpoints (no data centre), invalid UTF-8, a line that is not INI or longer than 60,000 bytes.
deployment_result parse_deployment(std::string_view text, std::string_view file);

/// Validates sections in force in the same way. Findings have the file `configuration` and line 0.
/// No sections result in an empty deployment without findings, as before the first publication.
deployment_result deployment_from_sections(const section_map& sections);

/// Returns the INI text of sections, in a stable order.
std::string render(const section_map& sections);

/// Returns the sections that differ between `from` and `to`: the new value, or nothing for a
/// removed section.
std::map<std::string, std::optional<section_values>> changed_sections(const section_map& from,
                                                                      const section_map& to);

} // namespace dragonflystair::config
