#include "soak/soak_waiting.hpp"

#include "batch/task_id.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <optional>

namespace poplarstile::soak
{
namespace
{

using standins::site_standin::step_script;

/// As long after a disruption the users' machines count as in touch again.
constexpr base::milliseconds calm_before{3'000};
constexpr base::milliseconds look_interval{150};
constexpr std::int64_t room_wanted = 2;

/// Work whose turn has come: a task, or a whole gang.
struct due_unit {
    std::uint32_t step = 0;
    std::int64_t tasks = 1;
};

std::string name_of_task(const std::string& job, std::uint32_t step, std::uint32_t index)
{
    return batch::to_text({job, 0, step, index});
}

bool step_is_done(const std::string& job, std::uint32_t number, const step_script& step,
                  const std::set<std::string>& done)
{
    for (std::uint32_t index = 0; index < step.tasks; ++index) {
        if (!done.contains(name_of_task(job, number, index))) {
            return false;
        }
    }
    return true;
}

std::vector<due_unit> due_units(const job_script& script, const std::set<std::string>& done)
{
    std::vector<due_unit> due;
    for (std::uint32_t number = 0; number < script.steps.size(); ++number) {
        const auto& step = script.steps.at(number);
        const bool turn = std::ranges::all_of(step.after, [&](const auto earlier) {
            return step_is_done(script.job, earlier, script.steps.at(earlier), done);
        });
        if (turn && !step_is_done(script.job, number, step, done)) {
            due.push_back({number, step.gang ? std::int64_t{step.tasks} : 1});
        }
    }
    return due;
}

bool runs(const std::string& job, const std::set<std::string>& running)
{
    const auto prefix = job + ".";
    const auto next = running.lower_bound(prefix);
    return next != running.end() && next->starts_with(prefix);
}

struct total_room {
    batch::resources capacity{};
    batch::resources used{};
};

total_room total_of(const site_sight& seen)
{
    total_room total;
    for (const auto& worker : seen.workers) {
        total.capacity += worker.capacity;
        total.used += worker.used;
    }
    return total;
}

std::int64_t fitting(const site_sight& seen, const batch::resources& need)
{
    return std::accumulate(seen.workers.begin(), seen.workers.end(), std::int64_t{0},
                           [&](std::int64_t sum, const auto& worker) {
                               return sum + std::max<std::int64_t>(
                                                need.fit_count(worker.capacity - worker.used), 0);
                           });
}

std::string describe(const batch::resources& amount)
{
    return fmt::format("[{}, {}, {}]", amount.cpu_milli, amount.memory_mb, amount.accelerators);
}

/// What waits beside free room; nothing when nothing does.
std::optional<std::string> waiting_beside_room(const job_script& script, const site_sight& seen,
                                               const total_room& total)
{
    for (const auto& unit : due_units(script, seen.done)) {
        const auto& step = script.steps.at(unit.step);
        const auto room = fitting(seen, step.need);
        if (room >= room_wanted * unit.tasks) {
            return fmt::format("step {}, {} of {} with {} each{}, room for {}, {} of {} in use",
                               unit.step, step.gang ? "a gang" : "tasks", step.tasks,
                               describe(step.need), step.one_rack ? " in one rack" : "", room,
                               describe(total.used), describe(total.capacity));
        }
    }
    return std::nullopt;
}

batch::resources parse_resources(const nlohmann::json& amount)
{
    return {amount.at(0).get<std::int64_t>(), amount.at(1).get<std::int64_t>(),
            amount.at(2).get<std::int64_t>()};
}

std::optional<site_sight> parse_sight(const nlohmann::json& report)
{
    try {
        site_sight seen;
        for (const auto& worker : report.at("room")) {
            seen.workers.push_back(
                {parse_resources(worker.at("capacity")), parse_resources(worker.at("used"))});
        }
        seen.running = report.at("running").get<std::set<std::string>>();
        seen.done = report.at("done_tasks").get<std::set<std::string>>();
        return seen;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace

void waiting_judge::observe(clock::time_point at, const site_sight& seen,
                            const std::map<std::string, job_script>& owed)
{
    const auto total = total_of(seen);
    const bool half_is_free = (total.used * 2).fits(total.capacity);
    for (const auto& [job, script] : owed) {
        auto& wait = waits_[job];
        const auto text = half_is_free && !runs(job, seen.running)
                              ? waiting_beside_room(script, seen, total)
                              : std::nullopt;
        if (!text) {
            wait.waits = false;
            continue;
        }
        if (!wait.waits) {
            wait.waits = true;
            wait.since = at;
        }
        const auto span = std::chrono::duration_cast<base::milliseconds>(at - wait.since);
        if (span > wait.longest) {
            wait.longest = span;
            wait.longest_text = *text;
        }
    }
}

std::vector<std::string>
waiting_judge::violations(const std::map<std::string, job_script>& owed) const
{
    std::vector<std::string> lines;
    for (const auto& [job, wait] : waits_) {
        if (wait.longest > longest_wait && owed.contains(job)) {
            lines.push_back(fmt::format("{}: waits beside free room for {} ms: {}", job,
                                        wait.longest.count(), wait.longest_text));
        }
    }
    return lines;
}

waiting_watch::waiting_watch(soak_site& site, caller_crowd& callers)
    : site_{site}, callers_{callers}, thread_{[this] { look(); }}
{
}

waiting_watch::~waiting_watch()
{
    (void)stop();
}

std::vector<std::string> waiting_watch::stop()
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    return judge_.violations(callers_.owed_scripts());
}

void waiting_watch::look()
{
    const auto calm_from = waiting_judge::clock::now() + calm_before;
    while (!stopping_) {
        std::this_thread::sleep_for(look_interval);
        const auto at = waiting_judge::clock::now();
        if (at < calm_from) {
            continue;
        }
        const auto owed = callers_.owed_scripts();
        if (const auto seen = parse_sight(site_.report())) {
            judge_.observe(at, *seen, owed);
        }
    }
}

} // namespace poplarstile::soak
