#include "bench/load_driver/drive.hpp"

#include "bench/load_driver/answers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>

namespace poplarstile::bench::load_driver
{
namespace
{

using checker::answer;
using checker::wall_us;

constexpr std::size_t ring_capacity = 65'536;
constexpr std::size_t connections_per_vm = 1'024;
constexpr std::size_t max_tries = 3;
/// A caller waits this much longer than its deadline before it gives up on an answer.
constexpr base::milliseconds answer_grace{3'000};
constexpr base::milliseconds job_timeout{5'000};
constexpr base::milliseconds progress_interval{1'000};
constexpr base::milliseconds job_poll_interval{50};
constexpr std::size_t jobs_per_poll = 8;

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

/// One caller's request over all its exchanges.
struct open_exchange {
    const request_call* call = nullptr;
    /// VMs asked so far, this exchange's last.
    std::vector<std::size_t> tried{};
    bool done = false;
};

struct open_job {
    const job_call* call = nullptr;
    std::size_t tries = 0;
    bool polling = false;
    bool ended = false;
};

class run_driver
{
public:
    run_driver(const deployment& target, std::span<const planned_call> plan,
               const drive_options& options, net::http_client& client, message_ring& ring)
        : target_{target}, plan_{plan}, options_{options}, client_{client}, ring_{ring},
          ready_(target.vms.size(), true)
    {
        for (const auto& vm : target.vms) {
            seen_.vms.push_back(vm.id);
        }
        seen_.guarantees = target.guarantees;
    }

    checker::history run(const progress_handler& on_progress)
    {
        start_ = base::now();
        next_job_poll_ = start_;
        auto next_progress = start_ + progress_interval;
        while (!finished()) {
            send_due_calls();
            poll_jobs();
            take_messages();
            if (base::now() >= next_progress) {
                on_progress(progress());
                next_progress += progress_interval;
            }
        }
        on_progress(progress());
        give_up_open_exchanges();
        seen_.observed_until = base::wall_clock_us();
        return std::move(seen_);
    }

private:
    [[nodiscard]] base::microseconds elapsed() const
    {
        return base::now() - start_;
    }

    [[nodiscard]] bool finished() const
    {
        if (next_call_ < plan_.size() || elapsed() < options_.length) {
            return false;
        }
        const bool nothing_open = in_flight_ == 0 && jobs_ended_ == jobs_.size();
        return nothing_open || elapsed() >= options_.length + options_.settle;
    }

    [[nodiscard]] drive_progress progress() const
    {
        return {.elapsed = std::chrono::duration_cast<base::milliseconds>(elapsed()),
                .sent = sent_,
                .completed = completed_,
                .in_flight = in_flight_,
                .jobs_open = jobs_.size() - jobs_ended_,
                .jobs_ended = jobs_ended_,
                .vms_ready = static_cast<std::size_t>(std::ranges::count(ready_, true))};
    }

    /// The next VM in turn that was ready when last seen and is not among `tried`; when there is
    /// none such, the next one in turn.
    std::size_t next_vm(std::span<const std::size_t> tried)
    {
        for (std::size_t step = 1; step <= ready_.size(); ++step) {
            const auto vm = (last_vm_ + step) % ready_.size();
            if (ready_[vm] && std::ranges::find(tried, vm) == tried.end()) {
                last_vm_ = vm;
                return vm;
            }
        }
        last_vm_ = (last_vm_ + 1) % ready_.size();
        return last_vm_;
    }

    void send_due_calls()
    {
        while (next_call_ < plan_.size() && plan_[next_call_].at <= elapsed()) {
            const auto& call = plan_[next_call_].call;
            ++next_call_;
            std::visit(overloaded{[this](const request_call& each) { send_request(each, {}); },
                                  [this](const job_call& each) { open_new_job(each); },
                                  [this](const cancel_call& each) { cancel_jobs(each); }},
                       call);
        }
    }

    void send_request(const request_call& call, std::vector<std::size_t> tried)
    {
        const auto vm = next_vm(tried);
        sent_ += tried.empty() ? 1 : 0;
        tried.push_back(vm);
        const auto exchange = exchanges_.size();
        const auto request = fmt::format("{}-{}", call.marker, exchange);
        exchanges_.push_back({.call = &call, .tried = std::move(tried)});
        seen_.requests.push_back({.request = request,
                                  .marker = call.marker,
                                  .service = call.work_class,
                                  .vm = target_.vms[vm].id,
                                  .idempotent = call.idempotent,
                                  .urgent = call.urgent,
                                  .sent = base::wall_clock_us()});
        ++in_flight_;
        net::http_call out{.method = "POST",
                           .url = fmt::format("http://{}/v1/requests/{}",
                                              target_.vms[vm].caller_address, call.work_class),
                           .headers = {{"X-Workspace", call.workspace},
                                       {"X-Request-Id", request},
                                       {"X-Deadline-Ms", fmt::format("{}", call.deadline.count())},
                                       {"Content-Type", "application/json"}},
                           .body = call.body,
                           .timeout = call.deadline + answer_grace};
        if (!call.key.empty()) {
            out.headers.push_back({"Idempotency-Key", call.key});
        }
        client_.send(std::move(out), [&ring = ring_, exchange](net::http_reply reply) {
            ring.push(request_done{exchange, std::move(reply), base::wall_clock_us()});
        });
    }

    void handle(request_done& done)
    {
        auto& exchange = exchanges_[done.exchange];
        auto& note = seen_.requests[done.exchange];
        const auto given = read_request_answer(done.reply);
        --in_flight_;
        exchange.done = true;
        note.answered = done.at;
        note.told = given.told;
        note.answered_marker = given.marker;
        note.detail =
            given.code == 0 ? given.detail : fmt::format("{} {}", given.code, given.detail);
        completed_ += given.told == answer::completed ? 1 : 0;
        if (done.reply.outcome == net::delivery::not_sent) {
            ready_[exchange.tried.back()] = false;
        }
        if (exchange.tried.size() < max_tries && may_fail_over(done.reply, given)) {
            note.superseded = true;
            send_request(*exchange.call, exchange.tried);
        }
    }

    void open_new_job(const job_call& call)
    {
        jobs_.push_back({.call = &call});
        seen_.jobs.push_back({.job_class = call.work_class,
                              .workspace = call.workspace,
                              .members = call.members,
                              .accelerators = call.accelerators,
                              .idempotent = call.idempotent,
                              .urgent = call.urgent,
                              .submitted = base::wall_clock_us()});
        submit_job(jobs_.size() - 1);
    }

    /// Safe to repeat on any VM: the same key and body name the same job.
    void submit_job(std::size_t job)
    {
        auto& entry = jobs_[job];
        ++entry.tries;
        entry.polling = true;
        send_job_call(job, true,
                      {.method = "POST",
                       .url = job_url(""),
                       .headers = {{"X-Workspace", entry.call->workspace},
                                   {"Idempotency-Key", entry.call->key},
                                   {"Content-Type", "application/json"}},
                       .body = entry.call->body,
                       .timeout = job_timeout});
    }

    std::string job_url(std::string_view job)
    {
        const auto& vm = target_.vms[next_vm({})];
        return job.empty() ? fmt::format("http://{}/v1/jobs", vm.caller_address)
                           : fmt::format("http://{}/v1/jobs/{}", vm.caller_address, job);
    }

    void send_job_call(std::size_t job, bool submission, net::http_call out)
    {
        ++job_calls_in_flight_;
        client_.send(std::move(out), [&ring = ring_, job, submission](net::http_reply reply) {
            ring.push(job_answered{job, submission, std::move(reply)});
        });
    }

    void handle(job_answered& answered)
    {
        auto& entry = jobs_[answered.job];
        auto& note = seen_.jobs[answered.job];
        const auto read = read_job_answer(answered.reply);
        --job_calls_in_flight_;
        entry.polling = false;
        if (!read.job.empty()) {
            note.job = read.job;
        }
        if (!read.domain.empty()) {
            note.domain = read.domain;
        }
        if (!read.state.empty()) {
            note.state = read.state;
        }
        if (answered.submission && read.rejected) {
            note.state = "rejected";
            note.submission_rejected = true;
        }
        const bool given_up = note.job.empty() && note.state.empty() && entry.tries >= max_tries;
        if (!entry.ended && (is_final_state(note.state) || given_up)) {
            entry.ended = true;
            ++jobs_ended_;
            return;
        }
        if (!entry.ended && answered.submission && note.job.empty()) {
            submit_job(answered.job);
        }
    }

    void cancel_jobs(const cancel_call& call)
    {
        std::vector<std::size_t> open;
        for (std::size_t job = 0; job < jobs_.size(); ++job) {
            const bool known = !seen_.jobs[job].job.empty() && !jobs_[job].ended;
            if (known && jobs_[job].call->stream == call.stream) {
                open.push_back(job);
            }
        }
        const auto count =
            static_cast<std::size_t>(std::llround(static_cast<double>(open.size()) * call.share));
        open.resize(std::min(count, open.size()));
        for (const auto job : open) {
            seen_.jobs[job].cancelled = true;
            send_job_call(
                job, false,
                {.method = "DELETE", .url = job_url(seen_.jobs[job].job), .timeout = job_timeout});
        }
    }

    void poll_jobs()
    {
        if (base::now() < next_job_poll_) {
            return;
        }
        next_job_poll_ = base::now() + job_poll_interval;
        std::size_t asked = 0;
        for (std::size_t step = 0; step < jobs_.size() && asked < jobs_per_poll; ++step) {
            last_polled_ = (last_polled_ + 1) % jobs_.size();
            auto& entry = jobs_[last_polled_];
            if (entry.ended || entry.polling || seen_.jobs[last_polled_].job.empty()) {
                continue;
            }
            entry.polling = true;
            ++asked;
            send_job_call(last_polled_, false,
                          {.url = job_url(seen_.jobs[last_polled_].job), .timeout = job_timeout});
        }
    }

    void handle(const vm_seen& seen)
    {
        ready_[seen.vm] = seen.ready;
        if (seen.rules_version != 0) {
            seen_.rules.push_back({seen.at, target_.vms[seen.vm].id, seen.rules_version});
        }
    }

    void handle(const rule_accepted& accepted)
    {
        seen_.change = accepted.change;
    }

    void take_messages()
    {
        auto until = base::now() + base::milliseconds{5};
        if (next_call_ < plan_.size()) {
            until = std::min(until, start_ + plan_[next_call_].at);
        }
        while (auto taken = ring_.pop_until(until)) {
            std::visit([this](auto& each) { handle(each); }, *taken);
            until = std::min(until, base::now());
        }
    }

    void give_up_open_exchanges()
    {
        for (std::size_t index = 0; index < exchanges_.size(); ++index) {
            if (!exchanges_[index].done) {
                seen_.requests[index].detail = "still open when the run ended";
            }
        }
    }

    const deployment& target_;
    std::span<const planned_call> plan_;
    const drive_options& options_;
    net::http_client& client_;
    message_ring& ring_;
    checker::history seen_{};
    base::time_point start_{};
    base::time_point next_job_poll_{};
    std::size_t next_call_ = 0;
    std::vector<open_exchange> exchanges_{};
    std::vector<open_job> jobs_{};
    std::vector<bool> ready_;
    std::size_t last_vm_ = 0;
    std::size_t last_polled_ = 0;
    std::size_t sent_ = 0;
    std::size_t completed_ = 0;
    std::size_t in_flight_ = 0;
    std::size_t job_calls_in_flight_ = 0;
    std::size_t jobs_ended_ = 0;
};

} // namespace

base::result<checker::history> drive(const deployment& target, std::span<const planned_call> plan,
                                     const drive_options& options,
                                     const progress_handler& on_progress)
{
    // The ring outlives the clients: their destructors still hand over every open call.
    message_ring ring{ring_capacity};
    BOOST_OUTCOME_TRY(client,
                      net::http_client::start({.max_connections_per_target = connections_per_vm}));
    BOOST_OUTCOME_TRY(observer_client, net::http_client::start({}));
    std::jthread observer{[&](const std::stop_token& stop) {
        observe(target, options.observer, *observer_client, ring, stop);
    }};
    auto seen = run_driver{target, plan, options, *client, ring}.run(on_progress);
    ring.close();
    observer.request_stop();
    return seen;
}

} // namespace poplarstile::bench::load_driver
