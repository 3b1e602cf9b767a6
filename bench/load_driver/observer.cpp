#include "bench/load_driver/observer.hpp"

#include "base/log.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <thread>
#include <utility>

namespace poplarstile::bench::load_driver
{
namespace
{

using nlohmann::json;

constexpr base::logger log{"observer"};
constexpr base::milliseconds poll_timeout{400};
constexpr base::milliseconds rules_timeout{3'000};
constexpr std::uint16_t status_ok = 200;

class vm_observer
{
public:
    vm_observer(const deployment& target, const observer_options& options, net::http_client& client,
                message_ring& into)
        : target_{target}, options_{options}, client_{client}, into_{into}
    {
    }

    void run(const std::stop_token& stop)
    {
        const auto start = base::now();
        auto next = start;
        while (!stop.stop_requested()) {
            poll_all();
            const bool due = base::now() - start >= options_.rule_after;
            if (!options_.rule.empty() && !accepted_ && due) {
                apply_rule();
            }
            next = std::max(next + options_.interval, base::now());
            std::this_thread::sleep_until(next);
        }
    }

private:
    net::http_reply operate(const entry_vm& vm, std::string method, std::string_view path,
                            std::string body, base::milliseconds timeout)
    {
        return client_.send_and_wait({.method = std::move(method),
                                      .url = fmt::format("http://{}{}", vm.operator_address, path),
                                      .headers = {{"Authorization", "Bearer " + vm.operator_key}},
                                      .body = std::move(body),
                                      .timeout = timeout});
    }

    void poll_all()
    {
        for (std::size_t index = 0; index < target_.vms.size(); ++index) {
            const auto& vm = target_.vms[index];
            const auto ready =
                client_.send_and_wait({.url = fmt::format("http://{}/readyz", vm.caller_address),
                                       .timeout = poll_timeout});
            const auto version = stated_version(vm);
            into_.push(vm_seen{.vm = index,
                               .ready = ready.ok(),
                               .rules_version = version.value_or(0),
                               .at = base::wall_clock_us()});
            if (ready.ok()) {
                ready_vm_ = index;
            }
        }
    }

    std::optional<std::uint64_t> stated_version(const entry_vm& vm)
    {
        const auto status = operate(vm, "GET", "/v1/status", {}, poll_timeout);
        const auto body = json::parse(status.body, nullptr, false);
        if (!status.ok() || !body.is_object()) {
            return std::nullopt;
        }
        const auto version = body.find("rules_version");
        if (version == body.end() || !version->is_number_unsigned()) {
            return std::nullopt;
        }
        return version->get<std::uint64_t>();
    }

    void apply_rule()
    {
        if (!ready_vm_) {
            return;
        }
        const auto& vm = target_.vms[*ready_vm_];
        const auto current =
            json::parse(operate(vm, "GET", "/v1/rules", {}, rules_timeout).body, nullptr, false);
        if (!current.is_object() || !current.contains("version") || !current.contains("text")) {
            return;
        }
        const auto text = current["text"].get<std::string>();
        // An earlier try took effect and its answer was lost.
        if (text.find(options_.rule) != std::string::npos) {
            accept(current.value("version", std::uint64_t{0}));
            return;
        }
        const json change{{"author", "load-driver"},
                          {"base_version", current["version"]},
                          {"text", text + "\n" + options_.rule + "\n"},
                          {"operation", operation_}};
        const auto reply = operate(vm, "POST", "/v1/rules", change.dump(), rules_timeout);
        if (reply.outcome != net::delivery::answered || reply.status != status_ok) {
            log.warning("{} refused the extra rule with status {}: {}", vm.id, reply.status,
                        reply.body);
            return;
        }
        const auto answer = json::parse(reply.body, nullptr, false);
        if (answer.is_object()) {
            accept(answer.value("version", std::uint64_t{0}));
        }
    }

    void accept(std::uint64_t version)
    {
        accepted_ = true;
        into_.push(rule_accepted{{base::wall_clock_us(), version}});
    }

    const deployment& target_;
    const observer_options& options_;
    net::http_client& client_;
    message_ring& into_;
    std::optional<std::size_t> ready_vm_{};
    bool accepted_ = false;
    /// One id for all tries, so that the change is not made twice.
    std::string operation_ = fmt::format("load-driver-{}", base::wall_clock_us());
};

} // namespace

void observe(const deployment& target, const observer_options& options, net::http_client& client,
             message_ring& into, const std::stop_token& stop)
{
    vm_observer{target, options, client, into}.run(stop);
}

} // namespace poplarstile::bench::load_driver
