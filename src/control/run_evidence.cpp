#include "control/run_evidence.hpp"

namespace poplarstile::control
{

std::string_view name_of(run_evidence evidence)
{
    static constexpr std::array<std::string_view, run_evidence_count> names{
        "listed",           "not_shown_by_worker",       "worker_left",
        "lease_over",       "registered_anew",           "answered_with_another_birth",
        "start_rejected",   "given_up_before_sent",      "capacity_gone_before_sent",
        "start_never_left", "domain_drained_before_sent"};
    return names.at(static_cast<std::size_t>(evidence));
}

} // namespace poplarstile::control
