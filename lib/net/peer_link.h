#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/peer_network.h"

#include "deadline.h"
#include "peer_frame.h"
#include "peer_proof.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

using tcp = boost::asio::ip::tcp;
using frame_bytes = std::shared_ptr<const std::string>;

/// One TCP connection to a peer: framing, the queue of outgoing frames, keep-alive and silence
/// detection. The handshake and the meaning of frames are handled elsewhere. All members are used
/// on the link's strand, except those that are marked as safe from any thread.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(tcp::socket socket, link_side side, std::shared_ptr<const peer_settings> settings,
              support::counters& counters);

    [[nodiscard]] const executor& strand() const { return strand_; }
    [[nodiscard]] link_side side() const { return side_; }

    awaitable<bool> connect(tcp::endpoint address);

    /// Starts the time limit for the connect, or for the whole handshake.
    void begin_connect();
    void begin_handshake();
    /// Lifts the handshake's limits of time and frame size, and starts keep-alive frames and
    /// silence detection.
    void begin_frames();

    /// Returns the next frame other than keep-alive, or nullopt once the link is closed.
    awaitable<std::optional<support::json>> read_frame();

    /// Marks that the peer has proved its identity; safe from any thread, like the query.
    void set_authenticated() { authenticated_ = true; }
    [[nodiscard]] bool authenticated() const { return authenticated_; }

    /// Enqueues a frame. Returns false if the link is closed, or closes it because too many bytes
    /// are queued. Safe from any thread.
    bool enqueue(frame_bytes bytes);

    /// Counts the reason under `peer_refusals_total` and closes the link.
    void reject(std::string_view reason);

    /// Both are safe from any thread. Frames that are still queued are lost.
    void close();
    [[nodiscard]] bool closed() const;

private:
    using clock = std::chrono::steady_clock;

    void write_next();
    void on_written(const boost::system::error_code& code);
    void check_keep_alive();
    void close_now();

    executor strand_;
    tcp::socket socket_;
    link_side side_;
    std::shared_ptr<const peer_settings> settings_;
    support::counters& counters_;
    deadline timer_;
    frame_reader reader_;
    std::array<char, std::size_t{16} * 1024> input_{};
    clock::time_point last_received_{};
    clock::time_point last_sent_{};
    std::vector<frame_bytes> in_flight_;
    std::atomic<bool> authenticated_{false};

    mutable std::mutex mutex_; ///< Protects the members below.
    bool closed_ = false;
    bool writing_ = false;
    std::deque<frame_bytes> queue_;
    std::size_t queued_bytes_ = 0;
};

} // namespace dragonflystair::net
