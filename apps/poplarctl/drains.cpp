#include "poplarctl/drains.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <optional>

namespace poplarstile::poplarctl
{
namespace
{

/// A sample's labels end here; an escaped character in a value doesn't.
std::size_t end_of_labels(std::string_view labels)
{
    bool quoted = false;
    for (std::size_t at = 0; at < labels.size(); ++at) {
        const char character = labels[at];
        if (quoted && character == '\\') {
            ++at;
        } else if (character == '"') {
            quoted = !quoted;
        } else if (character == '}' && !quoted) {
            return at;
        }
    }
    return std::string_view::npos;
}

std::string unescape(std::string_view text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '\\' && at + 1 < text.size()) {
            ++at;
            plain += text[at] == 'n' ? '\n' : text[at];
        } else {
            plain += text[at];
        }
    }
    return plain;
}

/// The value of a label among `name="value",...`.
std::optional<std::string> label_of(std::string_view labels, std::string_view wanted)
{
    while (!labels.empty()) {
        const auto equals = labels.find("=\"");
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const auto name = labels.substr(0, equals);
        labels.remove_prefix(equals + 2);
        std::size_t end = 0;
        while (end < labels.size() && labels[end] != '"') {
            end += labels[end] == '\\' ? 2 : 1;
        }
        if (end >= labels.size()) {
            return std::nullopt;
        }
        if (name == wanted) {
            return unescape(labels.substr(0, end));
        }
        labels.remove_prefix(end + 1);
        labels.remove_prefix(labels.starts_with(',') ? 1 : 0);
    }
    return std::nullopt;
}

std::optional<double> number_of(std::string_view text)
{
    const auto begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    double number = 0.0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    return read.ec == std::errc{} ? std::optional{number} : std::nullopt;
}

} // namespace

std::vector<std::pair<std::string, double>> samples_by_domain(std::string_view metrics,
                                                              std::string_view name)
{
    std::vector<std::pair<std::string, double>> samples;
    while (!metrics.empty()) {
        const auto end = std::min(metrics.find('\n'), metrics.size());
        auto line = metrics.substr(0, end);
        metrics.remove_prefix(std::min(end + 1, metrics.size()));
        if (!line.starts_with(name) || !line.substr(name.size()).starts_with('{')) {
            continue;
        }
        line.remove_prefix(name.size() + 1);
        const auto closed = end_of_labels(line);
        if (closed == std::string_view::npos) {
            continue;
        }
        auto domain = label_of(line.substr(0, closed), "domain");
        const auto value = number_of(line.substr(closed + 1));
        if (domain && value) {
            samples.emplace_back(std::move(*domain), *value);
        }
    }
    return samples;
}

nlohmann::json drained_domains(const std::vector<std::string>& metrics)
{
    std::map<std::string, double> drained_s;
    std::map<std::string, double> runs;
    for (const auto& text : metrics) {
        for (const auto& [domain, age] :
             samples_by_domain(text, "poplarstile_domain_drained_seconds")) {
            drained_s[domain] = std::max(drained_s[domain], age);
        }
        for (const auto& [domain, count] :
             samples_by_domain(text, "poplarstile_runs_in_drained_domains")) {
            runs[domain] = std::max(runs[domain], count);
        }
    }
    auto list = nlohmann::json::array();
    for (const auto& [domain, age] : drained_s) {
        nlohmann::json entry{{"domain", domain}, {"drained_s", std::llround(age)}};
        if (const auto found = runs.find(domain); found != runs.end()) {
            entry["runs"] = std::llround(found->second);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace poplarstile::poplarctl
