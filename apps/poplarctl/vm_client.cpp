#include "poplarctl/vm_client.hpp"

#include <fmt/format.h>

namespace poplarstile::poplarctl
{
namespace
{

constexpr base::milliseconds call_timeout{10'000};

base::error no_vm_answers(const std::string& tried)
{
    return {base::error_code::operator_no_vm_answers, "--vm", tried,
            "check that a VM runs at one of these operator addresses, or name another with --vm"};
}

vm_answer answer_of(const std::string& address, const net::http_reply& reply)
{
    auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (body.is_discarded()) {
        body = {{"detail", "the answer is not JSON"}};
    }
    return {address, reply.status, std::move(body)};
}

} // namespace

base::result<vm_client> vm_client::create(std::vector<std::string> addresses, std::string key)
{
    BOOST_OUTCOME_TRY(client, net::http_client::start({}));
    return vm_client{std::move(addresses), std::move(key), std::move(client)};
}

net::http_reply vm_client::send(const std::string& address, net::http_call call)
{
    call.url = fmt::format("http://{}{}", address, call.url);
    call.timeout = call_timeout;
    if (!key_.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + key_});
    }
    return client_->send_and_wait(std::move(call));
}

base::result<vm_answer> vm_client::call(const net::http_call& call, bool is_repeatable)
{
    auto made = call;
    // The library resends only on connections that are kept.
    made.fresh_connection = !is_repeatable;
    std::string tried;
    for (const auto& address : addresses_) {
        const auto reply = send(address, made);
        if (reply.outcome == net::delivery::answered) {
            return answer_of(address, reply);
        }
        tried += fmt::format("{}{}: {}", tried.empty() ? "" : "; ", address, reply.failure);
        if (reply.outcome == net::delivery::lost && !is_repeatable) {
            return base::error{base::error_code::platform_outcome_unknown, address,
                               "the answer was lost; the call may have taken effect",
                               "look whether it did before you repeat it"};
        }
    }
    return no_vm_answers(tried.empty() ? "no address was given" : tried);
}

base::result<std::string> vm_client::metrics(const std::string& address)
{
    constexpr std::uint16_t status_ok = 200;
    net::http_call call;
    call.method = "GET";
    call.url = "/metrics";
    auto reply = send(address, std::move(call));
    if (reply.outcome != net::delivery::answered || reply.status != status_ok) {
        return no_vm_answers(fmt::format("{}: no metrics", address));
    }
    return std::move(reply.body);
}

base::result<vm_answer> vm_client::call_one(const std::string& address, net::http_call call)
{
    const auto reply = send(address, std::move(call));
    if (reply.outcome != net::delivery::answered) {
        return no_vm_answers(fmt::format("{}: {}", address, reply.failure));
    }
    return answer_of(address, reply);
}

} // namespace poplarstile::poplarctl
