#pragma once

#include <memory>
#include <string>

namespace dragonflystair::scenarios {

/// What a relay does with its connections.
enum class relay_mode {
    pass,
    silence_open,    ///< Connections open now carry nothing any more, for good; new ones work.
    cut,             ///< Open connections are closed and new ones are closed at once.
    reset_open,      ///< Connections open now are reset; new ones work.
    silence_answers, ///< Like `silence_open`, but only for what the target sends.
    delay,           ///< Everything arrives late, on connections old and new.
};

/// Forwards TCP connections to a target, to cut or silence the path between two processes.
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
