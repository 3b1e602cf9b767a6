#include "planning/admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplarstile::planning
{
namespace
{

using seconds = std::chrono::duration<double>;

/// A job that ends after this many times its objective is of no use to its caller.
constexpr int max_useful_objectives = 3;
/// Run times vary by a quarter to a half around estimates that are wrong by a fifth, and workers
/// are up to 1.25 times as fast as the nominal one: half of the estimate is rarely undercut.
constexpr double shortest_fraction = 0.5;
/// Fraction of a forecast wait that is believed: estimates may be a fifth too long, and workers a
/// fifth faster than the nominal one.
constexpr double believed_fraction = 0.85;
/// As above, of the rate at which work was accepted of late: a burst may end at any time.
constexpr double continued_fraction = 0.7;
/// A burst is expected to last for this long. With 8 s, short bursts of three to six times the
/// capacity had jobs refused that could have been served.
constexpr base::milliseconds continued_for{5'000};
/// Bounds of the time over which that rate is measured, which is the objective of each job.
constexpr base::milliseconds min_rate_span{2'000};
constexpr base::milliseconds max_rate_span{10'000};
/// At least this fraction of the capacity is expected to be left by work of higher priority that
/// has not been submitted yet.
constexpr double min_left_fraction = 0.5;
/// An unusable worker counts for one to two such spans; polls and registrations that fail for a
/// moment are over by then.
constexpr base::milliseconds peak_span{3'000};
constexpr seconds done_memory{10.0};
constexpr seconds occupied_memory{30.0};
/// Bounds what a few ends of long gangs just after a takeover amount to.
constexpr double max_speed = 10.0;
constexpr base::milliseconds min_retry{1'000};
/// Callers that return too early are refused again, those that return too late have lost time.
constexpr base::milliseconds max_retry{30'000};
constexpr base::milliseconds max_wait{3'600'000};
/// Names in a heartbeat are few; the workspaces beyond them are small.
constexpr std::size_t max_named_workspaces = 16;
/// A job can only be within a guarantee while the workspace's open jobs need less than it. The
/// need may fall by half of it within the time that a view of the load is used.
constexpr int guarantee_margin = 2;
constexpr base::milliseconds min_spread{2'000};

constexpr double milli = 1'000.0;

base::milliseconds to_milliseconds(double value_s)
{
    const auto bounded = std::clamp(value_s, 0.0, seconds{max_wait}.count());
    return base::milliseconds{static_cast<std::int64_t>(bounded * milli)};
}

/// Time that the work takes at this rate; empty when part of it can't be done at all.
std::optional<double> time_for(const work_amount& work, const work_amount& rate)
{
    double longest = 0.0;
    for (const auto& [amount, speed] :
         {std::pair{work.cores, rate.cores}, std::pair{work.accelerators, rate.accelerators}}) {
        if (amount <= 0.0) {
            continue;
        }
        if (speed <= 0.0) {
            return std::nullopt;
        }
        longest = std::max(longest, amount / speed);
    }
    return longest;
}

double weight_of(const work_amount& work)
{
    return work.cores + work.accelerators * static_cast<double>(batch::cores_per_accelerator);
}

work_amount larger_of(const work_amount& one, const work_amount& other)
{
    return {std::max(one.cores, other.cores), std::max(one.accelerators, other.accelerators)};
}

work_amount smaller_of(const work_amount& one, const work_amount& other)
{
    return {std::min(one.cores, other.cores), std::min(one.accelerators, other.accelerators)};
}

double decay(base::time_point since, base::time_point now, seconds memory)
{
    return std::exp(-std::max(seconds{now - since}.count(), 0.0) / memory.count());
}

double fraction_left(double occupied, double rate)
{
    return rate <= 0.0 ? 1.0 : std::clamp(1.0 - occupied / rate, min_left_fraction, 1.0);
}

/// How much faster than estimated work is done. Less than the estimate is not considered: the
/// capacity may have been idle.
double speed_of(double done, double offered)
{
    return offered <= 0.0 ? 1.0 : std::clamp(done / offered, 1.0, max_speed);
}

base::milliseconds scaled(base::milliseconds time, double factor)
{
    return base::milliseconds{std::llround(static_cast<double>(time.count()) * factor)};
}

bool is_within_guarantee(const std::map<std::string_view, guarantee_use>& guarantees,
                         std::string_view workspace)
{
    const auto found = guarantees.find(workspace);
    return found != guarantees.end() &&
           found->second.needed < found->second.guaranteed * guarantee_margin;
}

/// The workspaces whose work is at least their equal part of `servable`, the largest first.
std::vector<std::string>
workspaces_at_share(const job_loads::queue_sum& queue, double servable,
                    const std::map<std::string_view, guarantee_use>& guarantees)
{
    const auto share = servable / static_cast<double>(queue.workspaces.size());
    std::vector<std::pair<double, std::string_view>> large;
    for (const auto& [workspace, work] : queue.workspaces) {
        const bool guaranteed =
            queue.priority == urgent_priority && is_within_guarantee(guarantees, workspace);
        if (work >= share && !guaranteed) {
            large.emplace_back(work, workspace);
        }
    }
    std::ranges::sort(large, std::greater{});
    large.resize(std::min(large.size(), max_named_workspaces));
    std::vector<std::string> names;
    names.reserve(large.size());
    for (const auto& [work, workspace] : large) {
        names.emplace_back(workspace);
    }
    return names;
}

/// Useful work ahead of new work of one priority.
struct work_ahead {
    work_amount higher{};
    work_amount same{};
    work_amount same_in_time{};
    /// Work of the same priority that is accepted in a second.
    work_amount accepted{};
};

work_ahead ahead_of(const job_loads& loads, const job_loads::queue_sum& queue)
{
    work_ahead ahead;
    for (const auto& [name, other] : loads.queues()) {
        if (other.service != queue.service || other.priority > queue.priority) {
            continue;
        }
        if (other.priority < queue.priority) {
            ahead.higher += other.useful;
        } else {
            ahead.same += other.useful;
            ahead.same_in_time += other.in_time;
            ahead.accepted += other.accepted;
        }
    }
    return ahead;
}

} // namespace

work_amount amount_of(const batch::resources& need)
{
    return {static_cast<double>(need.cpu_milli) / milli, static_cast<double>(need.accelerators)};
}

work_amount work_of(const batch::resources& need, std::size_t tasks, base::milliseconds estimate)
{
    return amount_of(need) * (static_cast<double>(tasks) * seconds{estimate}.count());
}

base::milliseconds latest_useful_begin(const job_times& job)
{
    return job.objective * max_useful_objectives - scaled(job.chain, shortest_fraction);
}

void job_loads::add(const job_load& job)
{
    auto& service = services_[job.service];
    service.occupied_by_priority[job.priority] += job.occupied;
    service.lasting += job.lasting;
    if (job.expected == timeliness::overdue || weight_of(job.waiting) <= 0.0) {
        return;
    }
    const auto rate_span = std::clamp(job.times.objective, min_rate_span, max_rate_span);
    auto& queue = queues_[job.queue];
    if (job.age <= rate_span) {
        queue.accepted += job.total * (1.0 / seconds{rate_span}.count());
    }
    queue.service = job.service;
    queue.priority = job.priority;
    queue.shortest_objective = job.shortest_objective;
    queue.useful += job.waiting;
    if (job.expected == timeliness::in_time) {
        queue.in_time += job.waiting;
    }
    queue.latest_begins += latest_useful_begin(job.times);
    ++queue.jobs;
    queue.workspaces[job.workspace] += weight_of(job.waiting);
}

const job_loads::service_sum* job_loads::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

void capacity_forecast::note_capacity(const std::map<std::string_view, work_amount>& usable,
                                      base::time_point now)
{
    for (const auto& [service, capacity] : usable) {
        services_.try_emplace(std::string{service});
    }
    for (auto& [name, state] : services_) {
        const auto found = usable.find(name);
        const auto capacity = found == usable.end() ? work_amount{} : found->second;
        if (now - state.span_began >= peak_span) {
            state.earlier_peak = now - state.span_began < 2 * peak_span ? state.peak : capacity;
            state.peak = {};
            state.span_began = now;
        }
        state.peak = larger_of(state.peak, capacity);
        const bool first = state.offered_at == base::time_point{};
        const auto span = first ? seconds{0.0} : seconds{now - state.offered_at};
        state.offered = state.offered * decay(state.offered_at, now, done_memory);
        state.offered += capacity * span.count();
        state.offered_at = now;
    }
}

void capacity_forecast::note_done(std::string_view service, const work_amount& done,
                                  base::time_point now)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    auto& state = found->second;
    state.done = state.done * decay(state.done_at, now, done_memory);
    state.done += done;
    state.done_at = now;
}

work_amount capacity_forecast::rate_of(const service_state& state, const work_amount& lasting,
                                       base::time_point now)
{
    auto capacity = larger_of(state.peak, state.earlier_peak);
    capacity += lasting * -1.0;
    const auto done = state.done * decay(state.done_at, now, done_memory);
    const auto offered = state.offered * decay(state.offered_at, now, done_memory);
    return {capacity.cores * speed_of(done.cores, offered.cores),
            capacity.accelerators * speed_of(done.accelerators, offered.accelerators)};
}

void capacity_forecast::smooth(service_state& state, const job_loads::service_sum& load,
                               base::time_point now)
{
    const auto kept = decay(state.occupied_at, now, occupied_memory);
    for (auto& [priority, occupied] : state.occupied) {
        occupied = occupied * kept;
    }
    for (const auto& [priority, occupied] : load.occupied_by_priority) {
        state.occupied[priority] += occupied * (1.0 - kept);
    }
    state.occupied_at = now;
}

work_amount capacity_forecast::rate_left(const service_state& state,
                                         const job_loads::service_sum& load, std::uint32_t priority,
                                         const work_amount& rate)
{
    work_amount occupied;
    for (const auto& [other, now_occupied] : load.occupied_by_priority) {
        const auto smoothed = state.occupied.find(other);
        if (other < priority && smoothed != state.occupied.end()) {
            occupied += smaller_of(now_occupied, smoothed->second);
        }
    }
    return {rate.cores * fraction_left(occupied.cores, rate.cores),
            rate.accelerators * fraction_left(occupied.accelerators, rate.accelerators)};
}

std::vector<queue_shortage>
capacity_forecast::shortages(const job_loads& loads,
                             const std::map<std::string_view, guarantee_use>& guarantees,
                             base::time_point now)
{
    for (auto& [name, state] : services_) {
        if (const auto* const load = loads.service(name)) {
            smooth(state, *load, now);
        }
    }
    std::vector<queue_shortage> found;
    for (const auto& [name, queue] : loads.queues()) {
        const auto state = services_.find(queue.service);
        const auto* const load = loads.service(queue.service);
        if (state == services_.end() || load == nullptr) {
            continue;
        }
        const auto rate = rate_of(state->second, load->lasting, now);
        const auto left = rate_left(state->second, *load, queue.priority, rate);
        const auto ahead = ahead_of(loads, queue);
        const auto higher = time_for(ahead.higher, rate);
        const auto same = time_for(ahead.same, left);
        const auto in_time = time_for(ahead.same_in_time, left);
        if (!higher || !same || !in_time) {
            // Nobody can tell when workers are there again.
            continue;
        }
        queue_shortage shortage;
        shortage.wait = to_milliseconds(*higher + *same);
        const auto always_useful = queue.shortest_objective * max_useful_objectives;
        if (shortage.wait <= always_useful) {
            continue;
        }
        shortage.queue = name;
        shortage.in_time_wait = to_milliseconds(*higher + *in_time);
        const auto taken = time_for(ahead.accepted, left).value_or(0.0) * continued_fraction;
        shortage.late_permille =
            static_cast<std::uint32_t>(std::clamp(1.0 - taken, 0.0, 1.0) * milli);
        shortage.accepts_any_after = shortage.wait - always_useful;
        const auto mean_latest = queue.latest_begins / static_cast<std::int64_t>(queue.jobs);
        const auto servable_fraction = std::min(1.0, seconds{mean_latest} / seconds{shortage.wait});
        shortage.at_fair_share =
            workspaces_at_share(queue, weight_of(queue.useful) * servable_fraction, guarantees);
        found.push_back(std::move(shortage));
    }
    return found;
}

std::optional<base::milliseconds> hopeless_for(const queue_shortage& shortage, const job_times& job)
{
    const auto latest = latest_useful_begin(job);
    const auto in_time_until =
        std::max(job.objective - scaled(job.chain, shortest_fraction), base::milliseconds{0});
    const auto wait = scaled(shortage.wait, believed_fraction);
    if (scaled(shortage.in_time_wait, believed_fraction) <= in_time_until ||
        wait <= in_time_until) {
        return std::nullopt;
    }
    // From then on it is late, and work that is accepted later ranks before it.
    const auto late_fraction = shortage.late_permille / milli;
    const auto passed_for = std::max(continued_for - in_time_until, base::milliseconds{0});
    const auto passed_by = scaled(passed_for, 1.0 - late_fraction);
    if (wait + passed_by <= latest) {
        return std::nullopt;
    }
    return std::clamp(wait + passed_by - latest, min_retry, max_retry);
}

base::milliseconds spread_return(base::milliseconds retry_after, std::string_view id)
{
    // FNV-1a: ids of jobs may be consecutive numbers, and the spread has to be the same on all VMs.
    std::uint64_t hash = 14'695'981'039'346'656'037U;
    for (const char letter : id) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211U;
    }
    const auto width = std::max(retry_after / 2, min_spread);
    // The upper bits differ most.
    const auto place = static_cast<std::int64_t>((hash >> 20U) % std::uint64_t(width.count()));
    return retry_after + base::milliseconds{place};
}

} // namespace poplarstile::planning
