#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace dragonflystair::net {

/// Returns whether the peer's kernel has acknowledged all bytes that were written on the TCP
/// socket. It has done so once the peer has read them.
inline bool is_send_queue_empty(int socket) {
    int unacknowledged_bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &unacknowledged_bytes) == 0 && unacknowledged_bytes == 0;
}

} // namespace dragonflystair::net
