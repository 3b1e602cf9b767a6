#include "worker.hpp"

#include "clock.hpp"
#include "http.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace rig
{
namespace
{

using json = nlohmann::json;

/// How long a worker serves at least after it has reported that it drains.
constexpr std::int64_t drain_ms = 2'000;

struct running_task {
    std::uint64_t run = 0;
    std::int64_t began_ms = 0;
    std::int64_t work_ms = 0;
    /// Fails after `work_ms` in place of being done.
    bool fails = false;
    /// When a stop that was asked for is done.
    std::optional<std::int64_t> stops_ms{};
};

struct ended_task {
    std::uint64_t number = 0;
    std::string task{};
    std::uint64_t run = 0;
    std::string how{};
};

class worker
{
public:
    explicit worker(worker_options options) : options_{std::move(options)}, born_{unix_ms()} {}

    int run()
    {
        const auto port =
            serve(options_.port, [this](const request& asked) { return answer(asked); });
        if (port == 0) {
            return 2;
        }
        std::thread{[this] {
            for (;;) {
                beat();
                std::this_thread::sleep_for(std::chrono::milliseconds{options_.beat_ms});
            }
        }}.detach();
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
            const std::lock_guard lock{mutex_};
            advance();
        }
    }

private:
    [[nodiscard]] std::int64_t clock() const
    {
        return now_ms() - started_;
    }

    void beat()
    {
        const bool drains = drains_;
        // Fields that change with each heartbeat are left out: the entry changes when others do.
        json entry{{"service", options_.service},
                   {"address", "127.0.0.1:" + std::to_string(options_.port)},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", drains ? "draining" : "ready"},
                   {"cold_left_ms", 0},
                   {"capacity",
                    {{"cpu", options_.cpu}, {"mem_mb", options_.memory}, {"gpu", options_.gpu}}},
                   {"labels", {"a", options_.rack}},
                   {"born", born_},
                   {"clock_ms", 0},
                   {"sequence", 1}};
        if (drains) {
            entry["remaining_ms"] = drain_ms;
        }
        (void)call(options_.store_port, "POST",
                   "/rig/beat?worker=" + options_.id +
                       "&interval_ms=" + std::to_string(options_.beat_ms),
                   {}, entry.dump(), 1'000);
    }

    void note(const char* what, const std::string& task, std::uint64_t run) const
    {
        if (auto* const file = std::fopen(options_.record.c_str(), "a")) {
            std::fprintf(file, "%lld worker %s %s %s %llu\n", static_cast<long long>(now_ms()),
                         options_.id.c_str(), what, task.c_str(),
                         static_cast<unsigned long long>(run));
            std::fclose(file);
        }
    }

    void end(const std::string& task, const char* how)
    {
        const auto run = tasks_.at(task).run;
        auto& newest = finished_[task];
        newest = std::max(newest, run);
        tasks_.erase(task);
        ends_.push_back({++last_end_, task, run, how});
        note(how, task, run);
        changed_.notify_all();
    }

    void advance()
    {
        std::map<std::string, const char*> over;
        for (const auto& [task, state] : tasks_) {
            if (clock() >= lease_) {
                over[task] = "lapsed";
            } else if (state.stops_ms && now_ms() >= *state.stops_ms) {
                over[task] = "stopped";
            } else if (now_ms() >= state.began_ms + state.work_ms) {
                over[task] = state.fails ? "failed" : "done";
            }
        }
        for (const auto& [task, how] : over) {
            end(task, how);
        }
    }

    [[nodiscard]] response reply(int status, json body) const
    {
        body["clock_ms"] = clock();
        body["born"] = born_;
        return {status, body.dump()};
    }

    void extend_lease(const json& body)
    {
        if (body.contains("deadline_ms")) {
            const auto asked = body.at("deadline_ms").get<std::int64_t>();
            lease_ = std::max(lease_, std::min(asked, clock() + options_.hold_max_ms));
        }
    }

    response answer(const request& asked)
    {
        const auto expected = asked.headers.find("expect-instance");
        if (expected != asked.headers.end() && expected->second != options_.id) {
            return reply(421, {});
        }
        const auto body = json::parse(asked.body, nullptr, false);
        if (!body.is_object()) {
            return reply(400, {});
        }
        if (asked.path == "/rig/late") {
            const std::lock_guard lock{mutex_};
            late_until_ = now_ms() + body.value("for_ms", std::int64_t{0});
            return reply(200, {});
        }
        if (asked.path == "/rig/hang") {
            const std::lock_guard lock{mutex_};
            hang_until_ = now_ms() + body.value("for_ms", std::int64_t{0});
            return reply(200, {});
        }
        if (asked.path == "/rig/drain") {
            drains_ = true;
            beat();
            return reply(200, {});
        }
        if (hangs()) {
            return {};
        }
        if (const auto delay = delay_of_order(asked.path)) {
            std::thread{[this, path = asked.path, body, late_by = *delay] {
                std::this_thread::sleep_for(std::chrono::milliseconds{late_by});
                (void)carry_out(path, body, true);
            }}.detach();
            return {};
        }
        return carry_out(asked.path, body, false);
    }

    /// While it hangs, orders get no answer and nothing is done for them; tasks go on.
    bool hangs()
    {
        const std::lock_guard lock{mutex_};
        return now_ms() < hang_until_;
    }

    /// While orders are left unanswered, every second one of each kind is, and is carried out this
    /// much later.
    std::optional<std::int64_t> delay_of_order(const std::string& path)
    {
        const std::lock_guard lock{mutex_};
        if (now_ms() >= late_until_ || ++orders_[path] % 2 == 0) {
            return std::nullopt;
        }
        constexpr std::int64_t shortest = 2'500;
        constexpr std::int64_t step = 1'300;
        constexpr std::int64_t delays = 8;
        return shortest + step * (orders_[path] / 2 % delays);
    }

    response carry_out(const std::string& path, const json& body, bool late)
    {
        std::unique_lock lock{mutex_};
        advance();
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < token_) {
            return reply(409, {{"reason", "fence"}});
        }
        token_ = token;
        if (path == "/-/run-start") {
            return start(body, late);
        }
        if (path == "/-/run-stop") {
            return stop(body);
        }
        return path == "/-/hold" ? hold(body, lock) : reply(400, {});
    }

    response start(const json& body, bool late)
    {
        const auto task = body.value("task", "");
        const auto run = body.value("run", std::uint64_t{0});
        const auto found = tasks_.find(task);
        if (found != tasks_.end() && found->second.run == run) {
            extend_lease(body);
            return reply(200, {});
        }
        if (body.value("deadline_ms", std::int64_t{0}) <= clock()) {
            return reply(409, {{"reason", "late"}});
        }
        extend_lease(body);
        const auto finished = finished_.find(task);
        if (found != tasks_.end() || (finished != finished_.end() && run <= finished->second)) {
            return reply(409, {{"reason", "old"}});
        }
        const auto spec = json::parse(body.value("spec", ""), nullptr, false);
        const auto work = spec.is_object() ? spec.value("work_ms", std::int64_t{1'000}) : 1'000;
        const bool fails = spec.is_object() && spec.value("fails", false);
        tasks_[task] = {run, now_ms(), work, fails, {}};
        note(late ? "late-start" : "start", task, run);
        return reply(200, {});
    }

    response stop(const json& body)
    {
        const auto task = body.value("task", "");
        const auto run = body.value("run", std::uint64_t{0});
        const auto found = tasks_.find(task);
        if (found == tasks_.end() || found->second.run > run) {
            auto& newest = finished_[task];
            newest = std::max(newest, run);
        } else if (!found->second.stops_ms) {
            found->second.stops_ms = now_ms() + options_.stop_ms;
        }
        return reply(200, {});
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        extend_lease(body);
        const auto acknowledged = body.value("ack_cursor", std::uint64_t{0});
        while (!ends_.empty() && ends_.front().number <= acknowledged) {
            ends_.pop_front();
        }
        const auto wait = std::min(body.value("wait_ms", std::int64_t{0}), std::int64_t{2'000});
        changed_.wait_for(lock, std::chrono::milliseconds{wait}, [this] { return !ends_.empty(); });
        if (now_ms() < hang_until_) {
            return {};
        }
        json running = json::array();
        for (const auto& [task, state] : tasks_) {
            const auto share =
                100 * (now_ms() - state.began_ms) / std::max<std::int64_t>(1, state.work_ms);
            running.push_back({task, state.run, "", std::clamp<std::int64_t>(share, 0, 100), 0});
        }
        json ended = json::array();
        for (const auto& end : ends_) {
            if (ended.size() < 500) {
                ended.push_back({end.number, end.task, end.run, end.how, ""});
            }
        }
        return reply(200, {{"running", running}, {"ended", ended}});
    }

    worker_options options_;
    std::int64_t born_;
    std::int64_t started_ = now_ms();
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, running_task> tasks_;
    std::deque<ended_task> ends_;
    /// The newest run of each task that has ended or was stopped here.
    std::map<std::string, std::uint64_t> finished_;
    std::uint64_t last_end_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::int64_t late_until_ = 0;
    std::int64_t hang_until_ = 0;
    std::atomic<bool> drains_{false};
    std::map<std::string, std::int64_t> orders_;
};

} // namespace

int run_worker(const worker_options& options)
{
    static worker single{options};
    return single.run();
}

} // namespace rig
