#include "clock.hpp"
#include "site.hpp"
#include "worker.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <thread>

/// The cases of this review that are scripts. Exit codes: 0 the rule held, 1 it was broken, 2 the
/// case could not run.
namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

bool with_trouble()
{
    const auto* const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string{trouble} != "0";
}

void pause_ms(std::int64_t span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

std::string job_id(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", number);
    return text;
}

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

int verdict(const rig::site& site, bool was_broken, const std::string& why)
{
    site.note(std::string{was_broken ? "BROKEN: " : "held: "} + why);
    std::printf("%s: %s\n", was_broken ? "broken" : "held", why.c_str());
    return was_broken ? broken : held;
}

/// A worker dies; jobs that come in the next moment are sent to it, and the queue's number of
/// waiting jobs leaves them out although no task of theirs has begun.
int waiting_count(rig::site& site)
{
    constexpr int jobs = 6;
    constexpr std::int64_t work_ms = 3'000;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(rig::contact_ms + 2'000);
    if (with_trouble()) {
        site.crash_worker(0);
    }
    std::map<std::string, std::int64_t> accepted;
    for (int number = 0; number < jobs; ++number) {
        if (!site.submit(number % 3, job_id(number), work_ms)) {
            return not_run;
        }
        accepted[job_id(number)] = rig::now_ms();
    }
    int answers = 0;
    int wrong = 0;
    std::string first;
    const auto until = rig::now_ms() + 14'000;
    while (rig::now_ms() < until) {
        for (int vm = 0; vm < 3; ++vm) {
            const auto asked = rig::now_ms();
            const auto told = site.waiting(vm);
            if (!told) {
                continue;
            }
            ++answers;
            std::set<std::string> begun;
            for (const auto& event : site.events()) {
                begun.insert(job_of(event.task));
            }
            const auto not_begun =
                std::ranges::count_if(accepted, [&begun, asked](const auto& entry) {
                    return entry.second + rig::visible_ms + 2'000 < asked &&
                           !begun.contains(entry.first);
                });
            if (2 * *told < not_begun) {
                ++wrong;
                const auto line = "vm-" + std::to_string(vm + 1) + " says " +
                                  std::to_string(*told) + " waiting, " + std::to_string(not_begun) +
                                  " jobs have not begun";
                site.note("client GET queue: " + line);
                first = first.empty() ? line : first;
            }
        }
        pause_ms(100);
    }
    return verdict(site, wrong > 0,
                   std::to_string(wrong) + " of " + std::to_string(answers) +
                       " answers were wrong" + (first.empty() ? "" : "; the first: " + first));
}

/// The worker that runs a task dies four times; no run has failed.
int crashed_workers(rig::site& site)
{
    constexpr std::int64_t work_ms = 12'000;
    constexpr int crashes = 4;
    constexpr std::int64_t ran_ms = 4'000;
    constexpr std::int64_t down_ms = 4'500;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(2'000);
    const auto job = job_id(1);
    if (!site.submit(0, job, work_ms)) {
        return not_run;
    }
    std::uint64_t newest = 0;
    std::map<int, std::int64_t> comes_back;
    int killed = 0;
    std::string state;
    const auto until = rig::now_ms() + 95'000;
    while (rig::now_ms() < until && state != "completed" && state != "failed") {
        for (const auto& event : site.events()) {
            const bool due = event.what == "start" && event.run > newest &&
                             rig::now_ms() - event.at_ms >= ran_ms;
            if (!due || killed == crashes || !with_trouble()) {
                continue;
            }
            newest = event.run;
            ++killed;
            const int worker = std::stoi(event.worker.substr(2)) - 100;
            site.crash_worker(worker);
            comes_back[worker] = rig::now_ms() + down_ms;
        }
        for (auto next = comes_back.begin(); next != comes_back.end();) {
            if (rig::now_ms() >= next->second) {
                site.start_worker(next->first);
                next = comes_back.erase(next);
            } else {
                ++next;
            }
        }
        const auto shown = site.state_of(1, job);
        if (shown != state) {
            site.note("client GET " + job + " -> " + shown);
            state = shown;
        }
        pause_ms(100);
    }
    const auto events = site.events();
    const auto failed = std::ranges::count(events, std::string{"failed"}, &rig::run_event::what);
    return verdict(site, state == "failed" && failed == 0,
                   "the job is shown as " + state + " after " + std::to_string(killed) +
                       " crashes of workers and " + std::to_string(failed) + " failed runs");
}

std::string step_of(int gpu, std::int64_t estimate_ms, const std::string& more)
{
    return R"({"count":1,"mem_mb":4000,"cpu":)" + std::to_string(2'000 * gpu) + R"(,"gpu":)" +
           std::to_string(gpu) + R"(,"estimate_ms":)" + std::to_string(estimate_ms) + more + "}";
}

std::string body_of(const std::string& spec, const std::string& steps)
{
    return R"({"spec":")" + spec + R"(","steps":[)" + steps + "]}";
}

/// Two lasting jobs fail soon after each start. A sound job whose tasks need a whole worker is left
/// waiting beside idle workers.
int failing_jobs(rig::site& site)
{
    constexpr int jobs = 60;
    constexpr int hopeless_jobs = 2;
    constexpr int steps = 6;
    constexpr std::int64_t step_ms = 2'000;
    constexpr std::int64_t finish_ms = 14'000;
    constexpr std::int64_t watched_ms = 40'000;
    constexpr std::int64_t longest_wait_ms = 3'000;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(2'000);
    const auto lasting =
        body_of(R"({\"work_ms\":300,\"fails\":true})", step_of(1, 300, R"(,"long_running":true)"));
    std::string chain;
    for (int step = 0; step < steps; ++step) {
        const auto after = step == 0 ? "" : R"(,"after":[)" + std::to_string(step - 1) + "]";
        chain += (step == 0 ? "" : ",") + step_of(8, step_ms, after);
    }
    const auto sound = job_id(999);
    for (int number = 1; number <= jobs; ++number) {
        const bool hopeless = number % (jobs / hopeless_jobs) == 0;
        const bool accepted =
            hopeless && with_trouble() ? site.submit_body(number % 3, job_id(number), lasting)
            : number == jobs - 1
                ? site.submit_body(0, sound, body_of(R"({\"work_ms\":2000})", chain))
                : site.submit(number % 3, job_id(number), 300);
        if (!accepted) {
            return not_run;
        }
        pause_ms(150);
    }
    const auto traffic_ended = rig::now_ms();
    std::string state;
    while (rig::now_ms() < traffic_ended + finish_ms + watched_ms && state != "completed") {
        pause_ms(500);
        const auto shown = site.state_of(1, sound);
        if (shown != state) {
            site.note("client GET " + sound + " -> " + shown);
            state = shown;
        }
    }
    // From the end of a step until the next one starts, a task's turn has come and nothing of the
    // job runs.
    std::int64_t longest = 0;
    std::int64_t since = traffic_ended + finish_ms;
    int done = 0;
    bool runs = false;
    for (const auto& event : site.events()) {
        if (job_of(event.task) != sound) {
            continue;
        }
        if (event.what == "start") {
            longest = std::max(longest, event.at_ms - since);
            runs = true;
        } else {
            since = std::max(since, event.at_ms);
            done += event.what == "done" ? 1 : 0;
            runs = false;
        }
    }
    if (!runs && state != "completed") {
        longest = std::max(longest, rig::now_ms() - since);
    }
    return verdict(site, longest >= longest_wait_ms,
                   "the sound job is " + state + ", " + std::to_string(done) + " of " +
                       std::to_string(steps) + " steps are done; later than finish_s after the " +
                       "traffic nothing of it ran for " + std::to_string(longest) + " ms");
}

/// A job is cancelled while orders to its worker wait for those that the worker leaves unanswered.
/// Starts of it are sent seconds after the cancel was acknowledged.
int cancelled_starts(rig::site& site)
{
    constexpr int tasks = 20;
    constexpr std::int64_t late_ms = 5'500;
    constexpr std::int64_t cancel_ms = 3'000;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(rig::contact_ms + 2'000);
    if (with_trouble()) {
        site.make_orders_late(late_ms);
    }
    const auto job = job_id(1);
    const auto body = R"({"spec":"{\"work_ms\":20000}","steps":[{"count":)" +
                      std::to_string(tasks) + R"(,"cpu":1500,"mem_mb":2000,"estimate_ms":20000}]})";
    if (!site.submit_body(0, job, body)) {
        return not_run;
    }
    pause_ms(200);
    if (!site.cancel(1, job)) {
        return not_run;
    }
    const auto acknowledged = rig::now_ms();
    pause_ms(15'000);
    int begun = 0;
    int later = 0;
    std::int64_t latest = 0;
    for (const auto& event : site.events()) {
        if (job_of(event.task) != job || event.what != "start") {
            continue;
        }
        ++begun;
        const auto after = event.at_ms - acknowledged;
        later += after > cancel_ms ? 1 : 0;
        latest = std::max(latest, after);
    }
    return verdict(site, later > 0,
                   std::to_string(later) + " of " + std::to_string(begun) +
                       " starts came later than cancel_ms after the acknowledgement of the " +
                       "cancel, not counting orders that were carried out late; the last one " +
                       std::to_string(latest) + " ms after it");
}

/// A worker hangs until its lease is over, and its task, which is done there, is placed on another
/// one. That worker hangs a little later, so the start waits in the entry VM. It is sent after the
/// first worker has told of the end and the job has been shown as completed.
int start_after_completion(rig::site& site)
{
    constexpr std::int64_t work_ms = 3'000;
    constexpr std::int64_t first_hang_at = 1'600;
    constexpr std::int64_t first_hang_ms = 4'850;
    constexpr std::int64_t second_hang_at = 5'800;
    constexpr std::int64_t second_hang_ms = 2'600;
    constexpr std::int64_t fillers_at = 6'000;
    constexpr std::int64_t watched_ms = 16'000;
    constexpr std::int64_t allowed_ms = 1'000;
    constexpr int fillers = 6;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(rig::contact_ms + 2'000);
    const auto job = job_id(1);
    if (!site.submit(0, job, work_ms)) {
        return not_run;
    }
    std::int64_t began = 0;
    int worker = 0;
    for (const auto until = rig::now_ms() + 3'000; began == 0 && rig::now_ms() < until;) {
        for (const auto& event : site.events()) {
            began = event.at_ms;
            worker = std::stoi(event.worker.substr(2)) - 100;
        }
        pause_ms(1);
    }
    const int other = worker + 1;
    std::int64_t completed = 0;
    bool first_hung = false;
    bool second_hung = false;
    bool filled = false;
    while (began > 0 && rig::now_ms() < began + watched_ms) {
        const auto at = rig::now_ms() - began;
        if (!first_hung && at >= first_hang_at) {
            first_hung = true;
            if (with_trouble()) {
                site.hang_worker(worker, first_hang_ms);
            }
        }
        if (!second_hung && at >= second_hang_at) {
            second_hung = true;
            if (with_trouble()) {
                site.hang_worker(other, second_hang_ms);
            }
        }
        if (!filled && at >= fillers_at) {
            filled = true;
            const auto body = R"({"spec":"{\"work_ms\":20000}","steps":[{"count":)" +
                              std::to_string(fillers) +
                              R"(,"cpu":2000,"mem_mb":4000,"gpu":1,"estimate_ms":20000}]})";
            if (!site.submit_body(2, job_id(2), body)) {
                return not_run;
            }
        }
        if (completed == 0 && site.state_of(1, job) == "completed") {
            completed = rig::now_ms();
            site.note("client GET " + job + " -> completed");
        }
        pause_ms(20);
    }
    if (completed == 0) {
        site.note("the job was not shown as completed");
        return not_run;
    }
    std::int64_t latest = 0;
    int starts = 0;
    for (const auto& event : site.events()) {
        if (job_of(event.task) == job && event.what == "start") {
            ++starts;
            latest = event.at_ms - completed;
        }
    }
    return verdict(site, latest > allowed_ms,
                   std::to_string(starts) + " starts of the task; the last one " +
                       std::to_string(latest) +
                       " ms after the job was shown as completed (negative: before)");
}

int run_case(const std::string& name, const std::string& record)
{
    std::remove(record.c_str());
    std::string folder = "/tmp/review-2-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        return not_run;
    }
    int result = not_run;
    if (name == "waiting_count") {
        rig::site site{{}, folder, record};
        result = waiting_count(site);
    } else if (name == "crashed_workers") {
        rig::site site{{}, folder, record};
        result = crashed_workers(site);
    } else if (name == "cancelled_starts") {
        rig::site site{{}, folder, record};
        result = cancelled_starts(site);
    } else if (name == "start_after_completion") {
        rig::site_options options;
        options.workers = 16;
        rig::site site{options, folder, record};
        result = start_after_completion(site);
    } else if (name == "failing_jobs") {
        rig::site site{{}, folder, record};
        result = failing_jobs(site);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    return result;
}

int run_as_worker(char** words)
{
    rig::worker_options options;
    options.id = words[0];
    options.port = std::atoi(words[1]);
    options.store_port = std::atoi(words[2]);
    options.service = words[3];
    options.rack = words[4];
    options.cpu = std::atoll(words[5]);
    options.memory = std::atoll(words[6]);
    options.gpu = std::atoll(words[7]);
    options.record = words[8];
    options.hold_max_ms = rig::hold_max_ms;
    options.stop_ms = rig::stop_ms;
    options.beat_ms = rig::heartbeat_ms;
    return rig::run_worker(options);
}

} // namespace

int main(int count, char** words)
{
    constexpr int words_of_a_worker = 11;
    if (count == words_of_a_worker && std::string{words[1]} == "worker") {
        return run_as_worker(words + 2);
    }
    if (count != 3) {
        std::fprintf(stderr, "usage: cases-2 CASE RECORD\n");
        return not_run;
    }
    return run_case(words[1], words[2]);
}
