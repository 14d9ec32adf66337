#include "gateway_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace dragonflystair::untrusted {

namespace {

using tcp = boost::asio::ip::tcp;

/// Returns distinct unused addresses. The loopback host is derived from the process id, so that no
/// other process takes the ports before the gateway binds them.
gateway_addresses free_addresses() {
    const auto process = static_cast<std::uint32_t>(::getpid());
    const auto host = boost::asio::ip::make_address(fmt::format(
        "127.{}.{}.{}", 128 + (process >> 16U) % 64, (process >> 8U) % 256, 1 + process % 254));
    boost::asio::io_context context;
    gateway_addresses out;
    std::vector<tcp::acceptor> open;
    for (auto* address : {&out.callers, &out.ready, &out.resolve, &out.peers, &out.metrics}) {
        open.emplace_back(context, tcp::endpoint(host, 0));
        *address = fmt::format("{}:{}", host.to_string(), open.back().local_endpoint().port());
    }
    return out;
}

std::string contents(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

gateway_process::gateway_process(const std::string& store_address) : addresses_(free_addresses()) {
    std::string pattern = "/tmp/untrusted_callers_XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder");
    }
    folder_ = pattern;
    write_settings(store_address);
    const std::array<std::string, 4> arguments{DRAGONFLYSTAIR_PROGRAM, "gateway", "--settings",
                                               folder_ + "/node.ini"};
    process_ = std::make_unique<scenarios::child_process>(arguments, folder_ + "/node.log");
}

gateway_process::~gateway_process() {
    process_.reset();
    std::filesystem::remove_all(folder_);
}

void gateway_process::write_settings(const std::string& store_address) const {
    std::ofstream(folder_ + "/node.ini")
        << "[gateway]\nname = node-1\ndata_centre = north\nregion = n\n"
        << fmt::format("caller_address = {}\nready_address = {}\nresolve_address = {}\n",
                       addresses_.callers, addresses_.ready, addresses_.resolve)
        << fmt::format("peer_address = {}\nmetrics_address = {}\n", addresses_.peers,
                       addresses_.metrics)
        << fmt::format("[store]\nstore = {}\n[data_centres]\nnorth = n\n", store_address)
        << "[secrets]\npeer_secret = secret\n"
        << fmt::format("[limits]\nengines_check_fencing = true\nmemory_mb = {}\n", memory_mb)
        << fmt::format("descriptors = {}\n", descriptors);
}

bool gateway_process::alive() const {
    const auto status = contents(fmt::format("/proc/{}/stat", process_->id()));
    const auto name_end = status.rfind(") ");
    return name_end != std::string::npos && status.at(name_end + 2) != 'Z';
}

std::size_t gateway_process::peak_memory_mb() const {
    static constexpr std::string_view field = "VmHWM:";
    const auto status = contents(fmt::format("/proc/{}/status", process_->id()));
    const auto at = status.find(field);
    constexpr std::size_t kb_per_mb = 1024;
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + field.size())) / kb_per_mb;
}

std::size_t gateway_process::open_descriptors() const {
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process_->id()));
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string gateway_process::log() const {
    return contents(folder_ + "/node.log");
}

} // namespace dragonflystair::untrusted
