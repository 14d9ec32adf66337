#include "peer_link.h"

#include "run_on.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace dragonflystair::net {

using support::json;

namespace {

/// Covers several round trips between regions (20 ms one way) and the delays of a busy node.
constexpr std::chrono::milliseconds handshake_timeout{2'000};

/// A `hello` with its names takes on the order of a hundred bytes. The limit bounds the memory that
/// an unauthenticated peer can make this node allocate, and the nesting depth of the peer's
/// msgpack, which the JSON library parses recursively.
constexpr std::size_t max_handshake_frame_bytes = 1024;

/// Frames that a single write may combine.
constexpr std::size_t max_frames_per_write = 64;

const frame_bytes& keep_alive_frame() {
    static const auto bytes =
        std::make_shared<const std::string>(encode_frame(json{{"type", "keep_alive"}}));
    return bytes;
}

} // namespace

peer_link::peer_link(tcp::socket socket, link_side side,
                     std::shared_ptr<const peer_settings> settings, support::counters& counters)
    : strand_(socket.get_executor()), socket_(std::move(socket)), side_(side),
      settings_(std::move(settings)), counters_(counters), timer_(strand_),
      reader_(max_handshake_frame_bytes) {}

awaitable<bool> peer_link::connect(tcp::endpoint address) {
    if (closed()) {
        // Connecting would open the socket again.
        co_return false;
    }
    const auto [code] = co_await socket_.async_connect(address, no_throw);
    co_return !code;
}

void peer_link::begin_connect() {
    timer_.arm(clock::now() + handshake_timeout, weak_from_this(), [this] { close(); });
}

void peer_link::begin_handshake() {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    timer_.arm(clock::now() + handshake_timeout, weak_from_this(),
               [this] { reject("handshake_timeout"); });
}

void peer_link::begin_frames() {
    reader_.set_max_bytes(settings_->max_frame_bytes);
    last_received_ = clock::now();
    last_sent_ = last_received_;
    check_keep_alive();
}

awaitable<std::optional<json>> peer_link::read_frame() {
    while (true) {
        json frame;
        const auto status = reader_.next(frame);
        if (status == frame_reader::read_status::frame) {
            if (frame["type"] == "keep_alive") {
                continue;
            }
            co_return std::optional<json>(std::move(frame));
        }
        if (status != frame_reader::read_status::incomplete) {
            reject(status == frame_reader::read_status::oversized ? "oversized_frame"
                                                                  : "malformed_frame");
            co_return std::nullopt;
        }
        const auto [code, bytes] =
            co_await socket_.async_read_some(boost::asio::buffer(input_), no_throw);
        if (code) {
            co_return std::nullopt;
        }
        last_received_ = clock::now();
        reader_.feed(std::string_view(input_.data(), bytes));
    }
}

bool peer_link::enqueue(frame_bytes bytes) {
    {
        const std::lock_guard lock(mutex_);
        if (closed_) {
            return false;
        }
        if (queued_bytes_ + bytes->size() <= settings_->max_queued_bytes) {
            queued_bytes_ += bytes->size();
            queue_.push_back(std::move(bytes));
            if (!std::exchange(writing_, true)) {
                boost::asio::post(strand_, [self = shared_from_this()] { self->write_next(); });
            }
            return true;
        }
    }
    counters_.increment("peer_links_closed_total", "queue_full");
    close();
    return false;
}

void peer_link::write_next() {
    std::vector<boost::asio::const_buffer> buffers;
    {
        const std::lock_guard lock(mutex_);
        const auto count = closed_ ? 0 : std::min(queue_.size(), max_frames_per_write);
        if (count == 0) {
            writing_ = false;
            return;
        }
        const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
        in_flight_.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
        queue_.erase(queue_.begin(), end);
    }
    buffers.reserve(in_flight_.size());
    for (const auto& frame : in_flight_) {
        buffers.emplace_back(frame->data(), frame->size());
    }
    last_sent_ = clock::now();
    boost::asio::async_write(
        socket_, buffers,
        boost::asio::bind_executor(
            strand_, [self = shared_from_this()](const boost::system::error_code& code,
                                                 std::size_t) { self->on_written(code); }));
}

void peer_link::on_written(const boost::system::error_code& code) {
    {
        const std::lock_guard lock(mutex_);
        for (const auto& frame : in_flight_) {
            queued_bytes_ -= frame->size();
        }
    }
    in_flight_.clear();
    if (code) {
        close();
        return;
    }
    last_sent_ = clock::now();
    write_next();
}

/// Closes a silent link, sends a keep-alive frame if one is due, and schedules the next check for
/// the earlier of the two.
void peer_link::check_keep_alive() {
    const auto now = clock::now();
    const auto silence = settings_->silence_timeout;
    boost::system::error_code ignored;
    if (now - last_received_ >= silence && socket_.available(ignored) > 0) {
        // This process was suspended or busy: the peer has sent bytes that are not read yet.
        last_received_ = now;
    }
    if (now - last_received_ >= silence) {
        counters_.increment("peer_links_closed_total", "silent");
        close();
        return;
    }
    const auto keep_alive_period = silence / 3;
    bool idle = false;
    {
        const std::lock_guard lock(mutex_);
        idle = !writing_;
    }
    if (idle && now - last_sent_ >= keep_alive_period) {
        enqueue(keep_alive_frame());
    }
    const auto keep_alive_due = idle && now - last_sent_ < keep_alive_period
                                    ? last_sent_ + keep_alive_period
                                    : now + keep_alive_period;
    timer_.arm(std::min(keep_alive_due, last_received_ + silence), weak_from_this(),
               [this] { check_keep_alive(); });
}

void peer_link::reject(std::string_view reason) {
    counters_.increment("peer_refusals_total", reason);
    close();
}

void peer_link::close() {
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    boost::asio::dispatch(strand_, [self = shared_from_this()] { self->close_now(); });
}

bool peer_link::closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
}

void peer_link::close_now() {
    timer_.disarm();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace dragonflystair::net
