#pragma once

#include "placement/topology.hpp"

#include <rapidcheck.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Obviously right, slow answers about cells, and generators of small irregular hardware.
namespace poplarstile::placement::testing
{

using place_set = std::set<std::pair<std::uint32_t, std::uint32_t>>;

/// A number of [least, end), as likely in small cases as in large ones.
template <class Number>
Number any_in(Number least, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, end));
}

/// Workers of 1, 2, 4 and 8 accelerators in racks with gaps.
inline std::vector<worker_hardware> arbitrary_workers(int max_racks, int max_workers)
{
    std::vector<worker_hardware> workers;
    const auto racks = any_in(1, max_racks + 1);
    for (int rack = 0; rack < racks; ++rack) {
        const auto count = any_in(1, max_workers + 1);
        auto width = 1U << any_in(0, 4);
        std::uint32_t position = 0;
        for (int worker = 0; worker < count; ++worker) {
            position += *rc::gen::weightedElement<std::uint32_t>({{6, 1}, {1, 2}});
            const bool changes = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});
            width = changes ? 1U << any_in(0, 4) : width;
            workers.push_back({std::to_string(rack) + "-" + std::to_string(position),
                               "rack" + std::to_string(rack), position, width});
        }
    }
    return workers;
}

inline place_set all_places(const topology& hardware)
{
    place_set places;
    for (std::uint32_t line = 0; line < hardware.lines().size(); ++line) {
        for (std::uint32_t at = 0; at < hardware.lines()[line].size(); ++at) {
            places.emplace(line, at);
        }
    }
    return places;
}

/// Whole cells of the need that lie inside `places`, by linear scan.
inline std::vector<cell> cells_in(const topology& hardware, const place_set& places,
                                  const cell_need& need)
{
    std::vector<cell> cells;
    const auto size = 1U << need.level;
    for (std::uint32_t line = 0; line < hardware.lines().size(); ++line) {
        const auto& found = hardware.lines()[line];
        if (found.width < (1U << need.width_level)) {
            continue;
        }
        for (std::uint32_t first = 0; first + size <= found.size(); first += size) {
            bool whole = true;
            for (auto at = first; at < first + size; ++at) {
                whole = whole && places.contains({line, at});
            }
            if (whole) {
                cells.push_back({line, first, need.level});
            }
        }
    }
    return cells;
}

inline place_set without(place_set places, const cell& taken)
{
    for (auto at = taken.first; at < taken.first + taken.size(); ++at) {
        places.erase({taken.line, at});
    }
    return places;
}

/// Whether all needs can be had at once, by trying every cell for each.
inline bool all_fit(const topology& hardware, const place_set& places, std::vector<cell_need> needs)
{
    if (needs.empty()) {
        return true;
    }
    const auto need = needs.back();
    needs.pop_back();
    for (const auto& where : cells_in(hardware, places, need)) {
        if (all_fit(hardware, without(places, where), needs)) {
            return true;
        }
    }
    return false;
}

} // namespace poplarstile::placement::testing
