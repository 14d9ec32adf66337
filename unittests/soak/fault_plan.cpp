#include "fault_plan.h"

#include <array>
#include <functional>
#include <random>

namespace dragonflystair::soak {

using std::chrono::milliseconds;

namespace {

/// The gap between the starts of two faults is below `longest_gap_ms`. A fault lasts up to about
/// four times as long, so that some faults overlap.
constexpr int longest_gap_ms = 600;
constexpr int shortest_fault_ms = 100;
constexpr int longest_fault_ms = 2'400;
/// A limit lasts longer than the time after which it is checked.
constexpr milliseconds min_limit_time{6'000};

/// Links stay silent, and endpoints that are gone serve on, for longer than nodes may rely on them.
constexpr milliseconds min_store_link_time{3'500};
/// Pause between two faults of links, after which all gateways know all records again.
constexpr milliseconds store_link_pause{10'000};

constexpr std::array planned_kinds{fault_kind::stop_gateway, fault_kind::hang_up_gateway,
                                   fault_kind::replace_endpoint, fault_kind::change_configuration};

/// Copies of answers are frequent enough that most of the other faults occur while they are sent.
constexpr std::array repeated_answers_kinds{
    fault_kind::repeat_endpoint_answers, fault_kind::repeat_endpoint_answers,
    fault_kind::restart_endpoint,        fault_kind::restart_endpoint,
    fault_kind::restart_endpoint,        fault_kind::restart_endpoint,
    fault_kind::endpoint_full,           fault_kind::endpoint_fails};
constexpr milliseconds min_repeat_time{2'000};

constexpr std::array tenant_kinds{fault_kind::replace_key, fault_kind::tenant_surge,
                                  fault_kind::bad_callers};
constexpr int tenant_fault_ratio = 3;
/// Longer than the time in which a revoked key may still be accepted.
constexpr milliseconds min_unread_time{4'500};
constexpr int longest_repeated_gap_ms = 200;

/// Faults between two restorations, most of which change what the store holds.
constexpr std::array restored_store_kinds{
    fault_kind::change_configuration, fault_kind::change_configuration,
    fault_kind::change_configuration, fault_kind::unlist_endpoint,
    fault_kind::unlist_endpoint,      fault_kind::replace_endpoint,
    fault_kind::restart_endpoint,     fault_kind::kill_gateway,
    fault_kind::stop_gateway,         fault_kind::cut_store_link};
constexpr std::size_t faults_per_restoration = 6;
constexpr int longest_restored_gap_ms = 1'800;
constexpr int shortest_outage_ms = 300;
constexpr int longest_outage_ms = 2'000;

/// Endpoints that leave serve on for longer than the time after which no call may reach them.
constexpr milliseconds min_late_report_time{9'500};
constexpr int longest_late_report_gap_ms = 2'000;
constexpr std::array late_report_kinds{
    fault_kind::late_report,     fault_kind::late_report,          fault_kind::late_report,
    fault_kind::late_report,     fault_kind::kill_gateway,         fault_kind::stop_gateway,
    fault_kind::suspend_gateway, fault_kind::change_configuration, fault_kind::cut_store_link};

/// By value of `fault_kind`.
constexpr std::array<std::string_view, 30> kind_names{"kill_gateway",
                                                      "suspend_gateway",
                                                      "stop_gateway",
                                                      "hang_up_gateway",
                                                      "cut_store_link",
                                                      "silence_store_link",
                                                      "silence_store_answers",
                                                      "reset_store_link",
                                                      "delay_store_link",
                                                      "cut_endpoint_link",
                                                      "silence_endpoint_link",
                                                      "reset_endpoint_link",
                                                      "delay_endpoint_link",
                                                      "endpoint_fails",
                                                      "endpoint_loses_answers",
                                                      "endpoint_full",
                                                      "replace_endpoint",
                                                      "restart_endpoint",
                                                      "store_refuses",
                                                      "store_loses_answers",
                                                      "change_configuration",
                                                      "endpoint_names_limit",
                                                      "partition_store_link",
                                                      "unlist_endpoint",
                                                      "repeat_endpoint_answers",
                                                      "restore_store",
                                                      "replace_key",
                                                      "tenant_surge",
                                                      "bad_callers",
                                                      "late_report"};

/// `below` returns a random number from 0 to below its argument.
milliseconds draw_duration(fault_kind kind, fault_choice choice,
                           const std::function<int(int)>& below) {
    const auto usual = milliseconds(shortest_fault_ms + below(longest_fault_ms));
    switch (kind) {
    case fault_kind::stop_gateway:
        return shutdown_time;
    case fault_kind::endpoint_names_limit:
        return usual + min_limit_time;
    case fault_kind::repeat_endpoint_answers:
        return usual + min_repeat_time;
    case fault_kind::replace_key:
        return usual + min_unread_time;
    case fault_kind::late_report:
        return usual + min_late_report_time;
    case fault_kind::restore_store:
        return milliseconds(shortest_outage_ms + below(longest_outage_ms - shortest_outage_ms));
    default:
        const bool outlasts_records =
            choice == fault_choice::store_links || kind == fault_kind::unlist_endpoint ||
            (choice == fault_choice::tenants && kind == fault_kind::suspend_gateway);
        return usual + (outlasts_records ? min_store_link_time : milliseconds{0});
    }
}

} // namespace

std::string_view to_string(fault_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::vector<fault> plan_faults(std::uint64_t seed, std::size_t count, fault_choice choice) {
    std::mt19937_64 random(seed);
    // The standard distributions differ between standard libraries; a plain remainder gives the
    // same plan for a seed everywhere.
    const auto below = [&random](int limit) {
        return static_cast<int>(random() % static_cast<std::uint64_t>(limit));
    };
    std::vector<fault> plan;
    milliseconds at{0};
    for (std::size_t i = 0; i < count; ++i) {
        at += milliseconds(below(choice == fault_choice::repeated_answers ? longest_repeated_gap_ms
                                                                          : longest_gap_ms));
        fault item;
        item.kind = choice == fault_choice::planned
                        ? planned_kinds.at(random() % planned_kinds.size())
                        : static_cast<fault_kind>(below(static_cast<int>(usual_fault_kinds)));
        if (choice == fault_choice::limits && below(2) == 0) {
            item.kind = fault_kind::endpoint_names_limit;
        }
        if (choice == fault_choice::tenants && below(tenant_fault_ratio) == 0) {
            item.kind = tenant_kinds.at(random() % tenant_kinds.size());
        }
        if (choice == fault_choice::repeated_answers) {
            item.kind = repeated_answers_kinds.at(random() % repeated_answers_kinds.size());
        }
        if (choice == fault_choice::restored_store) {
            at += milliseconds(below(longest_restored_gap_ms));
            item.kind = i % faults_per_restoration == faults_per_restoration / 2
                            ? fault_kind::restore_store
                            : restored_store_kinds.at(random() % restored_store_kinds.size());
        }
        if (choice == fault_choice::late_reports) {
            at += milliseconds(below(longest_late_report_gap_ms));
            item.kind = late_report_kinds.at(random() % late_report_kinds.size());
        }
        if (choice == fault_choice::store_links) {
            // Each fault of a link is followed by an endpoint that leaves.
            const bool is_link = i % 2 == 0;
            at += is_link ? store_link_pause : milliseconds{0};
            item.kind = is_link ? fault_kind::partition_store_link : fault_kind::unlist_endpoint;
        }
        item.at = at;
        item.lasts = draw_duration(item.kind, choice, below);
        item.target = static_cast<std::size_t>(below(1 << 16));
        if (item.kind == fault_kind::partition_store_link) {
            item.target = 0; // The first gateway reads the store for the others.
        }
        if (choice == fault_choice::repeated_answers && below(3) != 0) {
            // While the first plain endpoint rejects calls, the second one gets those again that it
            // has rejected under its former id.
            item.target = item.kind == fault_kind::endpoint_full ? 0 : 1;
        }
        plan.push_back(item);
    }
    return plan;
}

} // namespace dragonflystair::soak
