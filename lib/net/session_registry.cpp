#include "session_registry.h"

#include "http_session.h"

namespace dragonflystair::net {

namespace {

byte_budget::time_point now() {
    return std::chrono::steady_clock::now();
}

void evict(const std::vector<std::shared_ptr<http_session>>& sessions) {
    for (const auto& session : sessions) {
        session->evict();
    }
}

} // namespace

bool session_registry::make_room() {
    std::vector<std::shared_ptr<http_session>> closed;
    bool granted = false;
    {
        const std::lock_guard lock(mutex_);
        const auto verdict = budget_.make_room(now());
        granted = verdict.granted;
        closed = find(verdict.closed);
    }
    evict(closed);
    return granted;
}

bool session_registry::add(const std::shared_ptr<http_session>& session,
                           const std::string& address) {
    const std::lock_guard lock(mutex_);
    if (refusing_ || !budget_.open(last_id_ + 1, address, now())) {
        return false;
    }
    session->set_id(++last_id_);
    sessions_.emplace(last_id_, session);
    return true;
}

void session_registry::remove(byte_budget::holder id) {
    const std::lock_guard lock(mutex_);
    budget_.close(id);
    sessions_.erase(id);
}

bool session_registry::hold(byte_budget::holder id, std::size_t bytes) {
    std::vector<std::shared_ptr<http_session>> closed;
    bool granted = false;
    {
        const std::lock_guard lock(mutex_);
        const auto verdict = budget_.hold(id, bytes, now());
        granted = verdict.granted;
        closed = find(verdict.closed);
    }
    evict(closed);
    return granted;
}

void session_registry::receive(byte_budget::holder id, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    budget_.receive(id, bytes, now());
}

void session_registry::set_busy(byte_budget::holder id, bool busy) {
    const std::lock_guard lock(mutex_);
    budget_.set_busy(id, busy, now());
}

void session_registry::set_writing(byte_budget::holder id, bool writing) {
    const std::lock_guard lock(mutex_);
    budget_.set_writing(id, writing, now());
}

bool session_registry::has_room(std::size_t bytes) const {
    const std::lock_guard lock(mutex_);
    return budget_.has_room(bytes);
}

bool session_registry::hold_ahead(byte_budget::holder id, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    return budget_.hold_ahead(id, bytes);
}

void session_registry::refuse_all() {
    const std::lock_guard lock(mutex_);
    refusing_ = true;
}

bool session_registry::refusing() const {
    const std::lock_guard lock(mutex_);
    return refusing_;
}

std::vector<std::shared_ptr<http_session>> session_registry::sessions() const {
    std::vector<std::shared_ptr<http_session>> open;
    const std::lock_guard lock(mutex_);
    for (const auto& [id, item] : sessions_) {
        if (auto session = item.lock()) {
            open.push_back(std::move(session));
        }
    }
    return open;
}

std::size_t session_registry::held() const {
    const std::lock_guard lock(mutex_);
    return budget_.held();
}

std::vector<std::shared_ptr<http_session>>
session_registry::find(const std::vector<byte_budget::holder>& ids) {
    std::vector<std::shared_ptr<http_session>> out;
    for (const auto id : ids) {
        const auto found = sessions_.find(id);
        if (found == sessions_.end()) {
            continue;
        }
        if (auto session = found->second.lock()) {
            out.push_back(std::move(session));
        }
    }
    return out;
}

} // namespace dragonflystair::net
