#include "dispatch/dispatcher.hpp"
#include "rules/rules_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

#include <functional>
#include <map>
#include <random>
#include <set>

namespace poplarstile::dispatch
{
namespace
{

using base::milliseconds;
using base::time_point;
using workers::execute_answer;
using workers::execute_state;

constexpr std::string_view rules_text = R"(# asked by: tests
class chart
# asked by: tests
class preview urgent within 500ms hedge after 50ms
# asked by: tests
class sheet not_idempotent
# asked by: tests
workspace kits share 1
)";
constexpr milliseconds tick{20};
constexpr milliseconds load_time{1'500};
constexpr milliseconds longest_deadline{6'000};
constexpr milliseconds settle_time{70'000};
constexpr int vms = 2;
constexpr int workers_in_all = 3;
constexpr std::uint32_t slots = 2;

/// Two dispatchers, a table and workers that keep docs/ASSUMPTIONS.md, with every message subject
/// to loss, delay, duplication and thereby reordering. All of it follows from one seed.
class world
{
public:
    explicit world(std::uint64_t seed)
        : random_{seed}, fault_share_{0.3 * share()}, slow_share_{0.2 * share()}
    {
        auto parsed = rules::parse_rules(rules_text);
        auto rules = std::make_shared<rules::ruleset>(std::move(parsed).value());
        std::vector<routing::worker_description> described;
        described.reserve(workers_in_all);
        for (int index = 0; index < workers_in_all; ++index) {
            described.push_back({fmt::format("w{}", index), std::to_string(index), slots});
        }
        for (int vm = 0; vm < vms; ++vm) {
            vms_.push_back(std::make_unique<dispatcher>(
                dispatcher_options{.vm = fmt::format("vm{}", vm), .run_id = "r", .seed = seed},
                described));
            deliver(vm, rules_changed{rules});
        }
    }

    void run()
    {
        schedule_load();
        schedule_outages();
        for (auto at = milliseconds{0}; at < load_time + settle_time; at += tick) {
            for (int vm = 0; vm < vms; ++vm) {
                later(at, [this, vm] { deliver(vm, time_passed{}); });
            }
        }
        while (!agenda_.empty()) {
            auto next = agenda_.extract(agenda_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }

    struct asked {
        int vm = 0;
        bool idempotent = true;
        std::string body{};
        time_point deadline{};
        std::vector<caller_answer> answers{};
        time_point answered{};
    };
    struct run_record {
        std::string request{};
        std::string body{};
    };

    std::map<std::string, asked> requests{};
    std::vector<run_record> runs{};
    [[nodiscard]] const std::vector<std::unique_ptr<dispatcher>>& dispatchers() const
    {
        return vms_;
    }

private:
    struct attempt {
        std::string request{};
        std::string body{};
        execute_state state = execute_state::running;
    };
    struct worker {
        std::map<std::string, attempt> attempts{};
        std::uint32_t busy = 0;
        bool dead = false;
    };
    struct row {
        table::row_version version = 0;
        nlohmann::json value{};
    };

    double share()
    {
        return std::uniform_real_distribution<double>{0, 1}(random_);
    }
    bool happens(double probability)
    {
        return share() < probability;
    }
    milliseconds between(int least, int most)
    {
        return milliseconds{std::uniform_int_distribution<int>{least, most}(random_)};
    }
    milliseconds transit()
    {
        return happens(slow_share_) ? between(100, 3'000) : between(0, 5);
    }
    void later(milliseconds delay, std::function<void()> what)
    {
        agenda_.emplace(now_ + delay, std::move(what));
    }

    void schedule_load()
    {
        for (int index = 0; index < 40; ++index) {
            const auto kind = std::uniform_int_distribution<int>{0, 2}(random_);
            const auto service = std::vector<std::string>{"chart", "preview", "sheet"}.at(kind);
            const auto key = std::uniform_int_distribution<int>{0, 5}(random_);
            const auto vm = std::uniform_int_distribution<int>{0, vms - 1}(random_);
            const auto id = fmt::format("q{}", index);
            const auto body =
                service == "sheet" ? fmt::format("\"key{}\"", key) : fmt::format("\"{}\"", id);
            const auto deadline = between(30, static_cast<int>(longest_deadline.count()));
            later(between(0, static_cast<int>(load_time.count())), [=, this] {
                requests[id] = {vm, service != "sheet", body, now_ + deadline};
                numbers_[{vm, static_cast<request_number>(index)}] = id;
                deliver(vm, request_received{{static_cast<request_number>(index), id, "kits",
                                              service, fmt::format("key{}", key), body, deadline}});
            });
        }
    }

    void schedule_outages()
    {
        if (happens(0.5)) {
            later(between(0, 1'000), [this] { table_down_ = true; });
            later(between(1'000, 3'000), [this] { table_down_ = false; });
        }
        if (happens(0.5)) {
            const auto victim = static_cast<std::size_t>(between(0, workers_in_all - 1).count());
            later(between(0, 1'000), [this, victim] { die(workers_.at(victim)); });
            later(between(1'000, 3'000), [this, victim] { workers_.at(victim).dead = false; });
        }
    }

    /// What ran ends without an answer; ids outlive the death.
    void die(worker& dying)
    {
        dying.dead = true;
        dying.busy = 0;
        for (auto& [id, each] : dying.attempts) {
            if (each.state == execute_state::running) {
                each.state = execute_state::failed;
            }
        }
    }

    void deliver(int vm, const event& happened)
    {
        for (auto& action : vms_.at(static_cast<std::size_t>(vm))->decide(happened, now_)) {
            std::visit([this, vm](auto& one) { carry_out(vm, one); }, action);
        }
    }

    /// An answer on its way back: lost after `timeout`, late, or twice.
    void reply(int vm, request_number number, const std::string& id, execute_answer answer,
               milliseconds timeout, time_point sent, bool is_word)
    {
        const auto back = transit();
        const auto timed_out = sent + timeout;
        const bool arrives = !happens(fault_share_) && now_ + back < timed_out;
        if (!arrives) {
            answer = {.state = execute_state::lost};
        }
        const auto at = arrives ? now_ + back : std::max(timed_out, now_);
        const int times = happens(fault_share_) ? 2 : 1;
        for (int time = 0; time < times; ++time) {
            agenda_.emplace(at + milliseconds{time * 7}, [this, vm, number, id, answer, is_word] {
                deliver(vm, attempt_reported{number, id, answer, is_word});
            });
        }
    }

    void lose(int vm, request_number number, const std::string& id, milliseconds timeout,
              bool is_word)
    {
        later(timeout, [this, vm, number, id, is_word] {
            deliver(vm, attempt_reported{number, id, {.state = execute_state::lost}, is_word});
        });
    }

    template <class Handle>
    void to_worker(int vm, request_number number, const std::string& address, const std::string& id,
                   milliseconds timeout, bool is_word, Handle handle)
    {
        if (timeout.count() <= 0) {
            ADD_FAILURE() << "a call without time for its answer";
        }
        auto& target = workers_.at(static_cast<std::size_t>(std::stoi(address)));
        if (happens(fault_share_)) {
            const execute_answer unsent{.state = execute_state::not_sent};
            later(between(0, 3), [=, this] {
                deliver(vm, attempt_reported{number, id, unsent, is_word});
            });
            return;
        }
        if (happens(fault_share_)) {
            lose(vm, number, id, timeout, is_word);
            return;
        }
        const auto sent = now_;
        later(transit(), [=, this, &target] {
            if (target.dead) {
                const auto gone = std::chrono::duration_cast<milliseconds>(now_ - sent);
                lose(vm, number, id, std::max(timeout - gone, milliseconds{0}), is_word);
                return;
            }
            handle(target, sent);
        });
    }

    void carry_out(int vm, send_execute& action)
    {
        const auto call = action.call;
        const auto number = action.number;
        to_worker(
            vm, number, action.address, call.attempt, call.deadline, false,
            [=, this](worker& target, time_point sent) { start(vm, number, target, call, sent); });
    }

    void start(int vm, request_number number, worker& target, const workers::execute_call& call,
               time_point sent)
    {
        const auto known = target.attempts.find(call.attempt);
        execute_answer answer{.request = call.request, .attempt = call.attempt};
        if (known != target.attempts.end()) {
            answer.state = known->second.state == execute_state::fenced ? execute_state::fenced
                                                                        : execute_state::lost;
            reply(vm, number, call.attempt, answer, call.deadline, sent, false);
            return;
        }
        if (target.busy >= slots) {
            answer.state = execute_state::refused;
            reply(vm, number, call.attempt, answer, call.deadline, sent, false);
            return;
        }
        ++target.busy;
        target.attempts[call.attempt] = {call.request, call.body};
        runs.push_back({call.request, call.body});
        const bool fails = happens(0.1);
        later(between(1, 60), [=, this, &target] {
            auto& running = target.attempts.at(call.attempt);
            if (running.state != execute_state::running) {
                return;
            }
            --target.busy;
            running.state = fails ? execute_state::failed : execute_state::completed;
            auto done = answer;
            done.state = running.state;
            done.body = call.body;
            reply(vm, number, call.attempt, done, call.deadline, sent, false);
        });
    }

    execute_answer word_on(worker& target, const std::string& id)
    {
        const auto found = target.attempts.find(id);
        if (found == target.attempts.end()) {
            return {.state = execute_state::never_seen, .attempt = id};
        }
        const auto& known = found->second;
        return {.state = known.state, .request = known.request, .attempt = id, .body = known.body};
    }

    void carry_out(int vm, send_query& action)
    {
        to_worker(vm, action.number, action.address, action.attempt, action.timeout, true,
                  [=, this](worker& target, time_point sent) {
                      reply(vm, action.number, action.attempt, word_on(target, action.attempt),
                            action.timeout, sent, true);
                  });
    }

    void carry_out(int vm, send_fence& action)
    {
        to_worker(vm, action.number, action.address, action.attempt, action.timeout, true,
                  [=, this](worker& target, time_point sent) {
                      target.attempts.try_emplace(action.attempt,
                                                  attempt{.state = execute_state::fenced});
                      reply(vm, action.number, action.attempt, word_on(target, action.attempt),
                            action.timeout, sent, true);
                  });
    }

    void carry_out(int vm, write_ledger& action)
    {
        using table::commit_state;
        const auto number = action.number;
        const auto answer = [=, this](const table::commit_result& result, milliseconds delay) {
            later(delay, [=, this] { deliver(vm, ledger_written{number, result}); });
        };
        if (table_down_ && happens(0.5)) {
            answer({.state = commit_state::not_applied}, transit());
            return;
        }
        const auto arrives = transit();
        const bool lost = table_down_ || happens(fault_share_);
        if (lost) {
            answer({.state = commit_state::unknown}, between(50, 700));
            if (table_down_ || happens(0.5)) {
                return;
            }
        }
        later(arrives, [=, this, transaction = action.transaction] {
            auto result = apply(transaction);
            if (!lost) {
                answer(result, transit());
            }
        });
    }

    table::commit_result apply(const table::table_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            const auto found = table_.find(condition.key);
            const auto version = found == table_.end() ? 0 : found->second.version;
            if (version != condition.version) {
                return {.state = table::commit_state::conflict};
            }
        }
        const auto version = next_version_++;
        for (const auto& write : transaction.writes) {
            table_[write.key] = {version, write.value};
        }
        return {.state = table::commit_state::committed, .version = version};
    }

    void carry_out(int vm, read_ledger& action)
    {
        const auto number = action.number;
        if (table_down_ || happens(fault_share_)) {
            const base::result<std::optional<table::table_row>> unread =
                base::error{base::error_code::platform_unreachable};
            later(between(10, 500), [=, this] { deliver(vm, ledger_read{number, unread}); });
            return;
        }
        later(transit(), [=, this, key = action.key] {
            std::optional<table::table_row> read;
            const auto found = table_.find(key);
            if (found != table_.end()) {
                read = table::table_row{key, found->second.version, found->second.value};
            }
            later(transit(), [=, this] { deliver(vm, ledger_read{number, read}); });
        });
    }

    void carry_out(int vm, give_answer& action)
    {
        auto& request = requests.at(numbers_.at({vm, action.answer.number}));
        request.answers.push_back(action.answer);
        request.answered = now_;
    }

    void carry_out(int /*vm*/, note_event& /*action*/) {}

    std::mt19937_64 random_;
    double fault_share_;
    double slow_share_;
    time_point now_{};
    std::multimap<time_point, std::function<void()>> agenda_;
    std::vector<std::unique_ptr<dispatcher>> vms_;
    std::vector<worker> workers_{workers_in_all};
    std::map<std::string, row> table_;
    table::row_version next_version_ = 1;
    bool table_down_ = false;
    std::map<std::pair<int, request_number>, std::string> numbers_;
};

std::size_t runs_of_request(const world& seen, const std::string& request)
{
    return static_cast<std::size_t>(
        std::ranges::count(seen.runs, request, &world::run_record::request));
}

void expect_promises_kept(const world& seen)
{
    for (const auto& [id, request] : seen.requests) {
        RC_ASSERT(request.answers.size() == 1U);
        RC_ASSERT(request.answered <= request.deadline + tick);
        const auto& answer = request.answers.front();
        if (answer.result == outcome::not_run || answer.result == outcome::rejected) {
            RC_ASSERT(runs_of_request(seen, id) == 0U);
        }
        if (answer.result == outcome::completed) {
            RC_ASSERT(answer.body == request.body);
        }
        if (!request.idempotent) {
            const auto runs = std::ranges::count(seen.runs, request.body, &world::run_record::body);
            RC_ASSERT(runs <= 1);
        }
    }
    for (const auto& vm : seen.dispatchers()) {
        RC_ASSERT(vm->counters().in_flight == 0U);
        RC_ASSERT(vm->counters().queued == 0U);
        RC_ASSERT(vm->counters().unconfirmed_records == 0U);
        for (std::size_t worker = 0; worker < workers_in_all; ++worker) {
            RC_ASSERT(vm->workers().in_flight(worker) == 0U);
        }
    }
}

/// Several worlds for each case: some faults need a rare meeting of events.
RC_GTEST_PROP(DispatcherModel, KeepsItsPromisesUnderEveryFault, (std::uint64_t seed))
{
    constexpr std::uint64_t worlds_of_case = 10;
    for (std::uint64_t index = 0; index < worlds_of_case; ++index) {
        world seen{seed + index};
        seen.run();
        expect_promises_kept(seen);
    }
}

} // namespace
} // namespace poplarstile::dispatch
