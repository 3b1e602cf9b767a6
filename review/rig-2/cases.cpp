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
