#pragma once

#include "net/scripted_peer.h"

#include <atomic>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::net {

/// What a client makes of a response of an endpoint.
enum class response_result {
    complete, ///< Passed on to the caller.
    failed,   ///< No usable response; the call may have run.
    refused,  ///< The endpoint says that the call has not run.
};

/// How the endpoint goes on after it has written the response.
enum class response_ending {
    kept,     ///< Serves further requests on the connection.
    closed,   ///< Ends its output in order.
    reset,    ///< Resets the connection.
    repeated, ///< Writes the same text again, many times.
};

inline constexpr std::string_view case_body = "data: a\n\n";
/// More than a peer that does not read takes into its receive buffer.
inline constexpr std::size_t upload_bytes = std::size_t{3} * 1024 * 1024;

/// A response of an endpoint and what becomes of it. docs/platform.md has the same table.
struct response_case {
    std::string name;
    std::string text; ///< ID stands for the id of the request.
    response_ending ending = response_ending::kept;
    response_result result = response_result::failed;
    bool reused = false; ///< Whether the connection carries the next request.
    /// Whether the endpoint responds after the head of a long request, without reading its body.
    bool early = false;
    int status = 200; ///< Of a response that is passed on.
    bool has_body = true;

    [[nodiscard]] std::string passed_body() const { return std::string(has_body ? case_body : ""); }
    [[nodiscard]] std::string request_body() const {
        return std::string(early ? upload_bytes : 0, 'u');
    }
};

inline std::vector<response_case> response_cases() {
    using enum response_ending;
    using enum response_result;
    const std::string body(case_body);
    const auto head = [](const std::string& status) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n";
    };
    const std::string ok = head("200 OK");
    const std::string sized = "Content-Length: 9\r\n\r\n" + body;
    const std::string cut = "Content-Length: 20\r\n\r\n" + body;
    const std::string chunk = "Transfer-Encoding: chunked\r\n\r\n9\r\n" + body + "\r\n";
    const std::string chunks = chunk + "0\r\n\r\n";
    const std::string not_run = "Not-Run: 1\r\n";
    return {
        {"length", ok + sized, kept, complete, true},
        {"chunks", ok + chunks, kept, complete, true},
        {"no-length-close", ok + "\r\n" + body, closed, complete},
        {"no-length-reset", ok + "\r\n" + body, reset, failed},
        {"bytes-after-length", ok + sized + "more", kept, complete},
        {"fewer-bytes", ok + cut, closed, failed},
        {"fewer-bytes-reset", ok + cut, reset, failed},
        {"chunks-stop", ok + chunk, closed, failed},
        {"chunks-stop-reset", ok + chunk, reset, failed},
        {"two-lengths", ok + "Content-Length: 4\r\n" + sized, kept, failed},
        {"length-and-chunks", ok + "Content-Length: 4\r\n" + chunks, kept, failed},
        {"chunks-and-length", ok + "Transfer-Encoding: chunked\r\n" + sized, kept, failed},
        {"status-000", head("000 None") + sized, kept, failed},
        {"status-099", head("099 None") + sized, kept, failed},
        {"status-600", head("600 None") + sized, kept, failed},
        {"status-999", head("999 None") + sized, kept, failed},
        {"status-text", head("abc None") + sized, kept, failed},
        {"status-two-digits", head("20 None") + sized, kept, failed},
        {"status-four-digits", head("2000 None") + sized, kept, failed},
        {"status-101", head("101 Switching Protocols") + "\r\n", kept, failed},
        {"interim-endless", "HTTP/1.1 100 Continue\r\n\r\n", repeated, failed},
        {"status-204", head("204 No Content") + "\r\n", kept, complete, true, false, 204, false},
        {"204-body", head("204 No Content") + sized, kept, complete, false, false, 204, false},
        {"204-chunks", head("204 No Content") + chunks, kept, complete, false, false, 204, false},
        {"304-body", head("304 Not Modified") + sized, kept, complete, false, false, 304, false},
        {"200-not-run", ok + not_run + sized, kept, complete, true},
        {"500-not-run", "HTTP/1.1 500 Error\r\nRequest-Id: ID\r\n" + not_run + sized, kept, failed,
         true},
        {"early-no-length-close", ok + "\r\n" + body, closed, failed, false, true},
        {"early-no-length-reset", ok + "\r\n" + body, reset, failed, false, true},
        {"early-fewer-bytes", ok + cut, closed, failed, false, true},
        {"early-chunks-stop", ok + chunk, closed, failed, false, true},
        {"early-length", ok + sized, kept, complete, false, true},
        {"early-length-close", ok + sized, closed, complete, false, true},
        {"early-chunks", ok + chunks, kept, complete, false, true},
        {"early-413", head("413 Too Large") + "Connection: close\r\n" + sized, closed, complete,
         false, true, 413},
        {"early-413-no-length", head("413 Too Large") + "\r\n" + body, closed, failed, false, true},
        {"early-503-not-run", head("503 Full") + not_run + sized, kept, refused, false, true, 503},
        {"early-503", head("503 Full") + sized, kept, failed, false, true, 503},
    };
}

/// Endpoint that responds to every request as a case describes.
class case_endpoint {
public:
    explicit case_endpoint(response_case item)
        : case_(std::move(item)), server_([this](raw_connection& peer) { serve(peer); }) {}
    ~case_endpoint() {
        released_ = std::numeric_limits<int>::max();
        released_.notify_all();
    }
    case_endpoint(const case_endpoint&) = delete;
    case_endpoint& operator=(const case_endpoint&) = delete;

    [[nodiscard]] const std::string& address() const { return server_.address(); }
    [[nodiscard]] int connections() const { return server_.accepted(); }
    [[nodiscard]] int requests() const { return requests_; }

    /// Lets early responses to the requests so far end. Their endpoint reads nothing before.
    void release() {
        released_ = requests_.load();
        released_.notify_all();
    }

private:
    void serve(raw_connection& peer) {
        while (true) {
            const auto head = peer.read_until(end_of_head);
            if (head.empty()) {
                return;
            }
            const int number = ++requests_;
            const auto text = text_for(head);
            const int writes = case_.ending == response_ending::repeated ? 40'000 : 1;
            for (int count = 0; count < writes; ++count) {
                peer.write(text);
            }
            if (case_.ending == response_ending::reset) {
                peer.reset();
                return;
            }
            if (case_.ending != response_ending::kept) {
                peer.end_output();
            }
            if (case_.early) {
                for (int seen = released_; seen < number; seen = released_) {
                    released_.wait(seen);
                }
                peer.end_output();
            }
            if (case_.early || case_.ending != response_ending::kept) {
                peer.read_all();
                return;
            }
        }
    }

    [[nodiscard]] std::string text_for(std::string_view head) const {
        auto text = case_.text;
        if (const auto position = text.find(": ID"); position != std::string::npos) {
            text.replace(position + 2, 2, header_in(head, "Request-Id"));
        }
        return text;
    }

    response_case case_;
    std::atomic<int> requests_{0};
    std::atomic<int> released_{0};
    concurrent_server server_;
};

} // namespace dragonflystair::net
