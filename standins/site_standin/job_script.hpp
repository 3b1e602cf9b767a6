#pragma once

#include "base/time.hpp"
#include "batch/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the stand-in's workers do for a task. The script travels in the job's payload, so that a
/// worker needs nothing but the order to start.
namespace poplarstile::standins::site_standin
{

struct step_script {
    std::uint32_t tasks = 1;
    base::milliseconds work{100};
    batch::resources need{};
    /// All tasks work only together.
    bool gang = false;
    /// Its tasks are asked to lie in one rack; here they take as long across racks.
    bool one_rack = false;
    /// Every run ends as failed.
    bool fails = false;
    /// The first task crashes its worker so long after each start of it.
    std::optional<base::milliseconds> crashes_after{};
    /// Earlier steps that must be done first.
    std::vector<std::uint32_t> after{};
};

struct job_script {
    /// The id under which the job was handed in.
    std::string job{};
    std::vector<step_script> steps{};
};

/// The payload that carries the script.
[[nodiscard]] std::string to_payload(const job_script& script);

/// Undoes `to_payload`; nothing for any other text.
[[nodiscard]] std::optional<job_script> parse_payload(std::string_view payload);

} // namespace poplarstile::standins::site_standin
