#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <tuple>
#include <vector>

/// A small deployment on loopback: the platform's store, workers, and the entry VMs as processes.
namespace review
{

using json = nlohmann::json;

[[nodiscard]] std::int64_t steady_ms();

/// Writes `record.txt`: what was sent, answered and run, with milliseconds since the start.
class record_file
{
public:
    explicit record_file(const std::string& path);
    void write(const std::string& line);
    [[nodiscard]] std::int64_t now_ms() const;

private:
    std::mutex lock_{};
    std::ofstream file_;
    std::int64_t began_ = steady_ms();
};

/// The row store as PROTOCOL.md describes it. Answers in 4 ms; a transaction takes 5 ms.
class store
{
public:
    /// What happens to a transaction.
    struct fate {
        /// No answer.
        bool unanswered = false;
        /// Carried out so much later, if its condition still holds; less than 0: not at all.
        int late_ms = 0;
    };

    explicit store(record_file& record);

    [[nodiscard]] int port() const
    {
        return server_.port();
    }
    void put(const std::string& table, const std::string& part, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& part, const std::string& key);
    /// The VM that holds the lease of the first part; empty for none.
    [[nodiscard]] std::string lease_holder();

    /// A port of its own for one VM, through which some parts can be away.
    [[nodiscard]] int view_of(const std::string& vm);
    /// Calls of the VM that touch these parts are answered with 503.
    void cut(const std::string& vm, std::set<std::string> parts);
    /// The part that holds a job's row; empty for none.
    [[nodiscard]] std::string part_of(const std::string& job);
    /// Names the port at which a VM with a view reaches a worker.
    void
    set_worker_ports(std::function<int(const std::string& vm, const std::string& worker)> port);

    /// Decides what happens to a transaction; it serves them all where this is empty.
    void set_fate(std::function<fate(const json& transaction)> decide);

private:
    using row_id = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value{};
        std::uint64_t version = 0;
    };
    struct change {
        row_id id{};
        row now{};
        bool removed = false;
    };

    response handle(const request& asked);
    response handle_view(const std::string& vm, const request& asked);
    [[nodiscard]] response with_worker_ports(const std::string& vm, const response& made) const;
    response transact(const json& transaction);
    response get(const request& asked);
    response feed(const request& asked);
    void apply(const json& transaction);
    [[nodiscard]] json encode(const row_id& id, const row& stored) const;
    [[nodiscard]] std::uint64_t version_of(const row_id& id) const;

    record_file& record_;
    std::mutex lock_{};
    std::condition_variable changed_{};
    std::map<row_id, row> rows_{};
    std::vector<change> changes_{};
    std::uint64_t version_ = 0;
    std::int64_t began_ = steady_ms();
    std::function<fate(const json&)> decide_{};
    std::map<std::string, std::set<std::string>> unreachable_{};
    std::function<int(const std::string&, const std::string&)> worker_port_{};
    std::map<std::string, std::unique_ptr<server>> views_{};
    server server_;
};

struct capacity {
    std::int64_t cpu = 32'000;
    std::int64_t memory_mb = 65'536;
    std::int64_t accelerators = 8;
};

/// How the tasks of a job behave at the workers.
struct job_model {
    capacity need{};
    /// Members of a gang work only together; 0 for single tasks.
    unsigned gang = 0;
    /// How long a run works, by the task's index and the time of its start.
    std::function<std::int64_t(unsigned index, std::int64_t started_ms)> work_ms{};
};

/// All workers of the site.
class fleet
{
public:
    fleet(record_file& record, store& rows);

    void add(const std::string& id, const std::string& rack, capacity size);
    void expect(const std::string& job, job_model model);

    /// The process is killed: all that runs there is gone.
    void crash(const std::string& id);
    /// It starts again under its id.
    void come_back(const std::string& id);
    /// A port of its own for one VM, which can be silent.
    [[nodiscard]] int view_of(const std::string& vm, const std::string& id);
    void cut_from_vms(const std::string& id, std::set<std::string> vms);

    /// Rules that were broken so far.
    [[nodiscard]] std::vector<std::string> broken();
    /// Starts that were carried out of a job's tasks, and ends by their word.
    [[nodiscard]] int starts_of(const std::string& job);
    [[nodiscard]] int ends_of(const std::string& job, const std::string& how);
    /// When the newest task of a job was started, in milliseconds of the record; -1 for never.
    [[nodiscard]] std::int64_t last_start_of(const std::string& job);
    /// The worker that runs a task; empty for none.
    [[nodiscard]] std::string worker_of(const std::string& task);
    [[nodiscard]] int running_of(const std::string& job);
    /// How many workers have crashed under a task, for the task with the most.
    [[nodiscard]] int most_crashes_of_a_task();

private:
    struct run_state {
        std::uint64_t run = 0;
        std::int64_t started_ms = 0;
        std::int64_t ends_ms = 0;
        bool working = true;
    };
    struct end {
        std::uint64_t number = 0;
        std::string task{};
        std::uint64_t run = 0;
        std::string how{};
    };
    struct worker {
        std::string id{};
        std::string rack{};
        capacity size{};
        std::unique_ptr<server> port{};
        std::map<std::string, std::unique_ptr<server>> views{};
        std::set<std::string> silent_to{};
        bool up = true;
        std::uint64_t born = 0;
        std::int64_t born_steady = 0;
        std::uint64_t sequence = 0;
        std::uint64_t token = 0;
        std::int64_t lease_until = 0;
        std::map<std::string, run_state> tasks{};
        std::map<std::string, std::uint64_t> forbidden{};
        std::vector<end> ended{};
        std::uint64_t last_end = 0;
        std::int64_t next_beat_ms = 0;
        std::int64_t last_beat_ms = 0;
        bool registered = false;
    };

    response handle(const std::string& id, const request& asked);
    response start(worker& at, const json& body);
    response stop(worker& at, const json& body);
    response hold(const std::string& id, const json& body, std::unique_lock<std::mutex>& held);
    void extend(worker& at, std::int64_t until) const;
    [[nodiscard]] json clock(const worker& at) const;
    [[nodiscard]] std::int64_t clock_ms(const worker& at) const;
    [[nodiscard]] response refuse(const worker& at, const std::string& reason) const;
    void finish(worker& at, const std::string& task, const std::string& how);
    void judge_start(const worker& at, const std::string& task, std::uint64_t run);
    void acknowledge(worker& at, std::uint64_t number);
    void sweep();
    void settle_gangs();
    void beat(worker& at);
    [[nodiscard]] const job_model* model_of(const std::string& task) const;

    record_file& record_;
    store& rows_;
    std::mutex lock_{};
    std::condition_variable ended_{};
    std::map<std::string, worker> workers_{};
    std::map<std::string, job_model> models_{};
    /// Tasks whose end as done was acknowledged, or was listed and will be.
    std::set<std::string> known_done_{};
    /// Tasks that ended as done, by worker and number of the end, and that were started since.
    std::map<std::string, std::string> done_at_{};
    std::set<std::string> started_after_done_{};
    std::map<std::string, int> starts_{};
    std::map<std::string, int> crashes_{};
    std::map<std::string, std::int64_t> last_start_{};
    std::map<std::pair<std::string, std::string>, int> ends_{};
    std::vector<std::string> broken_{};
};

/// The entry VMs: `target/bin/poplarstiled --settings=FILE`, one process each.
class entry_vms
{
public:
    /// With `split` the VMs reach each other through proxies and the store by views of their own.
    entry_vms(record_file& record, store& rows, std::string program, std::string folder, int count,
              bool split);
    ~entry_vms();
    entry_vms(const entry_vms&) = delete;
    entry_vms& operator=(const entry_vms&) = delete;

    void start(const std::string& vm);
    void kill(const std::string& vm);
    [[nodiscard]] std::vector<std::string> names() const;
    /// The port for clients.
    [[nodiscard]] int front(const std::string& vm) const;
    [[nodiscard]] bool ready(const std::string& vm) const;
    /// Nothing passes between this VM and the others; empty heals the cut.
    void cut_off(const std::string& vm);

private:
    struct vm {
        std::string settings{};
        int callers = 0;
        int readiness = 0;
        pid_t process = -1;
        int peers = 0;
    };

    void accept_peers(const std::string& to, int listener, int peers);
    void pass_on(const std::string& to, int client, int peers);
    /// The VM whose process has this local port; empty for none.
    [[nodiscard]] std::string owner_of(int port);
    [[nodiscard]] bool parted(const std::string& one, const std::string& other);

    record_file& record_;
    std::mutex lock_{};
    std::string cut_off_{};
    std::string program_;
    std::string folder_;
    std::map<std::string, vm> vms_{};
};

} // namespace review
