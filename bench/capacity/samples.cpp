#include "samples.h"

#include <fmt/format.h>

#include <array>

namespace bench {

using namespace dragonflystair;

std::string data_centre_name(std::size_t index) {
    return fmt::format("centre-{}", index % data_centres);
}

std::string region_name(std::size_t data_centre) {
    constexpr std::array<const char*, 3> regions{"north", "middle", "south"};
    return regions.at(data_centre % data_centres % regions.size());
}

std::string adapter_name(std::size_t index) {
    return fmt::format("assistant/adapter-{:05}@3", index);
}

std::string endpoint_name(std::size_t index) {
    return fmt::format("assistant-{:04}", index);
}

std::string hex_id(std::size_t index) {
    return fmt::format("{:032x}", (index + 1) * 0x9E3779B97F4A7C15ULL);
}

config::section_map make_sections(std::size_t adapters) {
    config::section_map sections;
    sections["deployment"] = {{"name", "design-size"},
                              {"store_loads_per_second", "60"},
                              {"store_concurrent_loads", "30"},
                              {"transit_limit", "240"}};
    std::string all;
    for (std::size_t index = 0; index < data_centres; ++index) {
        sections["data_centre " + data_centre_name(index)] = {{"region", region_name(index)}};
        all += (all.empty() ? "" : ", ") + data_centre_name(index);
    }
    sections["service assistant"] = {{"kind", "model"},
                                     {"base_model", "fan-7b"},
                                     {"data_centres", all},
                                     {"checks_fencing", "yes"},
                                     {"class", "short"}};
    for (std::size_t index = 0; index < adapters; ++index) {
        sections[fmt::format("adapter assistant/adapter-{:05}", index)] = {{"versions", "2, 3"},
                                                                           {"current", "3"}};
    }
    return sections;
}

ledger::stream_entry make_entry(std::uint64_t offset, std::size_t writer,
                                const ledger::record& record) {
    ledger::stream_entry entry;
    entry.offset = offset;
    entry.writer = hex_id(writer);
    entry.sequence = offset + 1;
    entry.payload = support::json::array();
    entry.payload.push_back(ledger::to_json(record));
    return entry;
}

std::string serialize(const ledger::stream_entry& entry) {
    return support::json{{"offset", entry.offset},
                         {"writer", entry.writer},
                         {"sequence", entry.sequence},
                         {"payload", entry.payload}}
        .dump();
}

ledger::stream_entry parse_entry(const std::string& text) {
    auto value = support::json::parse(text);
    return {value.at("offset").get<std::uint64_t>(), value.at("writer").get<std::string>(),
            value.at("sequence").get<std::uint64_t>(), std::move(value.at("payload"))};
}

ledger::session_open make_session(std::size_t node) {
    return {fmt::format("node-{:03}", node),
            hex_id(node),
            region_name(node),
            data_centre_name(node),
            fmt::format("10.1.{}.{}:8080", node / 200, node % 200),
            fmt::format("10.1.{}.{}:8081", node / 200, node % 200)};
}

std::vector<membership::listed_vm> make_vms(std::size_t endpoints) {
    std::vector<membership::listed_vm> vms;
    for (std::size_t index = 0; index < endpoints; ++index) {
        vms.push_back({endpoint_name(index),
                       fmt::format("10.2.{}.{}:8000", index / 200, index % 200),
                       data_centre_name(index), "assistant", false});
    }
    return vms;
}

} // namespace bench
