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

/// Reads a frame of the given type. Closes the link and returns nullopt if another frame arrives.
awaitable<std::optional<json>> read_expected(std::shared_ptr<peer_link> link,
                                             std::string_view type) {
    auto frame = co_await link->read_frame();
    if (!frame && !link->closed()) {
        link->reject("handshake_closed");
    }
    if (frame && (*frame)["type"] != type) {
        link->reject("unexpected_frame");
        frame.reset();
    }
    co_return frame;
}

std::optional<peer_identity> parse_hello(const json& frame) {
    json_members members(frame);
    peer_identity peer{members.text("name"), members.text("incarnation"), members.text("nonce")};
    if (!members.ok()) {
        return std::nullopt;
    }
    return peer;
}

bool is_valid_proof(const json& frame, const peer_settings& settings, link_side own_side,
                    const handshake_result& result) {
    json_members members(frame);
    const auto proof = members.text("proof");
    const auto expected =
        own_side == link_side::dialler
            ? make_proof(settings.secret, link_side::acceptor, result.own, result.peer)
            : make_proof(settings.secret, link_side::dialler, result.peer, result.own);
    return members.ok() && same_proof(proof, expected);
}

frame_bytes own_proof(const peer_settings& settings, link_side own_side,
                      const handshake_result& result) {
    return proof_frame(own_side == link_side::dialler
                           ? make_proof(settings.secret, own_side, result.own, result.peer)
                           : make_proof(settings.secret, own_side, result.peer, result.own));
}

} // namespace

awaitable<handshake_result> perform_handshake(std::shared_ptr<peer_link> link,
                                              std::shared_ptr<const peer_settings> settings) {
    handshake_result result;
    result.own = {settings->name, settings->incarnation, support::random_id()};
    link->enqueue(hello_frame(result.own));
    const auto hello = co_await read_expected(link, "hello");
    if (!hello) {
        co_return result;
    }
    auto peer = parse_hello(*hello);
    if (!peer) {
        link->reject("malformed_frame");
        co_return result;
    }
    result.peer = std::move(*peer);
    if (result.peer.incarnation == result.own.incarnation) {
        result.outcome = handshake_result::kind::self;
        co_return result;
    }
    if (link->side() == link_side::dialler) {
        link->enqueue(own_proof(*settings, link->side(), result));
    }
    const auto proof = co_await read_expected(link, "proof");
    if (!proof) {
        co_return result;
    }
    if (!is_valid_proof(*proof, *settings, link->side(), result)) {
        link->reject("bad_proof");
        co_return result;
    }
    if (link->side() == link_side::acceptor) {
        link->enqueue(own_proof(*settings, link->side(), result));
    }
    result.outcome = handshake_result::kind::authenticated;
    co_return result;
}

frame_bytes type_only_frame(std::string_view type) {
    return make_frame({{"type", type}});
}

} // namespace dragonflystair::net
