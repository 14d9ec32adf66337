#include "dragonflystair/fleet/crash_suspects.h"

#include "dragonflystair/fleet/endpoint_watch.h"

#include "crash_suspects_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::time_point;

namespace {

/// A request that was served this long before a crash still clears its traits of it.
constexpr milliseconds clearance{300};
/// Time for which a test of a trait may take; then another may be made.
constexpr seconds test_time{5};
/// Interval at which a node repeats that it has served a suspected trait.
constexpr seconds objection_interval{1};

milliseconds age_of(time_point then, time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - std::min(then, now));
}

support::duration block_duration(std::uint32_t level) {
    support::duration length = crash_suspects::first_block;
    for (std::uint32_t grown = 0; grown < level && length < crash_suspects::max_block; ++grown) {
        length *= crash_suspects::block_growth;
    }
    return std::min<support::duration>(length, crash_suspects::max_block);
}

} // namespace

crash_suspects::crash_suspects(test_delay delay)
    : impl_(std::make_unique<impl>(std::move(delay))) {}
crash_suspects::~crash_suspects() = default;
crash_suspects::crash_suspects(crash_suspects&&) noexcept = default;
crash_suspects& crash_suspects::operator=(crash_suspects&&) noexcept = default;

endpoint_crash crash_suspects::on_crash(endpoint_crash crash, time_point now) {
    const auto& record = impl_->records.add(crash, now);
    impl_->extend_tested_blocks(record, now);
    impl_->schedule(now + settle_time);
    for (auto& request : crash.requests) {
        std::erase_if(request.parts, [&](std::uint64_t part) {
            return !impl_->counts({trait_kind::prompt_part, part}, record);
        });
    }
    return crash;
}

void crash_suspects::on_served(const request_traits& request, time_point now) {
    for_each_trait(request, [&](const trait& what) { impl_->note_served(what, now, now); });
}

void crash_suspects::on_response(std::string_view endpoint, std::uint64_t started_ms,
                                 time_point sent) {
    impl_->records.refute(endpoint, started_ms, sent);
}

void crash_suspects::on_run_listed(std::string_view endpoint, std::uint64_t former_started_ms,
                                   time_point now) {
    impl_->records.restore(endpoint, former_started_ms, now - endpoint_watch::late_write_time);
    impl_->schedule(now + settle_time);
}

/// Records that a request with the trait was served, and tells the nodes that suspect it.
void crash_suspects::impl::note_served(const trait& what, time_point at, time_point now) {
    served[what.kind].add(what, at);
    if (const auto found = suspicions.find(what);
        found != suspicions.end() && now >= found->second.objected + objection_interval) {
        found->second.objected = now;
        add_row(pending.survived, dated_trait{what, age_of(at, now)});
    }
    const auto blocked = blocks.find(what);
    if (blocked != blocks.end() && at > blocked->second.blocked_at) {
        add_row(pending.survived, dated_trait{what, age_of(at, now)});
        unblock(what, "served", now);
    }
}

bool crash_suspects::on_notice(const crash_notice& notice, time_point now) {
    for (const auto& crash : notice.crashes) {
        impl_->extend_tested_blocks(impl_->records.add(crash, now), now);
        impl_->schedule(now + settle_time);
    }
    for (const auto& told : notice.survived) {
        const auto at = now - told.age;
        impl_->served[told.what.kind].add(told.what, at);
        const auto blocked = impl_->blocks.find(told.what);
        if (blocked != impl_->blocks.end() && at > blocked->second.blocked_at) {
            impl_->unblock(told.what, "served", now);
        }
    }
    bool is_new = false;
    for (const auto& told : notice.suspected) {
        is_new = impl_->adopt_suspicion(told, now) || is_new;
    }
    for (const auto& told : notice.blocks) {
        is_new = impl_->adopt_block(told, now) || is_new;
    }
    for (const auto& what : notice.lifted) {
        is_new = impl_->blocks.contains(what) || is_new;
        impl_->unblock(what, "peer", now);
    }
    return is_new;
}

/// Objects if a request with the trait was served here. Returns whether the suspicion is new.
bool crash_suspects::impl::adopt_suspicion(const dated_trait& told, time_point now) {
    const auto first_crash = now - told.age;
    const auto at = last_served(told.what);
    const bool known = suspicions.contains(told.what);
    if (!known && suspicions.size() >= max_suspicions) {
        return false;
    }
    auto& stored = suspicions.emplace(told.what, suspicion{now, first_crash, {}, {}}).first->second;
    stored.expires = now + suspicion_lifetime;
    if (at + service_memory > first_crash && now >= stored.objected + objection_interval) {
        stored.objected = now;
        add_row(pending.survived, dated_trait{told.what, age_of(at, now)});
    }
    return !known;
}

bool crash_suspects::impl::adopt_block(const trait_block& told, time_point now) {
    const auto until = now + told.remaining;
    // Frames are delayed, so the same block differs a little between nodes.
    constexpr milliseconds tolerance{500};
    const auto known = blocks.find(told.what);
    if (known != blocks.end() &&
        (told.level < known->second.level ||
         (told.level == known->second.level && until <= known->second.until + tolerance))) {
        return false;
    }
    if (known == blocks.end() && blocks.size() >= max_blocked_traits) {
        return false;
    }
    auto& stored = blocks.emplace(told.what, block{until, now, told.level}).first->second;
    stored.until = until;
    stored.level = told.level;
    changes.push_back({told, true, "peer"});
    lift_explained_blocks(told.what, now);
    return true;
}

/// Returns whether a crash counts against a trait that one of its requests has.
bool crash_suspects::impl::counts(const trait& what, const crash_record& crash) const {
    return last_served(what) + clearance < crash.at;
}

/// Returns the time, or the epoch if it is unknown.
time_point crash_suspects::impl::last_served(const trait& what) const {
    const auto found = served.find(what.kind);
    return found == served.end() ? time_point{} : found->second.last(what);
}

/// Returns whether a blocked part is the cause of a crash.
bool crash_suspects::impl::explained(const crash_record& crash) const {
    return std::ranges::any_of(blocks, [&](const auto& entry) {
        return entry.first.kind == trait_kind::prompt_part && crash.has_part(entry.first.id);
    });
}

void crash_suspects::update(time_point now) {
    auto& self = *impl_;
    self.forget(now);
    if (!self.due || now < *self.due) {
        return;
    }
    self.due.reset();
    for (const auto& crash : self.records.all()) {
        if (!impl::is_settled(crash, now)) {
            self.schedule(crash.at + settle_time);
        }
    }
    while (self.block_parts(now)) {
    }
    self.block_requests(now);
}

/// Draws conclusions at a time, or earlier if they are due before.
void crash_suspects::impl::schedule(time_point at) {
    due = std::min(due.value_or(at), at);
}

void crash_suspects::impl::forget(time_point now) {
    records.expire(now - evidence_lifetime);
    std::erase_if(suspicions, [now](const auto& entry) { return entry.second.expires <= now; });
    std::erase_if(blocks,
                  [now](const auto& entry) { return entry.second.until + max_block <= now; });
}

void crash_suspects::impl::block_requests(time_point now) {
    std::map<std::uint64_t, std::size_t> crashes;
    for (const auto& crash : records.all()) {
        if (!is_settled(crash, now) || explained(crash)) {
            continue;
        }
        std::vector<std::uint64_t> counted;
        for (const auto& request : crash.requests) {
            const auto fingerprint = request.fingerprint;
            if (counts({trait_kind::request, fingerprint}, crash) &&
                std::ranges::find(counted, fingerprint) == counted.end()) {
                counted.push_back(fingerprint);
                ++crashes[fingerprint];
            }
        }
    }
    for (const auto& [fingerprint, count] : crashes) {
        const trait what{trait_kind::request, fingerprint};
        if (count >= min_request_crashes && !blocks.contains(what)) {
            add_block(what, 0, now);
        }
    }
}

void crash_suspects::impl::add_block(const trait& what, std::uint32_t level, time_point now) {
    if (blocks.size() >= max_blocked_traits && !blocks.contains(what)) {
        blocks.erase(std::ranges::min_element(
            blocks, {}, [](const auto& entry) { return entry.second.until; }));
    }
    const block added{now + block_duration(level), now, level};
    blocks.insert_or_assign(what, added);
    const auto described = describe(what, added, now);
    add_row(pending.blocks, trait_block(described));
    changes.push_back({described, true, level == 0 ? "evidence" : "test"});
    lift_explained_blocks(what, now);
}

/// Lifts the blocks of other traits that rest only on crashes that the newly blocked part explains.
void crash_suspects::impl::lift_explained_blocks(const trait& cause, time_point now) {
    if (cause.kind != trait_kind::prompt_part) {
        return;
    }
    std::vector<trait> lifted;
    for (const auto& [what, stored] : blocks) {
        if (what != cause && rests_on(what, cause.id)) {
            lifted.push_back(what);
        }
    }
    for (const auto& what : lifted) {
        add_row(pending.lifted, trait(what));
        unblock(what, "explained", now);
    }
}

/// Returns whether all crashes of a trait have requests with the part, but not all requests of the
/// trait have it. If they had, they would be blocked anyway, and the trait may be the true cause.
bool crash_suspects::impl::rests_on(const trait& what, std::uint64_t part) const {
    bool differs = false;
    for (const auto& crash : records.all()) {
        if (!crash.has(what)) {
            continue;
        }
        if (!crash.has_part(part)) {
            return false;
        }
        differs = differs || std::ranges::any_of(crash.requests, [&](const auto& request) {
                      return has_trait(request, what) &&
                             !has_trait(request, {trait_kind::prompt_part, part});
                  });
    }
    return differs;
}

void crash_suspects::impl::unblock(const trait& what, std::string_view source, time_point now) {
    const auto found = blocks.find(what);
    if (found != blocks.end()) {
        changes.push_back({describe(what, found->second, now), false, source});
        blocks.erase(found);
        schedule(now);
    }
}

/// Blocks the traits again whose test ended in this crash, for longer.
void crash_suspects::impl::extend_tested_blocks(const crash_record& crash, time_point now) {
    std::vector<std::pair<trait, std::uint32_t>> failed;
    for (const auto& [what, stored] : blocks) {
        if (stored.until - test_time <= crash.at && stored.blocked_at + test_time < crash.at &&
            crash.has(what)) {
            failed.emplace_back(what, stored.level + 1);
        }
    }
    for (const auto& [what, level] : failed) {
        add_block(what, level, now);
    }
}

trait_block crash_suspects::impl::describe(const trait& what, const block& stored,
                                           time_point now) const {
    const auto remaining = std::max(stored.until - now, support::duration{});
    return {what, std::chrono::ceil<milliseconds>(remaining), stored.level};
}

std::vector<std::pair<trait, const crash_suspects::impl::block*>>
crash_suspects::impl::blocks_of(const request_traits& request) const {
    std::vector<std::pair<trait, const block*>> found;
    if (!blocks.empty()) {
        for_each_trait(request, [&](const trait& what) {
            if (const auto stored = blocks.find(what); stored != blocks.end()) {
                found.emplace_back(what, &stored->second);
            }
        });
    }
    return found;
}

std::optional<support::duration> crash_suspects::refused_for(const request_traits& request,
                                                             time_point now) const {
    std::optional<support::duration> longest;
    for (const auto& [what, stored] : impl_->blocks_of(request)) {
        const support::duration wait =
            stored->until > now ? stored->until - now : support::duration(test_time);
        longest = std::max(longest.value_or(wait), wait);
    }
    return longest;
}

bool crash_suspects::take_test(const request_traits& request, time_point now) {
    const auto found = impl_->blocks_of(request);
    const bool due = std::ranges::all_of(found, [&](const auto& entry) {
        const auto delay = impl_->delay ? impl_->delay(entry.first) : support::duration{};
        return now >= entry.second->until + delay;
    });
    if (!due) {
        return false;
    }
    for (const auto& [what, stored] : found) {
        auto& taken = impl_->blocks.at(what);
        taken.until = now + test_time;
        add_row(impl_->pending.blocks, impl_->describe(what, taken, now));
    }
    return true;
}

crash_notice crash_suspects::take_notice() {
    return std::exchange(impl_->pending, {});
}

std::vector<trait_block> crash_suspects::blocks(time_point now) const {
    std::vector<trait_block> all;
    for (const auto& [what, stored] : impl_->blocks) {
        all.push_back(impl_->describe(what, stored, now));
    }
    return all;
}

std::vector<block_change> crash_suspects::take_changes() {
    return std::exchange(impl_->changes, {});
}

} // namespace dragonflystair::fleet
