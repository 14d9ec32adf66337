#include "dragonflystair/net/peer_network.h"

#include "dragonflystair/net/spawn.h"

#include "limit_log.h"
#include "peer_handshake.h"
#include "peer_table.h"
#include "pending_links.h"
#include "run_on.h"
#include "socket_address.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace dragonflystair::net {

using support::json;

namespace {

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Pause of accepting while too many handshakes are in progress.
constexpr std::chrono::milliseconds room_check_interval{20};

/// Interval at which a new link checks whether the hooks of its predecessor have finished.
constexpr std::chrono::milliseconds replacement_check_interval{5};

/// Returns 0.5 to 1.5 times the period, so that nodes that lost their link at the same time do not
/// redial at the same time.
std::chrono::milliseconds with_jitter(std::chrono::milliseconds period) {
    static thread_local std::minstd_rand random{std::random_device{}()};
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return std::chrono::duration_cast<std::chrono::milliseconds>(period * factor(random));
}

/// State of dialling one address to which this node keeps a link.
struct dialler {
    dialler(const executor& context, tcp::endpoint target)
        : address(std::move(target)), strand(boost::asio::make_strand(context)),
          redial_timer(strand) {}

    tcp::endpoint address;
    executor strand;
    boost::asio::steady_timer redial_timer; ///< Used on the strand only.
    std::atomic<bool> cancelled{false};
};

void cancel(const std::shared_ptr<dialler>& item) {
    item->cancelled = true;
    boost::asio::dispatch(item->strand, [item] { item->redial_timer.cancel(); });
}

} // namespace

struct peer_network::impl : std::enable_shared_from_this<impl> {
    impl(executor used, std::string_view address, peer_settings chosen, hooks called,
         support::counters& counted)
        : context(std::move(used)), strand(boost::asio::make_strand(context)),
          acceptor(strand, require_address(address)),
          bound_address(to_string(acceptor.local_endpoint())),
          settings(std::make_shared<const peer_settings>(std::move(chosen))),
          callbacks(std::move(called)), counters(counted),
          limits_reached(std::make_shared<limit_log>(context, "peers", counted)) {}

    awaitable<void> accept_loop();
    awaitable<void> dial_loop(std::shared_ptr<dialler> item);
    std::shared_ptr<peer_link> make_link(tcp::socket socket, link_side side);
    awaitable<handshake_result> run_dialled(std::shared_ptr<peer_link> link, tcp::endpoint address);
    awaitable<handshake_result> run_link(std::shared_ptr<peer_link> link);
    awaitable<bool> negotiate(std::shared_ptr<peer_link> link, const handshake_result& handshake);
    awaitable<bool> admit(std::shared_ptr<peer_link> link, std::string peer);
    awaitable<bool> wait_for_admission(std::shared_ptr<peer_link> link, std::string peer);
    awaitable<void> read_frames(std::shared_ptr<peer_link> link, std::string peer);
    template <class Hook, class... Arguments>
    void run_hook(const Hook& hook, const Arguments&... arguments);
    void dial(const std::vector<std::string>& addresses);
    /// Cancels the diallers of other addresses and returns the new diallers, not started yet.
    std::vector<std::shared_ptr<dialler>>
    update_diallers(const std::vector<std::string>& addresses);
    void stop();

    executor context;
    executor strand;
    tcp::acceptor acceptor; ///< Used on the strand after the start.
    std::string bound_address;
    std::shared_ptr<const peer_settings> settings;
    hooks callbacks;
    support::counters& counters;
    std::shared_ptr<limit_log> limits_reached;
    peer_table table;
    std::atomic<bool> stopped{false};
    std::mutex mutex; ///< Protects the members below.
    std::map<std::string, std::shared_ptr<dialler>> diallers;
    std::vector<std::weak_ptr<peer_link>> open_links;
};

awaitable<void> peer_network::impl::accept_loop() {
    const auto self = shared_from_this();
    boost::asio::steady_timer timer(strand);
    pending_links pending(settings->max_handshakes);
    while (acceptor.is_open()) {
        if (!pending.make_room(std::chrono::steady_clock::now())) {
            limits_reached->note("handshakes");
            timer.expires_after(room_check_interval);
            co_await timer.async_wait(no_throw);
            continue;
        }
        const executor link_strand = boost::asio::make_strand(context);
        auto [code, socket] = co_await acceptor.async_accept(link_strand, no_throw);
        if (!code) {
            auto link = make_link(std::move(socket), link_side::acceptor);
            pending.add(link, std::chrono::steady_clock::now());
            boost::asio::co_spawn(
                link->strand(), [self, link] { return self->run_link(link); },
                [](const std::exception_ptr& error, const handshake_result&) {
                    if (error) {
                        log_unhandled("peer_link", error);
                    }
                });
            continue;
        }
        if (!acceptor.is_open()) {
            co_return;
        }
        counters.increment("accept_errors_total");
        timer.expires_after(accept_retry_delay);
        co_await timer.async_wait(no_throw);
    }
}

/// Keeps a link to one address, unless the peer at that address has one to this node.
awaitable<void> peer_network::impl::dial_loop(std::shared_ptr<dialler> item) {
    const auto self = shared_from_this();
    std::string peer;
    while (!item->cancelled && !stopped) {
        if (peer.empty() || !table.contains(peer)) {
            tcp::socket socket(boost::asio::make_strand(context));
            auto link = make_link(std::move(socket), link_side::dialler);
            auto work = run_dialled(link, item->address);
            const auto result = co_await run_on(link->strand(), std::move(work));
            if (result.outcome == handshake_result::kind::self) {
                co_return;
            }
            peer = result.peer.incarnation;
        }
        if (item->cancelled || stopped) {
            co_return;
        }
        item->redial_timer.expires_after(with_jitter(settings->redial_period));
        co_await item->redial_timer.async_wait(no_throw);
    }
}

/// Creates a link that `stop` closes.
std::shared_ptr<peer_link> peer_network::impl::make_link(tcp::socket socket, link_side side) {
    auto link = std::make_shared<peer_link>(std::move(socket), side, settings, counters);
    const std::lock_guard lock(mutex);
    std::erase_if(open_links, [](const auto& other) { return other.expired(); });
    open_links.push_back(link);
    if (stopped) {
        link->close();
    }
    return link;
}

awaitable<handshake_result> peer_network::impl::run_dialled(std::shared_ptr<peer_link> link,
                                                            tcp::endpoint address) {
    link->begin_connect();
    const bool connected = co_await link->connect(address);
    if (!connected) {
        link->close();
        co_return handshake_result{};
    }
    co_return co_await run_link(link);
}

/// Runs a connected link until it closes. Returns the result of its handshake.
awaitable<handshake_result> peer_network::impl::run_link(std::shared_ptr<peer_link> link) {
    const auto self = shared_from_this();
    link->begin_handshake();
    auto handshake = co_await perform_handshake(link, settings);
    if (handshake.outcome == handshake_result::kind::authenticated) {
        link->set_authenticated();
        const bool in_use = co_await negotiate(link, handshake);
        if (in_use) {
            co_await read_frames(link, handshake.peer.incarnation);
        }
    }
    link->close();
    co_return handshake;
}

/// Decides, or waits for the peer to decide, whether this link is used. Not itself a coroutine.
awaitable<bool> peer_network::impl::negotiate(std::shared_ptr<peer_link> link,
                                              const handshake_result& handshake) {
    if (handshake.own.before(handshake.peer)) {
        return admit(std::move(link), handshake.peer.incarnation);
    }
    return wait_for_admission(std::move(link), handshake.peer.incarnation);
}

awaitable<bool> peer_network::impl::admit(std::shared_ptr<peer_link> link, std::string peer) {
    static const auto admitted = type_only_frame("admit");
    static const auto duplicate = type_only_frame("duplicate");
    if (!stopped && table.add(peer, link, admitted)) {
        link->begin_frames();
        co_return true;
    }
    link->enqueue(duplicate);
    // The peer closes the link once it has read the frame; closing it here could discard the frame.
    co_await link->read_frame();
    co_return false;
}

awaitable<bool> peer_network::impl::wait_for_admission(std::shared_ptr<peer_link> link,
                                                       std::string peer) {
    const auto frame = co_await link->read_frame();
    if (!frame || (*frame)["type"] == "duplicate") {
        co_return false;
    }
    if ((*frame)["type"] != "admit") {
        link->reject("unexpected_frame");
        co_return false;
    }
    link->begin_frames();
    // The peer admits a second link only after it has lost the first, so a first link that is still
    // registered here is closed. Its hooks must finish before those of the new link start.
    boost::asio::steady_timer timer(link->strand());
    while (!table.add(peer, link, nullptr)) {
        const auto previous = table.find(peer);
        if (previous) {
            previous->close();
        }
        timer.expires_after(replacement_check_interval);
        co_await timer.async_wait(no_throw);
        if (link->closed()) {
            co_return false;
        }
    }
    co_return true;
}

awaitable<void> peer_network::impl::read_frames(std::shared_ptr<peer_link> link, std::string peer) {
    run_hook(callbacks.on_up, peer);
    while (true) {
        const auto frame = co_await link->read_frame();
        if (!frame) {
            break;
        }
        run_hook(callbacks.on_frame, peer, *frame);
    }
    link->close();
    run_hook(callbacks.on_down, peer);
    table.remove(peer, link);
}

template <class Hook, class... Arguments>
void peer_network::impl::run_hook(const Hook& hook, const Arguments&... arguments) {
    if (!hook || stopped) {
        return;
    }
    try {
        hook(arguments...);
    } catch (...) {
        counters.increment("peer_hook_errors_total");
    }
}

void peer_network::impl::dial(const std::vector<std::string>& addresses) {
    // A dialler may run immediately on this thread and lock the mutex, so the mutex is released
    // first.
    for (const auto& item : update_diallers(addresses)) {
        spawn(item->strand, "dial_peer",
              [self = shared_from_this(), item] { return self->dial_loop(item); });
    }
}

std::vector<std::shared_ptr<dialler>>
peer_network::impl::update_diallers(const std::vector<std::string>& addresses) {
    std::vector<std::shared_ptr<dialler>> added;
    const std::lock_guard lock(mutex);
    for (auto item = diallers.begin(); item != diallers.end();) {
        if (std::ranges::find(addresses, item->first) != addresses.end()) {
            ++item;
            continue;
        }
        cancel(item->second);
        item = diallers.erase(item);
    }
    for (const auto& address : addresses) {
        const auto target = parse_address(address);
        if (!target || stopped || diallers.contains(address)) {
            continue;
        }
        auto item = std::make_shared<dialler>(context, *target);
        diallers.emplace(address, item);
        added.push_back(item);
    }
    return added;
}

void peer_network::impl::stop() {
    stopped = true;
    boost::asio::dispatch(strand, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
    const std::lock_guard lock(mutex);
    for (const auto& [address, item] : diallers) {
        cancel(item);
    }
    diallers.clear();
    for (const auto& item : open_links) {
        if (const auto link = item.lock()) {
            link->close();
        }
    }
}

peer_network::peer_network(executor context, std::string_view address, peer_settings settings,
                           hooks callbacks, support::counters& counters)
    : impl_(std::make_shared<impl>(std::move(context), address, std::move(settings),
                                   std::move(callbacks), counters)) {}

peer_network::~peer_network() {
    stop();
}

std::string peer_network::address() const {
    return impl_->bound_address;
}

void peer_network::start() {
    spawn(impl_->strand, "accept_peers", [self = impl_] { return self->accept_loop(); });
}

void peer_network::stop() {
    impl_->stop();
}

void peer_network::dial(const std::vector<std::string>& addresses) {
    impl_->dial(addresses);
}

bool peer_network::send(std::string_view peer, const json& frame) {
    const auto link = impl_->table.find(peer);
    if (!link) {
        return false;
    }
    auto bytes = std::make_shared<const std::string>(encode_frame(frame));
    if (bytes->size() > impl_->settings->max_frame_bytes) {
        impl_->counters.increment("peer_frames_too_large_total");
        return false;
    }
    return link->enqueue(std::move(bytes));
}

void peer_network::send_each(std::span<const std::string> peers, const json& frame) {
    const auto bytes = std::make_shared<const std::string>(encode_frame(frame));
    if (bytes->size() > impl_->settings->max_frame_bytes) {
        impl_->counters.increment("peer_frames_too_large_total");
        return;
    }
    for (const auto& peer : peers) {
        if (const auto link = impl_->table.find(peer)) {
            link->enqueue(bytes);
        }
    }
}

void peer_network::broadcast(const json& frame) {
    send_each(connected(), frame);
}

std::vector<std::string> peer_network::connected() const {
    return impl_->table.peers();
}

} // namespace dragonflystair::net
