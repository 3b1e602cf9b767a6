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

/// One worker after another dies while it is idle and comes back under its id. A job's starts are
/// sent to workers that are down; no run of it begins, and the crashes are counted under them.
/// Where a start meets a worker that is up the job is completed, and another one is handed in.
int crashed_before_start(rig::site& site)
{
    constexpr std::int64_t work_ms = 3'000;
    constexpr std::int64_t down_ms = 4'500;
    constexpr std::int64_t apart_ms = 4'000;
    constexpr std::int64_t pause_between_ms = 5'000;
    constexpr std::int64_t watched_ms = 95'000;
    constexpr int crashes = 6;
    constexpr int jobs = 3;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(rig::contact_ms + 2'000);
    const auto until = rig::now_ms() + watched_ms;
    std::string told;
    for (int number = 1; number <= jobs && rig::now_ms() < until; ++number) {
        const auto job = job_id(number);
        const auto began = rig::now_ms();
        int killed = 0;
        int back = 0;
        bool submitted = false;
        std::string state;
        while (rig::now_ms() < until) {
            const auto at = rig::now_ms() - began;
            const bool ended = state == "completed" || state == "failed";
            if (with_trouble() && !ended && killed < crashes && at >= killed * apart_ms) {
                site.crash_worker(killed++);
            }
            if (back < killed && at >= back * apart_ms + down_ms) {
                site.start_worker(back++);
            }
            if (ended && back == killed) {
                break;
            }
            if (!submitted) {
                submitted = true;
                if (!site.submit(0, job, work_ms)) {
                    return not_run;
                }
            }
            const auto shown = ended ? state : site.state_of(1, job);
            if (shown != state) {
                site.note("client GET " + job + " -> " + shown);
                state = shown;
            }
            pause_ms(50);
        }
        const auto events = site.events();
        const auto of_job = std::ranges::count_if(
            events, [&job](const auto& event) { return job_of(event.task) == job; });
        told += (told.empty() ? "" : "; ") + job + " is shown as " + state + " after " +
                std::to_string(killed) + " crashes of workers, which noted " +
                std::to_string(of_job) + " starts and ends of it";
        if (state == "failed" && of_job == 0) {
            return verdict(site, true, told);
        }
        if (!with_trouble()) {
            break;
        }
        pause_ms(pause_between_ms);
    }
    return verdict(site, false, told);
}

/// Workers leave every second order unanswered. One of them is emptied after starts were sent to
/// it; those that it did not take are sent again, seconds after the entry VMs read that it drains.
int draining_worker(rig::site& site)
{
    constexpr int tasks = 20;
    constexpr std::int64_t late_ms = 5'500;
    constexpr std::int64_t allowed_ms = 2'000;
    constexpr std::int64_t watched_ms = 10'000;
    constexpr int worker = 0;
    if (!site.start()) {
        return not_run;
    }
    pause_ms(rig::contact_ms + 2'000);
    if (with_trouble()) {
        site.make_orders_late(late_ms);
    }
    const auto job = job_id(1);
    const auto body = R"({"spec":"{\"work_ms\":8000}","steps":[{"count":)" + std::to_string(tasks) +
                      R"(,"cpu":1500,"mem_mb":2000,"estimate_ms":8000}]})";
    if (!site.submit_body(0, job, body)) {
        return not_run;
    }
    pause_ms(100);
    site.drain_worker(worker);
    pause_ms(1'000);
    const auto told = site.last_told(worker);
    if (told == 0) {
        site.note("nobody has read that the worker drains");
        return not_run;
    }
    site.note("the last reader was told at " + std::to_string(told));
    pause_ms(watched_ms);
    int begun = 0;
    int later = 0;
    std::int64_t latest = 0;
    for (const auto& event : site.events()) {
        if (event.worker != rig::site::worker_name(worker) || event.what != "start") {
            continue;
        }
        ++begun;
        const auto after = event.at_ms - told;
        later += after > allowed_ms ? 1 : 0;
        latest = std::max(latest, after);
    }
    if (begun == 0) {
        site.note("the worker was given nothing");
        return not_run;
    }
    return verdict(site, later > 0,
                   std::to_string(later) + " of " + std::to_string(begun) +
                       " starts on the worker, not counting orders that it carried out late, " +
                       "came later than drain_ms after the last reader was told that it drains; " +
                       "the last one " + std::to_string(latest) + " ms after it");
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
    } else if (name == "crashed_before_start") {
        rig::site_options options;
        options.workers = 16;
        rig::site site{options, folder, record};
        result = crashed_before_start(site);
    } else if (name == "draining_worker") {
        rig::site_options options;
        options.workers = 16;
        rig::site site{options, folder, record};
        result = draining_worker(site);
    } else if (name == "start_after_completion") {
        rig::site_options options;
        options.workers = 20;
        rig::site site{options, folder, record};
        result = start_after_completion(site);
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
