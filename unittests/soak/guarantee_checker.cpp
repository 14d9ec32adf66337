#include "guarantee_checker.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace dragonflystair::soak {

namespace {

/// The platform's bound on calls to an endpoint that is gone.
constexpr std::chrono::milliseconds gone_in_force{2'500};

} // namespace

bool runs_once(call_kind kind) {
    return kind == call_kind::stamp || kind == call_kind::draft;
}

std::string_view to_string(call_kind kind) {
    switch (kind) {
    case call_kind::stamp:
        return "stamp";
    case call_kind::lookup:
        return "lookup";
    case call_kind::draft:
        return "draft";
    case call_kind::pattern:
        return "pattern";
    }
    return "unknown";
}

std::string request_body(std::string_view id) {
    return fmt::format("content of {}", id);
}

std::string signature_of(std::string_view id) {
    return fmt::format("signed-{}", id);
}

std::string plain_body(std::string_view id) {
    return fmt::format("answer to {} from its first byte to its last", id);
}

std::string event_text(std::string_view id, int number) {
    return fmt::format("id: {}\ndata: {} {}\n\n", number, id, number);
}

void guarantee_checker::note_call(const std::string& id, call_kind kind,
                                  const std::string& address) {
    const std::lock_guard lock(mutex_);
    auto& item = calls_[id];
    item.kind = kind;
    item.address = address;
    item.sent = support::boot_clock::now();
}

void guarantee_checker::excuse(const std::string& address, support::time_point until) {
    const std::lock_guard lock(mutex_);
    excused_until_.insert_or_assign(address, until);
}

bool guarantee_checker::excused(const std::string& address) const {
    const std::lock_guard lock(mutex_);
    return excused_locked(address);
}

bool guarantee_checker::excused_locked(const std::string& address) const {
    const auto found = excused_until_.find(address);
    return found != excused_until_.end() && support::boot_clock::now() < found->second;
}

void guarantee_checker::note_arrival_at_gone_endpoint(const std::string& id,
                                                      support::duration gone_for) {
    const std::lock_guard lock(mutex_);
    const auto now = support::boot_clock::now();
    const auto found = calls_.find(id);
    if (found == calls_.end() || gone_for <= gone_in_force ||
        now - found->second.sent > gone_for - gone_in_force) {
        return;
    }
    if (excused_locked(found->second.address)) {
        return;
    }
    ++violations_;
    on_violation_(fmt::format(
        "{} {} reached an endpoint {} ms after the store had acknowledged that it leaves",
        to_string(found->second.kind), id,
        std::chrono::duration_cast<std::chrono::milliseconds>(gone_for).count()));
}

void guarantee_checker::note_run(const std::string& id, std::string_view service, int first_event) {
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        ++violations_;
        on_violation_(fmt::format("{} was run but never requested", id));
        return;
    }
    auto& item = found->second;
    ++item.runs;
    std::string fault;
    const bool stream = item.kind == call_kind::draft || item.kind == call_kind::pattern;
    if (stream != (service == "assistant")) {
        fault = fmt::format("was run by {}", service);
    } else if (runs_once(item.kind) && item.runs > 1) {
        fault = fmt::format("ran {} times", item.runs);
    } else if (runs_once(item.kind) && item.refused) {
        fault = "ran after it had been rejected as not run";
    } else if (first_event > 1 && item.kind != call_kind::pattern) {
        fault = fmt::format("was resumed at event {}", first_event);
    }
    if (!fault.empty()) {
        ++violations_;
        on_violation_(fmt::format("{} {} {}", to_string(item.kind), id, fault));
    }
}

void guarantee_checker::note_end(const std::string& id, call_end end, std::string_view signature,
                                 std::string_view body) {
    const std::lock_guard lock(mutex_);
    auto& item = calls_.at(id);
    ++ends_[{item.kind, end}];
    if (end == call_end::refused) {
        item.refused = true;
        if (runs_once(item.kind) && item.runs > 0) {
            ++violations_;
            on_violation_(
                fmt::format("{} {} was rejected after it had run", to_string(item.kind), id));
        }
    } else if (!cuts_allowed_ && end != call_end::served && item.runs > 0) {
        ++violations_;
        on_violation_(
            fmt::format("{} {} {} after it had begun to run, with no fault that explains it",
                        to_string(item.kind), id, end == call_end::cut ? "was cut off" : "failed"));
    } else if (end == call_end::served || (end == call_end::cut && !body.empty())) {
        check_body(id, item, signature, body, end == call_end::served);
    }
}

/// Checks that a complete answer equals the endpoint's body and signature, and that a truncated one
/// is a prefix of that body.
void guarantee_checker::check_body(const std::string& id, const call& item,
                                   std::string_view signature, std::string_view body,
                                   bool complete) {
    std::string expected;
    if (item.kind == call_kind::stamp || item.kind == call_kind::lookup) {
        expected = plain_body(id);
    } else {
        for (int number = 1; number <= stream_events; ++number) {
            expected += event_text(id, number);
        }
    }
    const bool matches = complete ? body == expected : expected.starts_with(body);
    if (matches && (!complete || signature == signature_of(id))) {
        return;
    }
    ++violations_;
    on_violation_(fmt::format("{} {} got a {} answer with signature '{}': {}", to_string(item.kind),
                              id, complete ? "complete" : "partial", signature, body));
}

void guarantee_checker::report_violation(const std::string& text) {
    const std::lock_guard lock(mutex_);
    ++violations_;
    on_violation_(text);
}

std::size_t guarantee_checker::violations() const {
    const std::lock_guard lock(mutex_);
    return violations_;
}

std::size_t guarantee_checker::served(call_kind kind) const {
    const std::lock_guard lock(mutex_);
    const auto found = ends_.find({kind, call_end::served});
    return found == ends_.end() ? 0 : found->second;
}

std::string guarantee_checker::summary() const {
    const std::lock_guard lock(mutex_);
    const auto count = [&](call_kind kind, call_end end) {
        const auto found = ends_.find({kind, end});
        return found == ends_.end() ? 0 : found->second;
    };
    std::string out;
    for (const auto kind :
         {call_kind::stamp, call_kind::lookup, call_kind::draft, call_kind::pattern}) {
        out += fmt::format("{}: served {}, refused {}, failed {}, cut {}; ", to_string(kind),
                           count(kind, call_end::served), count(kind, call_end::refused),
                           count(kind, call_end::failed), count(kind, call_end::cut));
    }
    return out + fmt::format("broken promises {}", violations_);
}

} // namespace dragonflystair::soak
