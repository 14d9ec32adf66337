#include "peer_recorder.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace {

using namespace dragonflystair::net;

/// Links of strangers that are refused before they are up.
class peer_handshake_test : public peer_network_fixture {
    CPPUNIT_TEST_SUITE(peer_handshake_test);
    CPPUNIT_TEST(wrong_secret_is_rejected);
    CPPUNIT_TEST(acceptor_with_wrong_proof_is_rejected);
    CPPUNIT_TEST(reflected_proof_is_rejected);
    CPPUNIT_TEST(frame_before_proof_is_rejected);
    CPPUNIT_TEST(silent_handshake_is_rejected);
    CPPUNIT_TEST(silent_handshakes_make_room_for_peers);
    CPPUNIT_TEST(oversized_frame_before_proof_is_rejected);
    CPPUNIT_TEST(nested_frame_before_proof_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void wrong_secret_is_rejected() {
        recorder a(context, settings("a"));
        auto other = settings("b");
        other.secret = "other";
        recorder b(context, other);
        b.network().dial({a.network().address()});
        a.wait_for_count("peer_refusals_total", "bad_proof");
        b.wait_for_count("peer_refusals_total", "handshake_closed");
        CPPUNIT_ASSERT(a.network().connected().empty());
        CPPUNIT_ASSERT(a.recorded_events().empty());
        context.stop();
    }

    /// The dialler must check the proof too: it would otherwise send its frames to any acceptor.
    void acceptor_with_wrong_proof_is_rejected() {
        assert_acceptor_is_rejected([](raw_connection& peer) {
            peer.write(framed(hello()));
            peer.write(framed({{"type", "proof"}, {"proof", std::string(64, '0')}}));
            peer.read_all();
        });
    }

    /// Guards against a stranger that sends the node's own proof back to it.
    void reflected_proof_is_rejected() {
        assert_acceptor_is_rejected([](raw_connection& peer) {
            const auto read = [&] {
                const auto prefix = peer.read_exactly(4);
                return prefix + peer.read_exactly(static_cast<unsigned char>(prefix[2]) * 256U +
                                                  static_cast<unsigned char>(prefix[3]));
            };
            auto reflected = json::from_msgpack(read().substr(4));
            reflected["incarnation"] = "b-1";
            peer.write(framed(reflected));
            peer.write(read());
            peer.read_all();
        });
    }

    void frame_before_proof_is_rejected() {
        assert_stranger_is_rejected(framed(hello()) + framed(numbered(1)), "unexpected_frame");
    }

    void silent_handshake_is_rejected() { assert_stranger_is_rejected({}, "handshake_timeout"); }

    /// Guards against strangers that keep peers out by opening links without a word.
    void silent_handshakes_make_room_for_peers() {
        auto own = settings("a");
        own.max_handshakes = 2;
        recorder a(context, own);
        const auto first = raw_connection::to(a.network().address());
        const auto second = raw_connection::to(a.network().address());
        const auto third = raw_connection::to(a.network().address());
        recorder b(context, settings("b"));
        b.network().dial({a.network().address()});
        a.wait_for_event("up b-1");
        CPPUNIT_ASSERT(a.counted().value("peer_refusals_total", "handshake_limit") > 0);
        context.stop();
    }

    /// Guards against allocating memory for a length that a stranger claims.
    void oversized_frame_before_proof_is_rejected() {
        assert_stranger_is_rejected({"\x7f\xff\xff\xff", 4}, "oversized_frame");
    }

    /// Guards against a stack overflow by a stranger's nested frame.
    void nested_frame_before_proof_is_rejected() {
        assert_stranger_is_rejected(std::string("\0\0\4\0", 4) + std::string(1024, '\x91'),
                                    "malformed_frame");
    }

private:
    static json hello() {
        return {{"type", "hello"}, {"name", "b"}, {"incarnation", "b-1"}, {"nonce", "n"}};
    }

    void assert_stranger_is_rejected(const std::string& text, std::string_view reason) {
        recorder a(context, settings("a"));
        auto stranger = raw_connection::to(a.network().address());
        stranger.write(text);
        stranger.read_all();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counted().value("peer_refusals_total", reason));
        CPPUNIT_ASSERT(a.recorded_events().empty());
        context.stop();
    }

    void assert_acceptor_is_rejected(const scripted_server::script& script) {
        const scripted_server server({script});
        recorder a(context, settings("a"));
        a.network().dial({server.address()});
        a.wait_for_count("peer_refusals_total", "bad_proof");
        context.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_handshake_test);

} // namespace
