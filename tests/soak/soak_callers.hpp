#pragma once

#include "soak/soak_site.hpp"
#include "standins/site_standin/job_script.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace poplarstile::soak
{

using standins::site_standin::job_script;

/// What a caller knows of one job.
struct job_note {
    job_script script{};
    std::string prefix{};
    std::chrono::steady_clock::time_point accepted_at{};
    /// Its end was not stored before this time.
    std::chrono::steady_clock::time_point open_at{};
    /// An attempt to hand it in was answered with success.
    bool accepted = false;
    /// Every attempt so far was refused.
    bool refused = false;
    /// A cancel was sent; the job may end either way.
    bool cancelled = false;
    /// The last final state that was shown; empty before.
    std::string final_state{};
    std::chrono::steady_clock::time_point final_at{};

    [[nodiscard]] bool can_be_done() const;
    /// A task of it crashes its workers.
    [[nodiscard]] bool is_deadly() const;
    [[nodiscard]] std::uint64_t tasks() const;
    /// Whether the retention may be over, counted from the earliest moment at which it may have
    /// ended.
    [[nodiscard]] bool may_be_removed(std::chrono::seconds retention) const;
};

/// What the jobs are like.
enum class job_mix : std::uint8_t {
    /// All kinds; few are cancelled.
    usual,
    /// They fill the workers nearly whole, and many are cancelled while they run.
    crowded,
    /// Tasks and gangs of seconds, so that many meet crashes; once the faults are over, less than
    /// half of the workers' capacity.
    sparse,
};

struct crowd_options {
    std::size_t callers = 8;
    std::size_t most_deadly_jobs = 0;
    /// Some runs take as long as a worker drains.
    bool long_runs = false;
    job_mix mix = job_mix::usual;
};

/// Callers that hand jobs in, ask for their states and cancel some, each on its own thread.
class caller_crowd
{
public:
    caller_crowd(soak_site& site, std::uint64_t seed, const crowd_options& options);
    /// Ends the callers.
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// The faults are over.
    void calm_down()
    {
        calm_ = true;
    }

    /// Lets each caller finish what it is at.
    void stop();

    /// By job id; to be read after `stop`.
    [[nodiscard]] const std::map<std::string, job_note>& notes() const
    {
        return notes_;
    }
    [[nodiscard]] std::vector<std::string> violations();
    /// Jobs that have to be done: accepted, possible, not shown as failed, and nobody wished
    /// otherwise.
    [[nodiscard]] std::map<std::string, job_script> owed_scripts();

    /// Asks `vm` for the job's state and holds it against what was shown before. The state, or the
    /// status code where there is none.
    std::string ask_state(const std::string& vm, const std::string& job);

    /// Notes that the job's end was not stored before `time`.
    void note_open(const std::string& job, std::chrono::steady_clock::time_point time);

private:
    struct attempt_outcome {
        bool accepted = false;
        bool refused = false;
    };

    void work(std::uint64_t seed);
    void live_one_job(std::mt19937_64& random, std::mt19937_64& crashes, std::mt19937_64& lengths);
    void make_long(std::mt19937_64& random, job_note& job) const;
    void make_deadly(std::mt19937_64& random, job_note& job);
    /// True where it was cancelled.
    bool cancel_in_time(std::mt19937_64& random, const std::string& job);
    void pause_between_jobs(std::mt19937_64& random) const;
    void ask_for_earlier_job(std::mt19937_64& random);
    [[nodiscard]] job_note make_job(std::mt19937_64& random);
    [[nodiscard]] attempt_outcome hand_in(std::mt19937_64& random, const job_note& job);
    void cancel(const std::string& vm, const std::string& job);
    void note(const std::string& violation);
    [[nodiscard]] std::string path_of(const std::string& job);
    [[nodiscard]] const std::string& any_vm(std::mt19937_64& random) const;

    soak_site& site_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> calm_ = false;
    std::atomic<std::uint64_t> next_job_ = 1;
    std::uint64_t seed_;
    bool long_runs_;
    job_mix mix_;
    std::atomic<std::size_t> deadly_jobs_left_;
    std::mutex mutex_;
    std::map<std::string, job_note> notes_;
    std::vector<std::string> violations_;
    std::vector<std::thread> threads_;
};

} // namespace poplarstile::soak
