#include "rules_gateway.hpp"

#include "answers.hpp"

#include "placement/settings_hardware.hpp"
#include "rules/rules_text.hpp"

#include "base/json_member.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

using base::error_code;
using nlohmann::json;

/// How long an operator's wish is tried again after conflicts and lost answers.
constexpr base::milliseconds apply_patience{8'000};
/// Added to the wait before each further try.
constexpr base::milliseconds retry_step{100};
constexpr std::string_view part = "rules";

json line_body(const std::optional<rules::line_record>& line)
{
    if (!line) {
        return nullptr;
    }
    return fmt::format("{}    # {}", line->text, line->comment);
}

json conflicts_body(const rules::apply_conflicts& found)
{
    auto body = error_body({error_code::rules_conflict, "", "", ""});
    body["conflicts"] = json::array();
    for (const auto& conflict : found.conflicts) {
        body["conflicts"].push_back({{"line", conflict.id},
                                     {"yours", line_body(conflict.yours)},
                                     {"theirs", line_body(conflict.theirs)},
                                     {"author", conflict.author},
                                     {"version", conflict.version}});
    }
    return body;
}

json errors_body(const std::vector<base::error>& faults)
{
    json errors = json::array();
    for (const auto& fault : faults) {
        errors.push_back(error_body(fault));
    }
    return {{"errors", errors}};
}

json texts_of(const std::vector<rules::line_record>& lines)
{
    json texts = json::array();
    for (const auto& line : lines) {
        texts.push_back(line_body(line));
    }
    return texts;
}

json rules_body(const rules::ruleset& rules)
{
    return {{"version", rules.version}, {"text", rules::to_text(rules)}};
}

std::string text_member(const json& body, const char* name)
{
    return base::member_or(body, name, std::string{});
}

} // namespace

rules_gateway::rules_gateway(node& owner, rules_duty& rules) : node_{owner}, rules_{rules} {}

void rules_gateway::apply(const std::string& body, const net::http_responder& responder)
{
    const auto asked = json::parse(body, nullptr, false);
    for (const auto* const name : {"author", "text"}) {
        if (text_member(asked, name).empty()) {
            responder.send(json_response(400, error_body({error_code::operator_argument_invalid,
                                                          name, "a text is expected", ""})));
            return;
        }
    }
    auto operation = text_member(asked, "operation");
    if (operation.empty()) {
        operation =
            fmt::format("{}-{}-{}", node_.settings.vm.id, node_.run_id, base::wall_clock_us());
    }
    auto parsed = rules::parse_rules(text_member(asked, "text"));
    if (!parsed.has_value()) {
        responder.send(json_response(422, errors_body(parsed.error().errors)));
        return;
    }
    const auto base = asked.value("base_version", json{});
    rules::rules_proposal proposal{
        text_member(asked, "author"),
        base.is_number_unsigned() ? base.get<rules::rules_version>() : parsed.value().version,
        std::move(parsed).value(), std::move(operation), base::wall_clock_us()};
    plan(std::make_shared<wish>(
        wish{std::move(proposal), responder, base::now() + apply_patience, false, 0}));
}

void rules_gateway::plan(const shared_wish& asked)
{
    node_.table->scan(rules::rules_prefix, [this, asked](auto rows) {
        if (!rows.has_value()) {
            again(asked);
            return;
        }
        const auto stored = rules::read_rules(rows.value(), rules::log_start(rows.value()));
        if (!stored.has_value()) {
            again(asked);
            return;
        }
        const auto planned = rules::plan_apply(
            stored.value(), asked->proposal, [this](const rules::ruleset& proposed) {
                return placement::check_guarantees(proposed, node_.settings);
            });
        if (const auto* const change = std::get_if<rules::planned_change>(&planned)) {
            send(asked, *change);
        } else if (const auto* const done = std::get_if<rules::already_in_force>(&planned)) {
            accept(asked, done->version);
        } else if (const auto* const clash = std::get_if<rules::apply_conflicts>(&planned)) {
            asked->responder.send(json_response(409, conflicts_body(*clash)));
        } else {
            const auto& refused = std::get<rules::apply_refused>(planned);
            asked->responder.send(json_response(422, errors_body(refused.errors)));
        }
    });
}

void rules_gateway::send(const shared_wish& asked, const rules::planned_change& change)
{
    node_.table->transact(change.transaction, [this, asked, version = change.state.version](
                                                  const table::commit_result& result) {
        switch (result.state) {
        case table::commit_state::committed:
            accept(asked, version);
            return;
        case table::commit_state::unknown:
            asked->in_doubt = true;
            again(asked);
            return;
        case table::commit_state::conflict:
        case table::commit_state::not_applied:
            // Planning again finds this operation in the log if it took effect after all.
            again(asked);
            return;
        }
    });
}

void rules_gateway::again(const shared_wish& asked)
{
    if (base::now() < asked->give_up_at) {
        rules_.defer(retry_step * ++asked->tries, [this, asked] { plan(asked); });
        return;
    }
    const auto code =
        asked->in_doubt ? error_code::platform_outcome_unknown : error_code::platform_unreachable;
    const std::uint16_t status = asked->in_doubt ? 504 : 503;
    asked->responder.send(json_response(
        status, error_body({code, "rules/head", "",
                            "apply again with the same operation; it never applies twice"})));
}

void rules_gateway::accept(const shared_wish& asked, rules::rules_version version)
{
    node_.note(part, "rules.accepted", fmt::format("rules/{}", version),
               "operator/" + asked->proposal.author, asked->proposal.operation);
    rules_.look_now();
    asked->responder.send(json_response(200, {{"version", version}}));
}

void rules_gateway::show(std::uint64_t version, const net::http_responder& responder) const
{
    const auto current = node_.current_rules();
    if (version != 0 && version != current->version) {
        show_old(version, responder);
        return;
    }
    node_.table->read(rules::head_key, [current, responder](auto head) {
        auto body = rules_body(*current);
        const bool known = head.has_value();
        body["confirmed"] = known;
        if (known && head.value()) {
            body["newest_version"] = head.value()->value.value("version", json{});
        }
        responder.send(json_response(200, body));
    });
}

void rules_gateway::show_old(std::uint64_t version, const net::http_responder& responder) const
{
    node_.table->scan(rules::rules_prefix, [version, responder](auto rows) {
        if (!rows.has_value()) {
            responder.send(json_response(503, error_body(rows.error())));
            return;
        }
        const auto stored = rules::read_rules(rows.value(), rules::log_start(rows.value()));
        if (!stored.has_value()) {
            responder.send(json_response(503, error_body(stored.error())));
            return;
        }
        const auto old = rules::state_at(stored.value(), version);
        if (!old.has_value()) {
            responder.send(json_response(404, error_body(old.error())));
            return;
        }
        const auto read = rules::to_ruleset(old.value());
        responder.send(read.has_value() ? json_response(200, rules_body(read.value()))
                                        : json_response(500, error_body(read.error())));
    });
}

void rules_gateway::show_log(std::uint64_t limit, const net::http_responder& responder) const
{
    node_.table->scan(rules::log_prefix, [limit, responder](auto rows) {
        if (!rows.has_value()) {
            responder.send(json_response(503, error_body(rows.error())));
            return;
        }
        json changes = json::array();
        const auto& entries = rows.value();
        for (auto entry = entries.rbegin(); entry != entries.rend() && changes.size() < limit;
             ++entry) {
            const auto change = rules::change_from_json(entry->value, entry->key);
            if (!change.has_value()) {
                continue;
            }
            changes.push_back({{"version", change.value().version},
                               {"author", change.value().author},
                               {"time_us", change.value().time_us},
                               {"added", texts_of(change.value().added)},
                               {"removed", texts_of(change.value().removed)}});
        }
        responder.send(json_response(200, {{"changes", changes}}));
    });
}

json rules_gateway::reach(std::uint64_t version) const
{
    const auto wanted = version == 0 ? node_.current_rules()->version : version;
    json in_force = json::array();
    json behind = json::array();
    json out_of_reach = json::array();
    for (const auto& member : *node_.members.get()) {
        if (member.rules_version >= wanted) {
            in_force.push_back(member.vm);
        } else if (member.state == peer::member_state::dead ||
                   member.state == peer::member_state::suspect) {
            out_of_reach.push_back(member.vm);
        } else {
            behind.push_back(member.vm);
        }
    }
    return {{"in_force", in_force}, {"behind", behind}, {"out_of_reach", out_of_reach}};
}

} // namespace poplarstile::daemon
