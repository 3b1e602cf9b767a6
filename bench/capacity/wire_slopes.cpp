#include "bench/capacity/measurement.hpp"

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "workers/worker_client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <future>
#include <memory>

namespace poplarstile::bench::capacity
{
namespace
{

constexpr std::array<std::size_t, 5> task_sizes{4, 8, 16, 32, 64};
constexpr std::array<std::size_t, 4> exchange_sizes{250, 500, 1'000, 2'000};
constexpr base::milliseconds timeout{5'000};

std::string lease_body(std::size_t tasks)
{
    auto list = nlohmann::json::array();
    for (std::size_t task = 0; task < tasks; ++task) {
        list.push_back({{"task", fmt::format("team-07-{:032x}.65536.1.0", task)},
                        {"job", fmt::format("team-07-{:032x}", task)},
                        {"gang_size", 1},
                        {"member", 0},
                        {"accelerators", {task % 8}},
                        {"state", "running"},
                        {"progress_ms", 1'234'567}});
    }
    auto accelerators = nlohmann::json::array();
    for (int index = 0; index < 8; ++index) {
        accelerators.push_back({{"index", index}, {"broken", false}});
    }
    return nlohmann::json{{"worker", "w-00001"},
                          {"token", 65'536},
                          {"tasks", list},
                          {"accelerators", accelerators},
                          {"leaving", false}}
        .dump();
}

/// A worker on loopback that answers every call with the same body.
class fake_worker
{
public:
    explicit fake_worker(std::string body)
        : server_{net::http_server::start(
                      {},
                      [body = std::move(body)](const auto& /*request*/, const auto& responder) {
                          responder.send({.status = 200, .body = body});
                      })
                      .value()},
          client_{net::http_client::start({}).value()}
    {
    }

    [[nodiscard]] net::http_reply renew() const
    {
        return client_->send_and_wait(
            {.method = "POST",
             .url = fmt::format("http://127.0.0.1:{}/v1/lease", server_->port()),
             .headers = {{"Content-Type", "application/json"}},
             .body = R"({"domain":"fd-01","lease_ms":3000,"token":65536})",
             .timeout = timeout});
    }

private:
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<net::http_client> client_;
};

slope renewal_bytes(const effort& how)
{
    return measure({.name = "worker.renewal.bytes",
                    .what = "Wire bytes of one lease renewal on an open connection, headers and "
                            "both ways, by the tasks on the worker.",
                    .size_unit = "tasks",
                    .cost_unit = "bytes"},
                   task_sizes, how, [](std::size_t tasks) {
                       const fake_worker worker{lease_body(tasks)};
                       (void)worker.renew();
                       return static_cast<double>(worker.renew().wire_bytes);
                   });
}

slope renewal_parse(const effort& how)
{
    return measure({.name = "worker.renewal_read.cpu",
                    .what = "Reading the answer to a lease renewal, by the tasks in it.",
                    .size_unit = "tasks",
                    .cost_unit = "us"},
                   task_sizes, how, [&how](std::size_t tasks) {
                       const net::http_reply reply{.outcome = net::delivery::answered,
                                                   .status = 200,
                                                   .body = lease_body(tasks)};
                       return least_cpu_us(
                           how.repeats * 4, [] {},
                           [&] { const auto read = workers::read_lease_answer(reply, "w-00001"); });
                   });
}

slope exchanges(const effort& how)
{
    return measure({.name = "worker.exchange.cpu",
                    .what = "Processor time of HTTP exchanges of one renewal without tasks, client "
                            "and server together, one after the other on an open connection.",
                    .size_unit = "exchanges",
                    .cost_unit = "us"},
                   exchange_sizes, how, [](std::size_t count) {
                       const fake_worker worker{lease_body(0)};
                       (void)worker.renew();
                       const double began = process_cpu_us();
                       for (std::size_t exchange = 0; exchange < count; ++exchange) {
                           (void)worker.renew();
                       }
                       return process_cpu_us() - began;
                   });
}

} // namespace

std::vector<slope> wire_slopes(const effort& how)
{
    return {renewal_bytes(how), renewal_parse(how), exchanges(how)};
}

} // namespace poplarstile::bench::capacity
