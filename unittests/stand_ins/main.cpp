#include "engine_part.h"
#include "log_part.h"
#include "plain_part.h"
#include "store_part.h"
#include "vm_list_part.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace dragonflystair::stand_ins {

namespace {

constexpr auto usage = R"(Stand-ins for the platform and the endpoints of dragonflystair.

Usage:
  dragonflystair-stand-ins --settings FILE [--ports-file FILE]
  dragonflystair-stand-ins --help

Options:
  --settings FILE    INI file that lists the parts to start.
  --ports-file FILE  Written once all parts listen: NAME=IP:PORT, one a line.
)";

std::shared_ptr<part> make_part(const asio::any_io_executor& context, section& settings) {
    const auto& kind = settings.kind();
    if (kind == "log") {
        return std::make_shared<log_part>(context, settings);
    }
    if (kind == "store") {
        return std::make_shared<store_part>(context, settings);
    }
    if (kind == "vms") {
        return std::make_shared<vm_list_part>(context, settings);
    }
    if (kind == "engine") {
        return std::make_shared<engine_part>(context, settings);
    }
    if (kind == "plain") {
        return std::make_shared<plain_part>(context, settings);
    }
    throw std::runtime_error(fmt::format("[{}] is no kind of part", kind));
}

using parts = std::map<std::string, std::shared_ptr<part>>;

/// Tells the engines where the store is and the VM list which endpoints there are.
void connect(const parts& started, std::vector<section>& settings) {
    const auto store = started.find("store");
    const auto vms = started.find("vms");
    const auto list =
        vms == started.end() ? nullptr : std::dynamic_pointer_cast<vm_list_part>(vms->second);
    for (auto& entry : settings) {
        if (entry.kind() != "engine" && entry.kind() != "plain") {
            continue;
        }
        const auto& endpoint = started.at(entry.name());
        const auto data_centre = entry.text("data_centre", "");
        const auto service = entry.text("service", "");
        if (list) {
            list->list(entry.name(), endpoint->address(), data_centre, service);
        }
        if (const auto engine = std::dynamic_pointer_cast<engine_part>(endpoint);
            engine && store != started.end()) {
            engine->use_store(store->second->address());
        }
    }
}

/// Writes the file under another name first, so that no reader sees a part of it.
void write_ports(const std::string& file, const parts& started) {
    const auto draft = file + ".draft";
    std::ofstream out(draft);
    for (const auto& [name, item] : started) {
        out << name << '=' << item->address() << '\n';
    }
    out.close();
    if (!out || std::rename(draft.c_str(), file.c_str()) != 0) {
        throw std::runtime_error(fmt::format("{}: cannot be written", file));
    }
}

int run(const std::string& settings_file, const std::string& ports_file) {
    asio::io_context context(1);
    auto settings = read_settings(settings_file);
    parts started;
    for (auto& entry : settings) {
        if (!started.emplace(entry.name(), make_part(context.get_executor(), entry)).second) {
            throw std::runtime_error(fmt::format("two parts are named '{}'", entry.name()));
        }
    }
    connect(started, settings);
    for (auto& entry : settings) {
        entry.check_all_used();
    }
    for (const auto& [name, item] : started) {
        item->start();
    }
    if (!ports_file.empty()) {
        write_ports(ports_file, started);
    }
    asio::signal_set stops(context, SIGINT, SIGTERM);
    stops.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

} // namespace dragonflystair::stand_ins

int main(int argc, char** argv) {
    const auto options =
        docopt::docopt(dragonflystair::stand_ins::usage, {argv + 1, argv + argc}, true);
    const auto& ports_file = options.at("--ports-file");
    try {
        return dragonflystair::stand_ins::run(options.at("--settings").asString(),
                                              ports_file ? ports_file.asString() : "");
    } catch (const std::exception& error) {
        fmt::print(stderr, "error: {}\n", error.what());
        return 1;
    }
}
