#include "observed_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

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

std::string contents(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

std::vector<std::string> unused_addresses(std::size_t count) {
    const auto process = static_cast<std::uint32_t>(::getpid());
    const auto host = boost::asio::ip::make_address(fmt::format(
        "127.{}.{}.{}", 128 + (process >> 16U) % 64, (process >> 8U) % 256, 1 + process % 254));
    boost::asio::io_context context;
    std::vector<std::string> out;
    std::vector<tcp::acceptor> open;
    while (out.size() < count) {
        open.emplace_back(context, tcp::endpoint(host, 0));
        out.push_back(fmt::format("{}:{}", host.to_string(), open.back().local_endpoint().port()));
    }
    return out;
}

observed_process::observed_process(std::vector<std::string> command, const std::string& settings) {
    std::string pattern = "/tmp/untrusted_callers_XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder");
    }
    folder_ = pattern;
    const auto file = folder_ + "/settings.ini";
    std::ofstream(file) << settings;
    command.insert(command.end(), {"--settings", file});
    process_ = std::make_unique<scenarios::child_process>(command, folder_ + "/process.log");
}

observed_process::~observed_process() {
    process_.reset();
    std::filesystem::remove_all(folder_);
}

bool observed_process::alive() const {
    const auto status = contents(fmt::format("/proc/{}/stat", process_->id()));
    const auto name_end = status.rfind(") ");
    return name_end != std::string::npos && status.at(name_end + 2) != 'Z';
}

std::size_t observed_process::peak_memory_mb() const {
    static constexpr std::string_view field = "VmHWM:";
    const auto status = contents(fmt::format("/proc/{}/status", process_->id()));
    const auto at = status.find(field);
    constexpr std::size_t kb_per_mb = 1024;
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + field.size())) / kb_per_mb;
}

std::size_t observed_process::open_descriptors() const {
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process_->id()));
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string observed_process::log() const {
    return contents(folder_ + "/process.log");
}

} // namespace dragonflystair::untrusted
