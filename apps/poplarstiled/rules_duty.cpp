#include "rules_duty.hpp"

#include "answers.hpp"

#include "base/log.hpp"
#include "placement/settings_hardware.hpp"
#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

using base::error_code;
using nlohmann::json;

constexpr std::size_t ring_capacity = 1'024;
constexpr base::milliseconds tick_interval{100};
constexpr base::milliseconds peer_timeout{1'000};
constexpr std::string_view head_key = "rules/head";
constexpr std::string_view line_prefix = "rules/line/";
constexpr std::string_view part = "rules";
constexpr base::logger log{"rules"};

std::uint64_t version_of(const std::optional<platform::table_row>& head)
{
    return head && head->value.is_object() ? head->value.value("version", std::uint64_t{0}) : 0;
}

} // namespace

rules_duty::rules_duty(node& owner, peer_link& link)
    : node_{owner}, link_{link}, duty_{ring_capacity, tick_interval}
{
}

void rules_duty::start(changed_handler on_changed)
{
    on_changed_ = std::move(on_changed);
    duty_.start([this](message&& happened) { handle(std::move(happened)); }, [this] { on_tick(); });
}

void rules_duty::stop()
{
    duty_.stop();
}

void rules_duty::handle(message happened)
{
    std::visit([this](auto& one) { handle_one(one); }, happened);
}

void rules_duty::on_tick()
{
    const bool due = base::now() - asked_at_ >= node_.settings.times.rules_poll;
    if (due && !reading_) {
        read_head();
    }
}

void rules_duty::handle_one(look_now& /*happened*/)
{
    read_head();
}

void rules_duty::read_head()
{
    reading_ = true;
    asked_at_ = base::now();
    node_.table->read(head_key, [this](auto row) {
        if (row.has_value()) {
            duty_.post(message{head_read{true, std::move(row).value()}});
        } else {
            duty_.post(message{head_read{}});
        }
    });
}

void rules_duty::handle_one(head_read& happened)
{
    reading_ = false;
    if (!happened.readable) {
        return;
    }
    const auto version = version_of(happened.row);
    if (version > node_.current_rules()->version) {
        read_lines(version);
    }
}

void rules_duty::read_lines(std::uint64_t version)
{
    reading_ = true;
    node_.table->scan(line_prefix, [this, version](auto rows) {
        if (!rows.has_value()) {
            duty_.post(message{head_read{}});
            return;
        }
        // The head is read again: lines read while the version moved on are not used.
        node_.table->read(
            head_key, [this, version, lines = std::move(rows).value()](auto head) mutable {
                const bool same = head.has_value() && version_of(head.value()) == version;
                if (same) {
                    duty_.post(message{lines_read{version, std::move(lines)}});
                } else {
                    duty_.post(message{head_read{}});
                }
            });
    });
}

void rules_duty::handle_one(lines_read& happened)
{
    reading_ = false;
    std::ranges::sort(happened.rows, {}, [](const platform::table_row& row) {
        return row.value.value("order", std::uint64_t{0});
    });
    auto next = std::make_shared<rules::ruleset>();
    next->version = happened.version;
    for (const auto& row : happened.rows) {
        auto line = rules::parse_rule(row.value.value("text", ""), row.value.value("comment", ""));
        if (!line.has_value()) {
            log.error("A stored rule can't be read: {}.", base::describe(line.error()));
            return;
        }
        next->lines.push_back(std::move(line).value());
    }
    take(std::move(next));
}

void rules_duty::take(std::shared_ptr<const rules::ruleset> rules)
{
    if (rules->version <= node_.current_rules()->version) {
        return;
    }
    node_.rules.set(rules);
    log.info("Rules version {} is in force with {} lines.", rules->version, rules->lines.size());
    node_.note(part, "rules.in_force", fmt::format("rules/{}", rules->version), "",
               fmt::format("{} lines", rules->lines.size()));
    on_changed_(rules);
    node_.ready = true;
}

// Peers.

void rules_duty::ask_peer(std::string address)
{
    const auto after = node_.current_rules()->version;
    link_.call(
        address, peer::rules_request{node_.settings.vm.id, after}, peer_timeout,
        [this](auto answer) {
            const auto* const reply = answer.has_value() && answer.value()
                                          ? std::get_if<peer::rules_reply>(&*answer.value())
                                          : nullptr;
            if (reply != nullptr && !reply->snapshot.empty()) {
                (void)duty_.try_post(message{peer_answered{reply->to_version, reply->snapshot}});
            }
        });
}

void rules_duty::handle_one(peer_answered& happened)
{
    auto parsed = rules::parse_rules(happened.text, "peer");
    if (!parsed.has_value()) {
        return;
    }
    auto next = std::make_shared<rules::ruleset>(std::move(parsed).value());
    next->version = happened.version;
    take(std::move(next));
}

void rules_duty::answer_peer(std::uint64_t after_version,
                             const net::http_responder& responder) const
{
    const auto current = node_.current_rules();
    peer::rules_reply reply{after_version, current->version, {}, ""};
    if (current->version > after_version) {
        reply.snapshot = rules::to_text(*current);
    }
    responder.send(peer_response(reply));
}

// Operators.

void rules_duty::apply(const std::string& body, const net::http_responder& responder)
{
    const auto asked = json::parse(body, nullptr, false);
    const bool usable = asked.is_object() && asked.value("text", json{}).is_string();
    if (!usable) {
        responder.send(json_response(
            400, error_body({error_code::operator_argument_invalid, "text", "", ""})));
        return;
    }
    auto parsed = rules::parse_rules(asked["text"].get<std::string>());
    if (!parsed.has_value()) {
        json errors = json::array();
        for (const auto& failure : parsed.error().errors) {
            errors.push_back(error_body(failure));
        }
        responder.send(json_response(422, {{"errors", errors}}));
        return;
    }
    const auto infeasible = placement::check_guarantees(parsed.value(), node_.settings);
    if (!infeasible.empty()) {
        json errors = json::array();
        for (const auto& failure : infeasible) {
            errors.push_back(error_body(failure));
        }
        responder.send(json_response(422, {{"errors", errors}}));
        return;
    }
    const auto operation = asked.value("operation", fmt::format("{}", base::wall_clock_us()));
    const auto text = std::make_shared<rules::ruleset>(std::move(parsed).value());
    node_.table->read(head_key, [this, operation, text, responder](auto head) {
        if (!head.has_value()) {
            responder.send(json_response(503, error_body(head.error())));
            return;
        }
        const auto& row = head.value();
        const auto version = version_of(row) + 1;
        platform::table_transaction transaction{
            operation, {{std::string{head_key}, row ? row->version : 0}}, {}};
        transaction.writes.push_back(
            {std::string{head_key}, {{"version", version}, {"operation", operation}}});
        std::uint64_t order = 0;
        for (const auto& line : text->lines) {
            transaction.writes.push_back({fmt::format("{}{}", line_prefix, line.id),
                                          {{"text", line.text},
                                           {"comment", line.comment},
                                           {"order", order++},
                                           {"version", version}}});
        }
        node_.table->transact(transaction, [this, version,
                                            responder](const platform::commit_result& result) {
            if (result.state == platform::commit_state::committed) {
                (void)duty_.try_post(message{look_now{}});
                responder.send(json_response(200, {{"version", version}}));
                return;
            }
            responder.send(
                json_response(409, error_body({error_code::rules_conflict, "rules/head", "", ""})));
        });
    });
}

void rules_duty::show(std::uint64_t /*version*/, const net::http_responder& responder) const
{
    const auto current = node_.current_rules();
    responder.send(
        json_response(200, {{"version", current->version}, {"text", rules::to_text(*current)}}));
}

void rules_duty::show_log(std::uint64_t limit, const net::http_responder& responder)
{
    node_.table->scan("rules/log/", [limit, responder](auto rows) {
        if (!rows.has_value()) {
            responder.send(json_response(503, error_body(rows.error())));
            return;
        }
        json changes = json::array();
        const auto& entries = rows.value();
        for (auto entry = entries.rbegin(); entry != entries.rend() && changes.size() < limit;
             ++entry) {
            changes.push_back(entry->value);
        }
        responder.send(json_response(200, {{"changes", changes}}));
    });
}

json rules_duty::reach(std::uint64_t version) const
{
    json in_force = json::array();
    json behind = json::array();
    json out_of_reach = json::array();
    for (const auto& member : *node_.members.get()) {
        if (member.state == peer::member_state::dead) {
            out_of_reach.push_back(member.vm);
        } else if (member.rules_version >= version) {
            in_force.push_back(member.vm);
        } else {
            behind.push_back(member.vm);
        }
    }
    return {{"in_force", in_force}, {"behind", behind}, {"out_of_reach", out_of_reach}};
}

} // namespace poplarstile::daemon
