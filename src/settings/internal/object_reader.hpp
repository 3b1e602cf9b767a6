#pragma once

#include "settings/internal/reader.hpp"
#include "settings/internal/schema.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Reads JSON objects by the descriptors of their members.
namespace poplarstile::settings::internal
{

using json = nlohmann::ordered_json;

void add_fault(fault_list& faults, base::error_code code, std::string place, std::string detail,
               std::string remedy = {});

/// `parent.name`, or `name` at the top.
[[nodiscard]] std::string child_path(std::string_view parent, std::string_view name);

/// What a text of the format looks like, for messages.
[[nodiscard]] std::string_view expectation_of(text_format format);

[[nodiscard]] bool has_format(std::string_view text, text_format format);

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
        add_fault(*faults_, base::error_code::settings_wrong_type, path_,
                  fmt::format("found {}, expected {}", value_->type_name(), expected),
                  fmt::format("give the member {}", expected));
    }

    void out_of_range(std::string detail) const
    {
        add_fault(*faults_, base::error_code::settings_out_of_range, path_, std::move(detail));
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

inline void report_unknown(const std::string& path, fault_list& faults)
{
    add_fault(faults, base::error_code::settings_unknown_member, path, "no such member exists");
}

inline void report_missing(const std::string& path, fault_list& faults)
{
    add_fault(faults, base::error_code::settings_missing_member, path, "the member is required");
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
        add_fault(faults, base::error_code::settings_wrong_type, path,
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
        add_fault(faults, base::error_code::settings_wrong_type, path,
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

} // namespace poplarstile::settings::internal
