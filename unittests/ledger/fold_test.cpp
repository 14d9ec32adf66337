#include "dragonflystair/ledger/claim_fold.h"
#include "dragonflystair/ledger/config_fold.h"
#include "dragonflystair/ledger/group_committer.h"
#include "dragonflystair/ledger/member_fold.h"

#include "ledger/simulated_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair::ledger;
using dragonflystair::support::json;

config_change change_of(position base, const std::string& name, std::optional<section> values) {
    return {base, {{name, std::move(values)}}, "operator"};
}

std::optional<record> round_trip(const record& content) {
    return dragonflystair::support::value_or_handle(
        [&]() -> dragonflystair::support::result<std::optional<record>> {
            BOOST_LEAF_AUTO(read, record_from_json(json::parse(to_json(content).dump())));
            return std::optional<record>{std::move(read)};
        },
        [](const dragonflystair::support::error&) { return std::optional<record>{}; });
}

class fold_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fold_test);
    CPPUNIT_TEST(records_of_each_type_round_trip_through_json);
    CPPUNIT_TEST(malformed_payloads_have_no_effect);
    CPPUNIT_TEST(append_retried_after_lost_response_is_applied_once);
    CPPUNIT_TEST(grant_of_owned_endpoint_is_rejected);
    CPPUNIT_TEST(grant_after_holder_ended_has_higher_fence);
    CPPUNIT_TEST(release_by_other_session_has_no_effect);
    CPPUNIT_TEST(expire_after_newer_renewal_has_no_effect);
    CPPUNIT_TEST(renewal_of_ended_session_has_no_effect);
    CPPUNIT_TEST(open_of_same_incarnation_ends_previous_session);
    CPPUNIT_TEST(intent_of_ended_session_stays_until_done);
    CPPUNIT_TEST(claim_of_claimed_key_loses);
    CPPUNIT_TEST(claim_after_abandon_wins);
    CPPUNIT_TEST(outcome_or_abandon_of_losing_claim_has_no_effect);
    CPPUNIT_TEST(outcome_after_outcome_has_no_effect);
    CPPUNIT_TEST(key_older_than_retention_window_is_discarded_at_snapshot);
    CPPUNIT_TEST(snapshot_with_offset_after_its_position_is_ignored);
    CPPUNIT_TEST(change_of_referenced_section_conflicts);
    CPPUNIT_TEST(removal_of_newly_referenced_section_conflicts);
    CPPUNIT_TEST(change_with_base_after_its_position_has_no_effect);
    CPPUNIT_TEST(committer_after_failure_retries_same_append);
    CPPUNIT_TEST(committer_withdraws_only_records_not_yet_requested);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a record that one build writes and another build cannot read.
    void records_of_each_type_round_trip_through_json() {
        const std::vector<record> records{
            config_change{7, {{"service s", section{{"k", "v"}}}, {"adapter s/a", {}}}, "op"},
            open_of("n"),
            session_renew{{4096, 8192}},
            session_expire{4096, 8192},
            session_close{4096},
            grant{"e", 4096},
            release{"e", 4096, 8192},
            eviction_intent{"e", 4096, "a"},
            eviction_done{"e", 4096, "a"},
            key_claim{"k", "d", 4096, 3},
            key_outcome{"k", 4096, 200, "text/plain", std::string("\xff\0x", 3), false},
            key_outcome{"k", 4096, 200, "text/plain", "body", true},
            key_abandon{"k", 4096},
            snapshot{json::object(), 3}};
        for (const auto& content : records) {
            const auto read = round_trip(content);
            CPPUNIT_ASSERT_MESSAGE(to_json(content).dump(), read && *read == content);
        }
    }

    /// Guards against a reader that stops, or reaches a state other than that of other readers,
    /// because of invalid content.
    void malformed_payloads_have_no_effect() {
        const auto valid = to_json(open_of("n"));
        auto wrong_type = valid;
        wrong_type["node"] = 3;
        const std::vector<json> payloads{
            json::object(),
            3,
            "text",
            nullptr,
            json::array({3, "x", nullptr, json::array()}),
            json::array({{{"type", "no_such_type"}}}),
            json::array({wrong_type}),
            json::array({{{"type", 3}}}),
            json::array({{{"type", "session_renew"}, {"sessions", {-1}}}}),
            json::array({{{"type", "session_renew"}, {"sessions", {1.5}}}}),
            json::array({{{"type", "snapshot"}, {"state", 3}, {"keep_from", 0}}}),
            json::array({{{"type", "key_outcome"}, {"body_base64", "=!"}}}),
            json(std::vector<json>(max_records_per_append + 1, valid))};
        simulated_log log;
        for (std::size_t i = 0; i < payloads.size(); ++i) {
            log.append("bad", i + 1, payloads[i]);
        }
        CPPUNIT_ASSERT(log.read<member_fold>().sessions().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, log.read<claim_fold>().size());
        CPPUNIT_ASSERT(log.read<config_fold>().history().empty());
        log.append("bad", payloads.size() + 1, json::array({wrong_type, valid}));
        CPPUNIT_ASSERT(log.read<member_fold>().live(make_position(payloads.size(), 1)));
    }

    void append_retried_after_lost_response_is_applied_once() {
        simulated_log log;
        const auto payload = json::array({to_json(open_of("n"))});
        log.append("writer", 1, payload);
        log.append("writer", 2, json::array());
        log.append("writer", 1, payload);
        const auto fold = log.read<member_fold>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fold.sessions().size());
        CPPUNIT_ASSERT(fold.live(make_position(0, 0)));
    }

    void grant_of_owned_endpoint_is_rejected() {
        simulated_log log;
        const auto first = log.append(open_of("n1"));
        const auto second = log.append(open_of("n2"));
        const auto fence = log.append(grant{"e", first});
        log.append(grant{"e", second});
        log.append(grant{"e", first});
        CPPUNIT_ASSERT(log.read<member_fold>().holder_of("e") == (holder{first, fence}));
    }

    void grant_after_holder_ended_has_higher_fence() {
        simulated_log log;
        const auto first = log.append(open_of("n1"));
        const auto second = log.append(open_of("n2"));
        const auto fence = log.append(grant{"e", first});
        log.append(session_expire{first, first});
        CPPUNIT_ASSERT(!log.read<member_fold>().holder_of("e"));
        log.append(grant{"e", first});
        CPPUNIT_ASSERT(!log.read<member_fold>().holder_of("e"));
        CPPUNIT_ASSERT(log.read<member_fold>().last_grant_of("e") == (holder{first, fence}));
        const auto next = log.append(grant{"e", second});
        CPPUNIT_ASSERT(next > fence);
        CPPUNIT_ASSERT(log.read<member_fold>().holder_of("e") == (holder{second, next}));
    }

    void release_by_other_session_has_no_effect() {
        simulated_log log;
        const auto first = log.append(open_of("n1"));
        const auto second = log.append(open_of("n2"));
        log.append(grant{"e", first});
        log.append(release{"e", second, second});
        CPPUNIT_ASSERT(log.read<member_fold>().holder_of("e").has_value());
        log.append(release{"e", first, second});
        const auto fold = log.read<member_fold>();
        CPPUNIT_ASSERT(!fold.holder_of("e") && fold.endpoints_held_by(first).empty());
        CPPUNIT_ASSERT_EQUAL(second, fold.successor_of("e"));
    }

    /// Guards against ending a session that was renewed while the claimant was paused.
    void expire_after_newer_renewal_has_no_effect() {
        simulated_log log;
        const auto session = log.append(open_of("n"));
        const auto renewal = log.append(session_renew{{session, session}});
        log.append(session_expire{session, session});
        const auto fold = log.read<member_fold>();
        CPPUNIT_ASSERT_EQUAL(renewal, fold.sessions().at(session).last_renewal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fold.sessions().at(session).renewals);
        log.append(session_expire{session, renewal});
        CPPUNIT_ASSERT(!log.read<member_fold>().live(session));
    }

    void renewal_of_ended_session_has_no_effect() {
        simulated_log log;
        const auto session = log.append(open_of("n"));
        log.append(session_close{session});
        log.append(session_renew{{session}});
        const auto fold = log.read<member_fold>();
        CPPUNIT_ASSERT(fold.sessions().empty() && !fold.may_be_live(session));
        CPPUNIT_ASSERT(fold.may_be_live(make_position(log.next(), 0)));
    }

    void open_of_same_incarnation_ends_previous_session() {
        simulated_log log;
        const auto first = log.append(open_of("n"));
        const auto second = log.append(open_of("n"));
        const auto fold = log.read<member_fold>();
        CPPUNIT_ASSERT(!fold.live(first));
        CPPUNIT_ASSERT(fold.session_of("n") == std::optional{second});
    }

    /// Guards against a new owner that uses an adapter which a delayed command of the previous
    /// owner may still unload.
    void intent_of_ended_session_stays_until_done() {
        simulated_log log;
        const auto first = log.append(open_of("n1"));
        const auto second = log.append(open_of("n2"));
        log.append(grant{"e", first});
        log.append(eviction_intent{"e", second, "not-the-holder"});
        log.append(eviction_intent{"e", first, "a"});
        log.append(session_expire{first, first});
        log.append(grant{"e", second});
        const auto open = log.read<member_fold>().intents_on("e", second);
        CPPUNIT_ASSERT(open == std::vector<unresolved_intent>({{first, "a"}}));
        CPPUNIT_ASSERT(log.read<member_fold>().intents_on("e", first).empty());
        log.append(eviction_done{"e", first, "a"});
        CPPUNIT_ASSERT(log.read<member_fold>().intents_on("e", second).empty());
    }

    void claim_of_claimed_key_loses() {
        simulated_log log;
        const auto winner = log.append(key_claim{"k", "d", 4096, 1});
        log.append(key_claim{"k", "other", 8192, 5});
        const auto fold = log.read<claim_fold>();
        CPPUNIT_ASSERT_EQUAL(winner, fold.find("k")->claim);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), fold.find("k")->digest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, fold.last_attempt(8192));
    }

    void claim_after_abandon_wins() {
        simulated_log log;
        const auto first = log.append(key_claim{"k", "d", 4096, 1});
        log.append(key_abandon{"k", first});
        CPPUNIT_ASSERT(log.read<claim_fold>().find("k")->status == key_status::not_run);
        const auto second = log.append(key_claim{"k", "d2", 8192, 1});
        const auto fold = log.read<claim_fold>();
        CPPUNIT_ASSERT(fold.find("k")->status == key_status::claimed);
        CPPUNIT_ASSERT_EQUAL(second, fold.find("k")->claim);
    }

    /// Guards against freeing a key while the call of its winning claim may have been dispatched.
    void outcome_or_abandon_of_losing_claim_has_no_effect() {
        simulated_log log;
        const auto winner = log.append(key_claim{"k", "d", 4096, 1});
        const auto loser = log.append(key_claim{"k", "d", 8192, 1});
        log.append(key_abandon{"k", loser});
        log.append(key_outcome{"k", loser, 200, "", "", false});
        log.append(key_abandon{"absent", winner});
        const auto fold = log.read<claim_fold>();
        CPPUNIT_ASSERT(fold.find("k")->status == key_status::claimed);
        CPPUNIT_ASSERT(fold.find("absent") == nullptr);
    }

    void outcome_after_outcome_has_no_effect() {
        simulated_log log;
        const auto claim = log.append(key_claim{"k", "d", 4096, 1});
        log.append(key_outcome{"k", claim, 201, "", "first", false});
        log.append(key_outcome{"k", claim, 500, "", "second", false});
        log.append(key_abandon{"k", claim});
        const auto fold = log.read<claim_fold>();
        CPPUNIT_ASSERT(fold.find("k")->status == key_status::completed);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), fold.find("k")->outcome->body);
    }

    void key_older_than_retention_window_is_discarded_at_snapshot() {
        simulated_log log;
        log.append(key_claim{"old", "d", 4096, 1});
        const auto kept = log.append(key_claim{"kept", "d", 4096, 2});
        log.append(snapshot{log.read<claim_fold>().state(), log.next() + 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.read<claim_fold>().size());
        log.append(snapshot{log.read<claim_fold>().state(), offset_of(kept)});
        const auto fold = log.read<claim_fold>();
        CPPUNIT_ASSERT(fold.find("old") == nullptr && fold.find("kept") != nullptr);
    }

    /// Guards against skipping records because of a snapshot whose offset is after its own
    /// position, which no writer can have taken.
    void snapshot_with_offset_after_its_position_is_ignored() {
        simulated_log log;
        auto state = claim_fold{}.state();
        state["next_offset"] = 9;
        log.append(snapshot{state, 0});
        log.append(snapshot{state, 0});
        const auto claim = log.append(key_claim{"k", "d", 4096, 1});
        claim_fold late_reader;
        late_reader.apply(log.entries()[1]);
        late_reader.apply(log.entries()[2]);
        CPPUNIT_ASSERT(late_reader.waits_for_snapshot() && late_reader.size() == 0);
        late_reader.restore(json::array());
        late_reader.restore({{"next_offset", 1}, {"writers", 3}, {"body", 3}});
        CPPUNIT_ASSERT(late_reader.waits_for_snapshot() && late_reader.size() == 0);
        CPPUNIT_ASSERT_EQUAL(claim, log.read<claim_fold>().find("k")->claim);
    }

    /// Guards against an adapter that is published for a service that was removed concurrently.
    void change_of_referenced_section_conflicts() {
        simulated_log log;
        const auto base = log.append(change_of(0, "service s", section{{"kind", "model"}}));
        const auto removal = log.append(change_of(base, "service s", std::nullopt));
        log.append(change_of(base, "adapter s/a", section{{"current", "1"}}));
        const auto fold = log.read<config_fold>();
        CPPUNIT_ASSERT_EQUAL(removal, fold.revision());
        CPPUNIT_ASSERT(fold.sections().empty());
        CPPUNIT_ASSERT(fold.history().back().conflicts == std::vector<std::string>{"service s"});
        const section service{{"data_centres", "a, b"}, {"depends_on", "r"}};
        CPPUNIT_ASSERT(references("service s", service) ==
                       (std::vector<std::string>{"data_centre a", "data_centre b", "service r"}));
    }

    void removal_of_newly_referenced_section_conflicts() {
        simulated_log log;
        const auto base = log.append(change_of(0, "data_centre a", section{{"region", "n"}}));
        log.append(change_of(base, "service s", section{{"data_centres", "b,a"}}));
        log.append(change_of(base, "data_centre a", std::nullopt));
        const auto fold = log.read<config_fold>();
        CPPUNIT_ASSERT(fold.sections().contains("data_centre a"));
        CPPUNIT_ASSERT(fold.history().back().conflicts == std::vector<std::string>{"service s"});
    }

    /// Guards against a change that passes all conflict checks because its base is after its own
    /// position.
    void change_with_base_after_its_position_has_no_effect() {
        simulated_log log;
        log.append(change_of(0, "service s", section{}));
        log.append(change_of(~position{0}, "service s", std::nullopt));
        const auto fold = log.read<config_fold>();
        CPPUNIT_ASSERT(fold.sections().contains("service s"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fold.history().size());
    }

    void committer_after_failure_retries_same_append() {
        group_committer committer(2);
        for (const auto* key : {"k1", "k2", "k3"}) {
            committer.add(key_abandon{key, 1});
        }
        const auto first = committer.next();
        CPPUNIT_ASSERT(first && first->payload.size() == 2 && !committer.next());
        committer.on_failed();
        const auto again = committer.next();
        CPPUNIT_ASSERT(again && again->sequence == first->sequence &&
                       again->payload == first->payload);
        committer.on_appended();
        const auto second = committer.next();
        CPPUNIT_ASSERT(second && second->sequence == first->sequence + 1);
        CPPUNIT_ASSERT_EQUAL(std::string("k3"), second->payload[0]["key"].get<std::string>());
    }

    void committer_withdraws_only_records_not_yet_requested() {
        group_committer committer(1);
        const auto requested = committer.add(key_abandon{"k1", 1});
        const auto pending = committer.add(key_abandon{"k2", 1});
        CPPUNIT_ASSERT(committer.next().has_value());
        CPPUNIT_ASSERT(!committer.withdraw(requested));
        CPPUNIT_ASSERT(committer.withdraw(pending) && !committer.withdraw(pending));
        committer.on_appended();
        CPPUNIT_ASSERT(!committer.next() && !committer.outstanding());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fold_test);

} // namespace
