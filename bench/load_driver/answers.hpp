#pragma once

#include "bench/checker/history.hpp"
#include "net/http_client.hpp"

#include <string>

/// Reads answers of entry VMs as a caller does.
namespace poplarstile::bench::load_driver
{

struct read_answer {
    checker::answer told = checker::answer::no_answer;
    /// First `echo` member found in a completed answer; empty when there is none.
    std::string marker{};
    /// Error code of the answer; 0 when it carries none.
    std::uint32_t code = 0;
    std::string detail{};
};

/// What the answer to a short request says. An answer without a known `outcome` counts as none.
[[nodiscard]] read_answer read_request_answer(const net::http_reply& reply);

/// Job id, state and failure domain of an answer about a job; empty when the answer carries none.
struct read_job {
    std::string job{};
    std::string state{};
    std::string domain{};
    /// True when the VM refused the job for good.
    bool rejected = false;
};

[[nodiscard]] read_job read_job_answer(const net::http_reply& reply);

/// True when the caller may send the same request to another VM: nothing was sent, or the answer
/// was `not_run` for a reason that another VM may not share.
[[nodiscard]] bool may_fail_over(const net::http_reply& reply, const read_answer& given);

/// True for job states that never change again.
[[nodiscard]] bool is_final_state(std::string_view state);

} // namespace poplarstile::bench::load_driver
