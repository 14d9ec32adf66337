#include "soak_gateway.h"

#include "fault_plan.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <set>
#include <unistd.h>
#include <utility>

namespace dragonflystair::soak {

namespace {

/// Returns an unused address that stays unused, because a restarted gateway listens on its previous
/// address again. The loopback host is derived from the process id, so that no other process
/// listens there and no outgoing connection takes an ephemeral port on it.
std::string free_address() {
    const auto process = static_cast<std::uint32_t>(::getpid());
    const auto host = fmt::format("127.{}.{}.{}", 64 + (process >> 16U) % 64, (process >> 8U) % 256,
                                  process % 256);
    // The system may return the same port again after the acceptor is closed.
    static std::set<std::uint16_t> taken;
    for (;;) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address(host), 0});
        const auto port = acceptor.local_endpoint().port();
        if (taken.insert(port).second) {
            return fmt::format("{}:{}", host, port);
        }
    }
}

std::string contents(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

soak_gateway::soak_gateway(std::string program, std::string folder, location where,
                           const std::string& store_address)
    : program_(std::move(program)), folder_(std::move(folder)), location_(std::move(where)),
      store_link_(store_address), caller_address_(free_address()), ready_address_(free_address()),
      resolve_address_(free_address()), peer_address_(free_address()),
      metrics_address_(free_address()) {}

void soak_gateway::write_settings(const std::vector<std::string>& peers, double retry_slack,
                                  const std::string& more_limits) {
    std::ofstream file(folder_ + "/" + location_.name + ".ini");
    file << fmt::format("[gateway]\nname = {}\ndata_centre = {}\nregion = {}\n", location_.name,
                        location_.data_centre, location_.region)
         << fmt::format("caller_address = {}\nready_address = {}\nresolve_address = {}\n",
                        caller_address_, ready_address_, resolve_address_)
         << fmt::format("peer_address = {}\nmetrics_address = {}\n", peer_address_,
                        metrics_address_)
         << fmt::format("[peers]\naddresses = {}\n", fmt::join(peers, ", "))
         << fmt::format("[store]\nstore = {}\n", store_link_.address())
         << "[data_centres]\nnorth = n\nsouth = s\n[secrets]\npeer_secret = soak\n"
         << fmt::format("[limits]\nretry_ratio = 0.2\nretry_slack = {}\nretry_window = 10s\n",
                        retry_slack)
         << fmt::format("lease = 3000ms\nengines_check_fencing = true\nshutdown_timeout = {}ms\n",
                        shutdown_time.count())
         << more_limits;
}

std::size_t soak_gateway::peak_memory_mb() const {
    static constexpr std::string_view field = "VmHWM:";
    constexpr std::size_t kb_per_mb = 1024;
    if (!process_) {
        return 0;
    }
    const auto status = contents(fmt::format("/proc/{}/status", process_->id()));
    const auto at = status.find(field);
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + field.size())) / kb_per_mb;
}

bool soak_gateway::has_logged(std::string_view text) const {
    return contents(folder_ + "/" + location_.name + ".log").find(text) != std::string::npos;
}

std::string soak_gateway::last_line_with(std::string_view text) const {
    const auto log = contents(folder_ + "/" + location_.name + ".log");
    const auto found = log.rfind(text);
    return found == std::string::npos ? std::string{}
                                      : log.substr(found, log.find('\n', found) - found);
}

void soak_gateway::start() {
    if (process_) {
        return;
    }
    ++starts_;
    stopping_ = false;
    const std::array<std::string, 4> arguments{program_, "gateway", "--settings",
                                               folder_ + "/" + location_.name + ".ini"};
    process_ = std::make_unique<scenarios::child_process>(arguments,
                                                          folder_ + "/" + location_.name + ".log");
}

void soak_gateway::kill() {
    process_->signal(SIGKILL);
    process_->wait();
    process_.reset();
}

void soak_gateway::suspend() {
    process_->signal(SIGSTOP);
}

void soak_gateway::resume() {
    process_->signal(SIGCONT);
}

void soak_gateway::hang_up() {
    process_->signal(SIGHUP);
}

void soak_gateway::terminate() {
    stopping_ = true;
    process_->signal(SIGCONT);
    process_->signal(SIGTERM);
}

int soak_gateway::reap() {
    process_->signal(SIGKILL);
    const int code = process_->wait();
    process_.reset();
    return code;
}

} // namespace dragonflystair::soak
