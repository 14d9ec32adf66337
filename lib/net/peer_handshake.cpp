#include "peer_handshake.h"

#include "dragonflystair/support/hash.h"

#include "json_members.h"

#include <utility>

namespace dragonflystair::net {

using support::json;

namespace {

frame_bytes make_frame(const json& frame) {
    return std::make_shared<const std::string>(encode_frame(frame));
}

frame_bytes hello_frame(const peer_identity& own) {
    return make_frame({{"type", "hello"},
                       {"name", own.name},
                       {"incarnation", own.incarnation},
                       {"nonce", own.nonce}});
}

frame_bytes proof_frame(const std::string& proof) {
    return make_frame({{"type", "proof"}, {"proof", proof}});
}

/// Reads a frame of the given type, or refuses the link.
awaitable<std::optional<json>> expect(std::shared_ptr<peer_link> link, std::string_view type) {
    auto frame = co_await link->read_frame();
    if (!frame && !link->closed()) {
        link->refuse("handshake_closed");
    }
    if (frame && (*frame)["type"] != type) {
        link->refuse("unexpected_frame");
        frame.reset();
    }
    co_return frame;
}

std::optional<peer_identity> read_hello(const json& frame) {
    json_members members(frame);
    peer_identity peer{members.text("name"), members.text("incarnation"), members.text("nonce")};
    if (!members.ok()) {
        return std::nullopt;
    }
    return peer;
}

/// Checks the proof of the other side.
bool is_proven(const json& frame, const peer_settings& settings, link_side own_side,
               const handshake_end& state) {
    json_members members(frame);
    const auto proof = members.text("proof");
    const auto expected =
        own_side == link_side::dialler
            ? make_proof(settings.secret, link_side::acceptor, state.own, state.peer)
            : make_proof(settings.secret, link_side::dialler, state.peer, state.own);
    return members.ok() && same_proof(proof, expected);
}

frame_bytes own_proof(const peer_settings& settings, link_side own_side,
                      const handshake_end& state) {
    return proof_frame(own_side == link_side::dialler
                           ? make_proof(settings.secret, own_side, state.own, state.peer)
                           : make_proof(settings.secret, own_side, state.peer, state.own));
}

} // namespace

awaitable<handshake_end> shake_hands(std::shared_ptr<peer_link> link,
                                     std::shared_ptr<const peer_settings> settings) {
    handshake_end state;
    state.own = {settings->name, settings->incarnation, support::random_id()};
    link->enqueue(hello_frame(state.own));
    const auto hello = co_await expect(link, "hello");
    if (!hello) {
        co_return state;
    }
    auto peer = read_hello(*hello);
    if (!peer) {
        link->refuse("malformed_frame");
        co_return state;
    }
    state.peer = std::move(*peer);
    if (state.peer.incarnation == state.own.incarnation) {
        state.end = handshake_end::kind::self;
        co_return state;
    }
    if (link->side() == link_side::dialler) {
        link->enqueue(own_proof(*settings, link->side(), state));
    }
    const auto proof = co_await expect(link, "proof");
    if (!proof) {
        co_return state;
    }
    if (!is_proven(*proof, *settings, link->side(), state)) {
        link->refuse("bad_proof");
        co_return state;
    }
    if (link->side() == link_side::acceptor) {
        link->enqueue(own_proof(*settings, link->side(), state));
    }
    state.end = handshake_end::kind::proven;
    co_return state;
}

frame_bytes plain_frame(std::string_view type) {
    return make_frame({{"type", type}});
}

} // namespace dragonflystair::net
