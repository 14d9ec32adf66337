#pragma once

#include <memory>
#include <string>

namespace dragonflystair::scenarios {

/// How a relay treats its connections.
enum class relay_mode {
    pass,
    silence_open,    ///< Open connections permanently stop forwarding; new ones work.
    cut,             ///< Open connections are closed; new ones are closed on accept.
    reset_open,      ///< Open connections are reset; new ones work.
    silence_answers, ///< Like `silence_open`, but only for data sent by the target.
    delay,           ///< Data is delayed on open and new connections.
    silence_all,     ///< Open and new connections forward nothing, as in a silent partition.
    repeat_answers,  ///< A copy of each answer with a request id precedes the next one on its
                     ///< connection.
};

/// Forwards TCP connections to a target and injects network faults between two processes.
class tcp_relay {
public:
    explicit tcp_relay(const std::string& target);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    [[nodiscard]] std::string address() const;
    void set_mode(relay_mode mode);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::scenarios
