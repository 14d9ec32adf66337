#include "make_part.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>

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

using maker = std::shared_ptr<part> (*)(const asio::any_io_executor&, section&);

const std::map<std::string, maker>& makers() {
    static const std::map<std::string, maker> all{{"log", make_log},
                                                  {"store", make_store},
                                                  {"vms", make_vm_list},
                                                  {"engine", make_engine},
                                                  {"plain", make_plain}};
    return all;
}

parts make_parts(const asio::any_io_executor& context, const std::string& settings_file) {
    parts made;
    for (auto& entry : read_settings(settings_file)) {
        const auto make = makers().find(entry.kind());
        if (make == makers().end()) {
            throw std::runtime_error(
                fmt::format("[{}] is not a kind of stand-in", entry.heading()));
        }
        if (!made.emplace(entry.name(), make->second(context, entry)).second) {
            throw std::runtime_error(fmt::format("two stand-ins are named '{}'", entry.name()));
        }
        entry.check_all_used();
    }
    return made;
}

/// Writes a temporary file and renames it, so that no reader sees an incomplete file.
void write_ports(const std::string& file, const parts& started) {
    const auto draft = file + ".draft";
    std::ofstream out(draft);
    for (const auto& [name, item] : started) {
        out << name << '=' << item->address() << '\n';
    }
    out.close();
    if (!out || std::rename(draft.c_str(), file.c_str()) != 0) {
        throw std::runtime_error(fmt::format("{}: cannot write the file", file));
    }
}

void run(const std::string& settings_file, const std::string& ports_file) {
    asio::io_context context(1);
    asio::signal_set stops(context, SIGINT, SIGTERM);
    stops.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    const auto started = make_parts(context.get_executor(), settings_file);
    for (const auto& [name, item] : started) {
        item->connect(started);
        item->start();
    }
    if (!ports_file.empty()) {
        write_ports(ports_file, started);
    }
    context.run();
}

} // namespace

} // namespace dragonflystair::stand_ins

int main(int argc, char** argv) {
    using namespace dragonflystair::stand_ins;
    const auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto& ports_file = options.at("--ports-file");
    try {
        run(options.at("--settings").asString(), ports_file ? ports_file.asString() : "");
    } catch (const std::exception& error) {
        fmt::print(stderr, "error: {}\n", error.what());
        return 1;
    }
    return 0;
}
