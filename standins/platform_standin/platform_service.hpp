#pragma once

#include "base/time.hpp"
#include "net/http_server.hpp"
#include "standins/common/json_http.hpp"
#include "standins/common/timer_thread.hpp"
#include "standins/platform_standin/table_store.hpp"
#include "standins/platform_standin/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

/// The platform as its clients see it, with faults that a test can set.
namespace poplarstile::standins::platform_standin
{

struct platform_options {
    double transact_rate = 400;
    double read_rate = 2'000;
    base::milliseconds vm_list_lag{2'000};
};

enum class outage { none, silent, refusing };

struct platform_faults {
    outage down = outage::none;
    base::milliseconds delay{0};
    /// Share of transactions that take effect and get no answer.
    double lose_answers = 0;
};

struct platform_counters {
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t unanswered = 0;
};

/// Handles each request of the platform's port, its control interface included.
class platform_service
{
public:
    explicit platform_service(const platform_options& options);

    /// Called from any thread.
    void handle(const net::http_request& request, const net::http_responder& responder);

    /// Drops delayed answers; call before the server that they belong to ends.
    void stop();

private:
    struct vm_list_change {
        base::microseconds visible_at{0};
        json vms = json::array();
    };

    [[nodiscard]] net::http_response handle_control(const net::http_request& request);
    [[nodiscard]] net::http_response set_faults(const json& body);
    [[nodiscard]] net::http_response counters() const;
    [[nodiscard]] net::http_response handle_service(const net::http_request& request,
                                                    bool& lose_answer);
    [[nodiscard]] net::http_response transact(const net::http_request& request, bool& lose_answer);
    [[nodiscard]] net::http_response read_row(const net::http_request& request);
    [[nodiscard]] net::http_response scan(const net::http_request& request);
    [[nodiscard]] net::http_response objects(const net::http_request& request);
    [[nodiscard]] net::http_response vm_list();
    [[nodiscard]] bool admit_read();

    platform_options options_;
    std::mutex mutex_;
    table_store table_;
    token_bucket transact_bucket_;
    token_bucket read_bucket_;
    std::map<std::string, std::string, std::less<>> objects_;
    std::vector<vm_list_change> vm_lists_;
    platform_faults faults_;
    platform_counters counters_;
    std::mt19937_64 random_;
    timer_thread timer_;
};

} // namespace poplarstile::standins::platform_standin
