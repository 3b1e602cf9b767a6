#pragma once

#include "base/result.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace poplarstile::poplarctl
{

/// An answer of a VM, of any status.
struct vm_answer {
    std::string vm{};
    std::uint16_t status = 0;
    nlohmann::json body{};

    [[nodiscard]] bool ok() const
    {
        return status >= 200 && status < 300;
    }
};

/// Calls VMs one after the other until one answers.
class vm_client
{
public:
    [[nodiscard]] static base::result<vm_client> create(std::vector<std::string> addresses,
                                                        std::string key);

    /// `operator_no_vm_answers` names each address tried and why it failed. A call that changes
    /// something goes to another VM only when the first certainly did not get it, unless
    /// `is_repeatable`.
    [[nodiscard]] base::result<vm_answer> call(const net::http_call& call, bool is_repeatable);

    /// Calls one VM; the path is that of `call.url`.
    [[nodiscard]] base::result<vm_answer> call_one(const std::string& address, net::http_call call);

    /// The text of one VM's metrics; `operator_no_vm_answers` when it gives none.
    [[nodiscard]] base::result<std::string> metrics(const std::string& address);

    [[nodiscard]] const std::vector<std::string>& addresses() const
    {
        return addresses_;
    }

private:
    vm_client(std::vector<std::string> addresses, std::string key,
              std::unique_ptr<net::http_client> client)
        : addresses_(std::move(addresses)), key_(std::move(key)), client_(std::move(client))
    {
    }

    [[nodiscard]] net::http_reply send(const std::string& address, net::http_call call);

    std::vector<std::string> addresses_;
    std::string key_;
    std::unique_ptr<net::http_client> client_;
};

} // namespace poplarstile::poplarctl
