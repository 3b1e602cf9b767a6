#pragma once

#include "base/result.hpp"
#include "net/http_server.hpp"
#include "standins/site_standin/drain_judge.hpp"
#include "standins/site_standin/site_config.hpp"
#include "standins/site_standin/site_judge.hpp"
#include "support/fake_store.hpp"
#include "support/fake_workers.hpp"
#include "support/virtual_time.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplarstile::standins::site_standin
{

/// Failed runs of a task after which it must not be started any more, as in the configuration.
constexpr std::uint32_t max_attempts = 3;
constexpr base::milliseconds default_drain_time{3'000};

/// The store and the workers of a site behind real ports: the stand-ins of the unit tests, driven
/// by the wall clock. All calls come from the thread that runs the host.
class site_host
{
public:
    /// Listens on every port of the settings. Error: `listen_failed`.
    [[nodiscard]] static base::result<std::unique_ptr<site_host>> start(const site_config& config);

    site_host(const site_host&) = delete;
    site_host& operator=(const site_host&) = delete;

    /// Serves until `stop`, which may be called from any thread.
    void run();
    void stop();

    // Faults, see docs/STANDINS.md.
    /// `vm` may be `*`; `only_writes` spares reads and feeds. Error text, empty for none.
    [[nodiscard]] std::string set_store_fate(const std::string& vm, const std::string& fate,
                                             bool only_writes);
    void set_away_parts(std::set<std::string> parts);
    void forget_history();
    /// `place` is the worker's name in the settings; another worker may have taken its address.
    /// `serves_on` is how long a worker that drains does so before it leaves.
    [[nodiscard]] std::string act_on_worker(const std::string& place, const std::string& action,
                                            base::milliseconds serves_on = default_drain_time);
    /// Its entry tells of it with its next heartbeat. Error text, empty for none.
    [[nodiscard]] std::string set_capacity(const std::string& place, std::int64_t percent);
    void set_configuration(const std::string& document);
    /// The operator drains a failure domain; a start there later than `bound` is a violation.
    void drain_domain(const std::string& domain, base::milliseconds bound);
    void restore_domain(const std::string& domain);

    /// What was seen so far.
    [[nodiscard]] json report() const;

private:
    struct worker_fault {
        tests::fake_workers::fate fate = tests::fake_workers::fate::serve;
        /// Only a share of the starts and stops meets it, and no poll.
        bool only_some_orders = false;
    };
    struct store_faults {
        tests::fake_store::fate fate = tests::fake_store::fate::serve;
        bool only_writes = false;
    };

    explicit site_host(const site_config& config);
    [[nodiscard]] base::result<void> listen(const site_config& config);
    [[nodiscard]] base::result<void> serve(const site_config& config, std::uint16_t port,
                                           net::http_handler handler);
    void connect_judge();
    void add_worker(const std::string& place, const std::string& worker);
    void advance();
    void beat(const std::string& worker);
    void publish(const std::string& worker);
    void crash(const std::string& worker);
    void come_back(const std::string& worker);
    void displace(const std::string& worker);
    /// Crashes the worker where the started task does that to it.
    void crash_by(const fleet::start_order& order);
    /// It comes back, or another one does at its address.
    void replace_later(const std::string& worker, std::uint64_t born);
    void drain(const std::string& worker, base::milliseconds serves_on);
    /// Its registration expires unless it is written again in time.
    void expire_later(const std::string& worker);
    [[nodiscard]] json stored_jobs() const;
    [[nodiscard]] json ages_of_last_done() const;
    [[nodiscard]] tests::fake_workers::fate fate_of(const std::string& worker,
                                                    const std::string& order);
    /// What each worker that is up has and uses.
    [[nodiscard]] json room_of_workers() const;
    [[nodiscard]] json running_tasks() const;
    void handle_store(const vm_config& vm, const net::http_request& request,
                      const net::http_responder& responder);
    void handle_worker(const std::string& place, const net::http_request& request,
                       const net::http_responder& responder);
    [[nodiscard]] std::vector<store::row> rename_workers(const vm_config& vm,
                                                         std::vector<store::row> rows) const;

    std::string address_;
    asio::io_context context_{1};
    asio::steady_timer tick_{context_};
    std::chrono::steady_clock::time_point last_tick_{};
    tests::virtual_time time_{};
    tests::fake_store store_{time_};
    tests::fake_workers workers_{time_};
    fleet::worker_orders orders_{};
    site_judge judge_{max_attempts};
    drain_judge drain_judge_{};
    /// When the newest task of each job was done.
    std::map<std::string, base::time_point> last_done_{};
    std::map<std::string, store::row_store> store_ports_{};
    std::map<std::string, store_faults> store_faults_{};
    std::map<std::string, worker_fault> worker_faults_{};
    /// Which orders meet a fault that only a share of them meets.
    std::mt19937_64 chances_{1};
    std::map<std::string, std::uint64_t> sequences_{};
    /// When the registration of each worker was written last, and when draining ones leave.
    std::map<std::string, base::time_point> published_at_{};
    std::map<std::string, base::time_point> leaves_at_{};
    /// Places whose workers do not reach the store.
    std::set<std::string> cut_off_{};
    std::map<std::string, worker_config> places_{};
    /// By place, the worker that answers at its address, and the reverse for all that ever did.
    std::map<std::string, std::string> occupants_{};
    std::map<std::string, std::string> place_of_{};
    std::size_t crashes_by_tasks_ = 0;
    std::vector<std::unique_ptr<net::http_server>> servers_{};
};

} // namespace poplarstile::standins::site_standin
