#include "fault_plan.h"
#include "guarantee_checker.h"
#include "net/test_context.h"
#include "soak_callers.h"
#include "soak_cluster.h"
#include "tenant_checker.h"
#include "tenant_faults.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::soak;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr const char* usage = R"(Soak of real gateways under random faults.

Usage:
  dragonflystair-soak [--seed N] [--seeds N] [--faults N] [--callers N]
                      [--planned | --limits | --store-links | --repeated-answers |
                       --restored-store | --tenants | --late-reports]
                      [--keep] PROGRAM

Options:
  --seed N     First seed [default: 1].
  --seeds N    Number of seeds in a row [default: 1].
  --faults N   Faults of a run [default: 40].
  --callers N  Callers that call in turn [default: 16].
  --planned    Only what operators do on purpose; no call may be cut off.
  --limits     Half of the faults are endpoints that name a rate limit.
  --store-links  Links to the store that fall silent just before an endpoint leaves.
  --repeated-answers  Endpoints that send answers twice, reject calls and restart.
  --restored-store  A store that returns in the state of some seconds before.
  --late-reports  Reports of endpoints that the store executes after their next run has begun.
  --tenants    Tenants with keys and quotas, surges, and callers that behave badly.
  --keep       Keep the logs of a run that passed.
)";

/// Number of calls of each kind that must be served after the last fault, and the timeout for
/// them. The timeout is generous, so that the result does not depend on the load of the machine.
constexpr std::size_t recovered_calls = 5;
constexpr milliseconds recovery_time{60'000};

/// Reports a violation if a gateway shuts an endpoint out that runs.
void wait_endpoints_in_use(guarantee_checker& checked, const soak_cluster& cluster) {
    const auto end = steady::now() + recovery_time;
    while (!cluster.endpoints_in_use()) {
        if (steady::now() > end) {
            checked.report_violation("a gateway lists an endpoint that runs as gone or leaving");
            return;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
}

/// Time after the last fault until the newest configuration must be in force.
constexpr milliseconds settling_time{7'500};

/// Number of different first eras of the store.
constexpr std::uint64_t first_eras = 3;

/// Starts and ends the faults of a plan at their scheduled times.
/// `begin` starts a fault and returns the function that ends it.
void inject_faults(const std::vector<fault>& plan,
                   const std::function<std::function<void()>(const fault&)>& begin) {
    std::multimap<milliseconds, std::function<void()>> steps;
    for (const auto& item : plan) {
        steps.emplace(item.at, [&begin, &steps, item] {
            std::printf("%6lld ms  %s %zu for %lld ms\n", static_cast<long long>(item.at.count()),
                        std::string(to_string(item.kind)).c_str(), item.target,
                        static_cast<long long>(item.lasts.count()));
            steps.emplace(item.at + item.lasts, begin(item));
        });
    }
    const auto start = steady::now();
    while (!steps.empty()) {
        auto step = steps.extract(steps.begin());
        std::this_thread::sleep_until(start + step.key());
        step.mapped()();
    }
}

bool recovered(const guarantee_checker& checked, const std::vector<std::size_t>& before) {
    for (std::size_t kind = 0; kind < call_kinds; ++kind) {
        if (checked.served(static_cast<call_kind>(kind)) < before[kind] + recovered_calls) {
            return false;
        }
    }
    return true;
}

/// Waits until `recovered_calls` more calls of every kind have been served; reports a violation if
/// this takes longer than `recovery_time`.
void wait_recovered(guarantee_checker& checked) {
    std::vector<std::size_t> before;
    for (std::size_t kind = 0; kind < call_kinds; ++kind) {
        before.push_back(checked.served(static_cast<call_kind>(kind)));
    }
    const auto end = steady::now() + recovery_time;
    while (!recovered(checked, before)) {
        if (steady::now() > end) {
            checked.report_violation("not every kind of call recovered after the last fault");
            return;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
}

std::size_t number_of(const docopt::value& value) {
    return static_cast<std::size_t>(value.asLong());
}

fault_choice choice_of(std::map<std::string, docopt::value>& options) {
    return options["--planned"].asBool()            ? fault_choice::planned
           : options["--limits"].asBool()           ? fault_choice::limits
           : options["--store-links"].asBool()      ? fault_choice::store_links
           : options["--repeated-answers"].asBool() ? fault_choice::repeated_answers
           : options["--restored-store"].asBool()   ? fault_choice::restored_store
           : options["--tenants"].asBool()          ? fault_choice::tenants
           : options["--late-reports"].asBool()     ? fault_choice::late_reports
                                                    : fault_choice::any;
}

/// Runs one seed and returns whether no guarantee was violated. Keeps the logs of a failed run.
bool run_seed(std::uint64_t seed, std::map<std::string, docopt::value>& options) {
    auto folder =
        (std::filesystem::temp_directory_path() / fmt::format("soak-{}-XXXXXX", seed)).string();
    if (mkdtemp(folder.data()) == nullptr) {
        std::perror("mkdtemp");
        return false;
    }
    const auto choice = choice_of(options);
    guarantee_checker checked(choice != fault_choice::planned, [](std::string_view text) {
        std::printf("broken: %s\n", std::string(text).c_str());
        std::fflush(stdout);
    });
    tenant_checker tenants(checked, seed);
    auto* const used_tenants = choice == fault_choice::tenants ? &tenants : nullptr;
    net::test_context context;
    {
        soak_cluster cluster(context.get(), options["PROGRAM"].asString(), folder, checked,
                             choice == fault_choice::store_links, seed % first_eras, used_tenants);
        soak_callers callers(context.get(), cluster, checked, seed, used_tenants);
        tenant_faults faults(cluster, callers, tenants);
        callers.start(number_of(options["--callers"]));
        wait_recovered(checked);
        if (choice == fault_choice::restored_store) {
            cluster.watch_configurations();
        }
        if (choice == fault_choice::late_reports) {
            cluster.start_heartbeats();
        }
        inject_faults(plan_faults(seed, number_of(options["--faults"]), choice),
                      [&](const fault& item) { return faults.begin(item); });
        if (choice == fault_choice::restored_store) {
            std::this_thread::sleep_for(settling_time);
        }
        wait_recovered(checked);
        if (choice == fault_choice::late_reports) {
            wait_endpoints_in_use(checked, cluster);
        }
        if (used_tenants != nullptr) {
            faults.check_after_faults(checked);
        }
        callers.stop();
        cluster.stop();
        context.stop();
    }
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                checked.summary().c_str());
    if (used_tenants != nullptr) {
        std::printf("tenants: %s\n", tenants.summary().c_str());
    }
    const bool kept = checked.violations() == 0;
    if (kept && !options["--keep"].asBool()) {
        std::filesystem::remove_all(folder);
    } else {
        std::printf("logs: %s\n", folder.c_str());
    }
    std::fflush(stdout);
    return kept;
}

} // namespace

int main(int argc, char** argv) {
    auto options = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto first = number_of(options["--seed"]);
    const auto seeds = number_of(options["--seeds"]);
    std::size_t failed = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        failed += run_seed(seed, options) ? 0 : 1;
    }
    std::printf("%zu of %zu seeds failed\n", failed, seeds);
    return failed == 0 ? 0 : 1;
}
