#include "settings/internal/reader.hpp"

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
using json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 5> log_levels = {"trace", "debug", "info", "warning",
                                                        "error"};

void add_fault(fault_list& faults, error_code code, std::string place, std::string detail,
               std::string remedy = {})
{
    faults.push_back({code, std::move(place), std::move(detail), std::move(remedy)});
}

std::string child_path(std::string_view parent, std::string_view name)
{
    return parent.empty() ? std::string{name} : fmt::format("{}.{}", parent, name);
}

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
    }
    return false;
}

/// Reads one member into the field of its type.
template <class Owner>
class field_reader
{
public:
    field_reader(Owner& owner, const member<Owner>& described, const json& value, std::string path,
                 fault_list& faults)
        : owner_(&owner), described_(&described), value_(&value), path_(std::move(path)),
          faults_(&faults)
    {
    }

    void operator()(std::string Owner::*field) const
    {
        if (!value_->is_string()) {
            wrong_type("a text");
            return;
        }
        const auto text = value_->template get<std::string>();
        const auto length = static_cast<double>(text.size());
        if (length < described_->least || length > described_->greatest) {
            out_of_range(fmt::format("{} characters, expected {} to {}", text.size(),
                                     described_->least, described_->greatest));
            return;
        }
        if (!has_format(text, described_->format)) {
            // The value of a secret never goes into a message.
            const bool is_secret = described_->format == text_format::secret;
            const auto shown = is_secret ? std::string{"the value"} : '"' + text + '"';
            out_of_range(fmt::format("{} is not {}", shown, expectation_of(described_->format)));
            return;
        }
        owner_->*field = text;
    }

    template <class Integer>
    void operator()(Integer Owner::*field) const
    {
        if (const auto number = whole_number()) {
            owner_->*field = static_cast<Integer>(*number);
        }
    }

    void operator()(double Owner::*field) const
    {
        if (!value_->is_number()) {
            wrong_type("a number");
            return;
        }
        if (const auto number = checked_range()) {
            owner_->*field = *number;
        }
    }

    void operator()(base::milliseconds Owner::*field) const
    {
        if (const auto number = whole_number()) {
            owner_->*field = base::milliseconds{static_cast<std::int64_t>(*number)};
        }
    }

    void operator()(objective Owner::*field) const
    {
        if (!value_->is_string()) {
            wrong_type("a text");
            return;
        }
        const auto text = value_->template get<std::string>();
        if (text == "completion_time") {
            owner_->*field = objective::completion_time;
        } else if (text == "fragmentation") {
            owner_->*field = objective::fragmentation;
        } else {
            out_of_range(fmt::format("\"{}\" is neither completion_time nor fragmentation", text));
        }
    }

private:
    void wrong_type(std::string_view expected) const
    {
        add_fault(*faults_, error_code::settings_wrong_type, path_,
                  fmt::format("found {}, expected {}", value_->type_name(), expected),
                  fmt::format("give the member {}", expected));
    }

    void out_of_range(std::string detail) const
    {
        add_fault(*faults_, error_code::settings_out_of_range, path_, std::move(detail));
    }

    [[nodiscard]] std::optional<double> whole_number() const
    {
        if (!value_->is_number_integer()) {
            wrong_type("a whole number");
            return std::nullopt;
        }
        return checked_range();
    }

    [[nodiscard]] std::optional<double> checked_range() const
    {
        const auto number = value_->template get<double>();
        if (number < described_->least || number > described_->greatest) {
            out_of_range(fmt::format("{} is not between {} and {} {}", number, described_->least,
                                     described_->greatest, described_->unit));
            return std::nullopt;
        }
        return number;
    }

    Owner* owner_;
    const member<Owner>* described_;
    const json* value_;
    std::string path_;
    fault_list* faults_;
};

template <class Owner>
const member<Owner>* find_member(std::span<const member<Owner>> members, std::string_view name)
{
    const auto found = std::ranges::find(members, name, &member<Owner>::name);
    return found == members.end() ? nullptr : &*found;
}

void report_unknown(const std::string& path, fault_list& faults)
{
    add_fault(faults, error_code::settings_unknown_member, path, "no such member exists");
}

void report_missing(const std::string& path, fault_list& faults)
{
    add_fault(faults, error_code::settings_missing_member, path, "the member is required");
}

template <class Owner>
void read_field(const member<Owner>& described, const json& value, std::string path, Owner& owner,
                fault_list& faults)
{
    std::visit(field_reader<Owner>{owner, described, value, std::move(path), faults},
               described.field);
}

template <class Owner>
void check_missing(std::span<const member<Owner>> members, const json& object,
                   std::string_view path, fault_list& faults)
{
    for (const auto& described : members) {
        if (described.needed == presence::required && !object.contains(described.name)) {
            report_missing(child_path(path, described.name), faults);
        }
    }
}

/// Reads an object whose members all stand in `members`.
template <class Owner>
void read_object(std::span<const member<Owner>> members, const json& object,
                 const std::string& path, Owner& owner, fault_list& faults)
{
    if (!object.is_object()) {
        add_fault(faults, error_code::settings_wrong_type, path,
                  fmt::format("found {}, expected an object", object.type_name()),
                  "give the member an object");
        return;
    }
    for (const auto& [name, value] : object.items()) {
        const auto* described = find_member(members, name);
        if (described == nullptr) {
            report_unknown(child_path(path, name), faults);
        } else {
            read_field(*described, value, child_path(path, name), owner, faults);
        }
    }
    check_missing(members, object, path, faults);
}

template <class Owner>
void read_list(const json& list, const std::string& path, std::vector<Owner>& entries,
               fault_list& faults)
{
    if (!list.is_array()) {
        add_fault(faults, error_code::settings_wrong_type, path,
                  fmt::format("found {}, expected a list", list.type_name()),
                  "give the member a list of objects");
        return;
    }
    for (const auto& value : list) {
        const auto entry_path = fmt::format("{}[{}]", path, entries.size());
        Owner entry;
        read_object(members_of(entry), value, entry_path, entry, faults);
        entries.push_back(std::move(entry));
    }
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
