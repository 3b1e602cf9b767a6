#include "settings/internal/reader.hpp"

#include "settings/internal/object_reader.hpp"
#include "settings/internal/schema.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace poplarstile::settings::internal
{
namespace
{

using base::error_code;

constexpr std::array<std::string_view, 5> log_levels = {"trace", "debug", "info", "warning",
                                                        "error"};

bool is_name_character(char letter)
{
    const bool is_digit = letter >= '0' && letter <= '9';
    const bool is_letter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    return is_digit || is_letter || letter == '.' || letter == '_' || letter == '-';
}

bool is_visible(char letter)
{
    return letter > ' ' && letter <= '~';
}

/// Reads a section of the document by its name; false when there is no such section.
bool read_section(std::string_view name, const json& value, vm_settings& settings,
                  fault_list& faults)
{
    const std::string path{name};
    if (name == "vm") {
        read_object(members_of(settings.vm), value, path, settings.vm, faults);
    } else if (name == "listen") {
        read_object(members_of(settings.listen), value, path, settings.listen, faults);
    } else if (name == "platform") {
        read_object(members_of(settings.platform), value, path, settings.platform, faults);
    } else if (name == "limits") {
        read_object(members_of(settings.limits), value, path, settings.limits, faults);
    } else if (name == "times") {
        read_object(members_of(settings.times), value, path, settings.times, faults);
    } else if (name == "policy") {
        read_object(policy_members(), value, path, settings, faults);
    } else if (name == "workers") {
        read_list(value, path, settings.workers, faults);
    } else if (name == "peers") {
        read_list(value, path, settings.peers, faults);
    } else {
        return false;
    }
    return true;
}

constexpr std::array<std::string_view, 4> required_sections = {"vm", "listen", "platform",
                                                               "workers"};

} // namespace

void add_fault(fault_list& faults, error_code code, std::string place, std::string detail,
               std::string remedy)
{
    faults.push_back({code, std::move(place), std::move(detail), std::move(remedy)});
}

std::string child_path(std::string_view parent, std::string_view name)
{
    return parent.empty() ? std::string{name} : fmt::format("{}.{}", parent, name);
}

/// What a text of the format looks like, for messages.
std::string_view expectation_of(text_format format)
{
    switch (format) {
    case text_format::name:
        return "only letters, digits, '.', '_' and '-'";
    case text_format::ip_number:
        return "an IP number such as 10.0.0.1 and no host name";
    case text_format::endpoint:
        return "IP:port such as 10.0.0.1:8080 and no host name";
    case text_format::optional_endpoint:
        return "IP:port such as 10.0.0.1:8080, or nothing";
    case text_format::secret:
        return "visible ASCII characters without blanks";
    case text_format::log_level:
        return "one of trace, debug, info, warning, error";
    case text_format::feature_mode:
        return "one of off, on, auto";
    }
    return "a text";
}

bool has_format(std::string_view text, text_format format)
{
    switch (format) {
    case text_format::name:
        return std::ranges::all_of(text, is_name_character);
    case text_format::ip_number:
        return is_ip_number(text);
    case text_format::endpoint:
        return is_endpoint(text);
    case text_format::optional_endpoint:
        return text.empty() || is_endpoint(text);
    case text_format::secret:
        return std::ranges::all_of(text, is_visible);
    case text_format::log_level:
        return std::ranges::find(log_levels, text) != log_levels.end();
    case text_format::feature_mode:
        return text == "off" || text == "on" || text == "auto";
    }
    return false;
}

vm_settings read_settings(const json& document, fault_list& faults)
{
    vm_settings settings;
    const auto plain = members_of(settings);
    for (const auto& [name, value] : document.items()) {
        if (const auto* described = find_member(plain, name)) {
            read_field(*described, value, name, settings, faults);
        } else if (!read_section(name, value, settings, faults)) {
            report_unknown(name, faults);
        }
    }
    for (const auto section : required_sections) {
        if (!document.contains(section)) {
            report_missing(std::string{section}, faults);
        }
    }
    check_missing(plain, document, "", faults);
    return settings;
}

bool is_ip_number(std::string_view text)
{
    const std::string terminated{text};
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, terminated.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, terminated.c_str(), buffer.data()) == 1;
}

bool is_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    // An IPv6 number without brackets can't be told from its port.
    if (!is_bracketed && host.find(':') != std::string_view::npos) {
        return false;
    }
    std::uint16_t port = 0;
    const auto* const end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    const bool is_port = parsed.ec == std::errc{} && parsed.ptr == end && port != 0;
    return is_port && is_ip_number(host);
}

} // namespace poplarstile::settings::internal
