#include "rules_duty.hpp"

#include "base/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr std::size_t ring_capacity = 1'024;
constexpr base::milliseconds tick_interval{100};
constexpr base::milliseconds peer_timeout{1'000};
/// How long a new VM waits for the table before it takes work with its peers' newest rules.
constexpr base::milliseconds table_patience{2'500};
/// Poll interval of the VMs that are not readers of their failure domain, in poll intervals.
constexpr int seldom = 20;
/// More missing changes than this are read as a whole instead of one by one.
constexpr rules::rules_version max_single_changes = 16;
constexpr std::string_view part = "rules";
constexpr base::logger log{"rules"};

std::optional<rules::rules_version> version_of(const std::optional<table::table_row>& head)
{
    if (!head) {
        return 0;
    }
    const bool usable = head->value.is_object() && head->value.contains("version") &&
                        head->value["version"].is_number_unsigned();
    return usable ? std::optional{head->value["version"].get<rules::rules_version>()}
                  : std::nullopt;
}

/// The changes of a peer's answer; nothing when one of them can't be read.
std::optional<rules::rules_delta> delta_of(const peer::rules_reply& reply)
{
    rules::rules_delta delta{reply.from_version, {}};
    for (const auto& entry : reply.entries) {
        auto change = rules::change_from_json(nlohmann::json::parse(entry, nullptr, false), "peer");
        if (!change.has_value()) {
            return std::nullopt;
        }
        delta.changes.push_back(std::move(change).value());
    }
    return delta;
}

} // namespace

rules_duty::rules_duty(node& owner, peer_link& link)
    : node_{owner}, link_{link}, duty_{ring_capacity, tick_interval}
{
}

void rules_duty::start(changed_handler on_changed)
{
    on_changed_ = std::move(on_changed);
    started_at_ = base::now();
    duty_.start([this](message&& happened) { handle(std::move(happened)); }, [this] { on_tick(); });
}

void rules_duty::stop()
{
    duty_.stop();
}

void rules_duty::look_now()
{
    (void)duty_.try_post(message{look_requested{}});
}

void rules_duty::handle(message happened)
{
    std::visit([this](auto& one) { handle_one(one); }, happened);
}

void rules_duty::on_tick()
{
    const bool due = base::now() - asked_at_ >= poll_interval();
    if (due && !reading_) {
        read_head();
    }
    become_ready();
    run_deferred();
}

void rules_duty::defer(base::milliseconds delay, std::function<void()> work)
{
    duty_.post(message{deferred{base::now() + delay, std::move(work)}});
}

void rules_duty::handle_one(deferred& happened)
{
    deferred_.push_back(std::move(happened));
}

void rules_duty::run_deferred()
{
    const auto now = base::now();
    const auto first_due = std::stable_partition(
        deferred_.begin(), deferred_.end(), [now](const deferred& one) { return one.due > now; });
    std::vector<deferred> due{std::make_move_iterator(first_due),
                              std::make_move_iterator(deferred_.end())};
    deferred_.erase(first_due, deferred_.end());
    for (const auto& one : due) {
        one.work();
    }
}

base::milliseconds rules_duty::poll_interval() const
{
    const auto base_interval = node_.settings.times.rules_poll;
    if (!node_.ready) {
        return base_interval;
    }
    int rank = 0;
    for (const auto& member : *node_.members.get()) {
        const bool reads = member.failure_domain == node_.settings.vm.failure_domain &&
                           member.state == peer::member_state::alive;
        rank += reads && member.vm < node_.settings.vm.id ? 1 : 0;
    }
    return rank == 0 ? base_interval : base_interval * (rank == 1 ? 2 : seldom);
}

// The table.

void rules_duty::read_head()
{
    reading_ = true;
    asked_at_ = base::now();
    node_.table->read(rules::head_key, [this](auto row) {
        duty_.post(message{head_read{row.has_value() ? version_of(row.value()) : std::nullopt}});
    });
}

void rules_duty::read_change(rules::rules_version version, rules::rules_version newest)
{
    reading_ = true;
    node_.table->read(rules::log_key(version), [this, newest](auto row) {
        change_read read{{}, newest};
        if (row.has_value() && row.value()) {
            auto change = rules::change_from_json(row.value()->value, row.value()->key);
            if (change.has_value()) {
                read.change = std::move(change).value();
            }
        }
        duty_.post(message{std::move(read)});
    });
}

void rules_duty::read_all()
{
    reading_ = true;
    node_.table->scan(rules::rules_prefix, [this](auto rows) {
        all_read read;
        if (rows.has_value()) {
            auto stored = rules::read_rules(rows.value(), rules::log_start(rows.value()));
            if (stored.has_value()) {
                read.stored = std::move(stored).value();
            } else {
                log.warning("The stored rules can't be used: {}.", base::describe(stored.error()));
            }
        }
        duty_.post(message{std::move(read)});
    });
}

void rules_duty::handle_one(look_requested& /*happened*/)
{
    if (!reading_) {
        read_head();
    }
}

void rules_duty::handle_one(head_read& happened)
{
    reading_ = false;
    if (!happened.version) {
        return;
    }
    const auto newest = *happened.version;
    node_.rules_confirmed_us = base::wall_clock_us();
    if (newest <= replica_.version()) {
        confirmed_ = newest > 0;
        return;
    }
    const bool few = replica_.version() > 0 && newest - replica_.version() <= max_single_changes;
    if (few) {
        read_change(replica_.version() + 1, newest);
    } else {
        read_all();
    }
}

void rules_duty::handle_one(change_read& happened)
{
    reading_ = false;
    if (!happened.change) {
        read_all();
        return;
    }
    const auto version = happened.change->version;
    if (replica_.take(rules::rules_delta{version - 1, {std::move(*happened.change)}})) {
        publish();
    } else if (replica_.version() < version) {
        read_all();
        return;
    }
    if (replica_.version() < happened.newest) {
        read_change(replica_.version() + 1, happened.newest);
        return;
    }
    confirmed_ = true;
}

void rules_duty::handle_one(all_read& happened)
{
    reading_ = false;
    if (!happened.stored) {
        return;
    }
    confirmed_ = happened.stored->state.version > 0;
    if (replica_.take(*happened.stored)) {
        publish();
    }
}

void rules_duty::publish()
{
    auto read = rules::to_ruleset(replica_.state());
    if (!read.has_value()) {
        log.error("Rules version {} can't be read: {}.", replica_.version(),
                  base::describe(read.error()));
        return;
    }
    const auto rules = std::make_shared<const rules::ruleset>(std::move(read).value());
    shared_.set(replica_);
    node_.rules.set(rules);
    log.info("Rules version {} is in force with {} lines.", rules->version, rules->lines.size());
    node_.note(part, "rules.in_force", fmt::format("rules/{}", rules->version), "",
               fmt::format("{} lines", rules->lines.size()));
    on_changed_(rules);
}

void rules_duty::become_ready()
{
    if (node_.ready || replica_.version() == 0) {
        return;
    }
    const bool patient = base::now() - started_at_ < table_patience;
    if (confirmed_ || (!patient && newest_among_peers())) {
        node_.ready = true;
        log.info("Ready with rules version {}{}.", replica_.version(),
                 confirmed_ ? "" : ", from peers alone");
    }
}

bool rules_duty::newest_among_peers() const
{
    const auto members = node_.members.get();
    return std::ranges::all_of(*members, [this](const membership::member& member) {
        return member.rules_version <= replica_.version();
    });
}

// Peers.

void rules_duty::ask_peer(const std::string& address)
{
    const auto after = node_.current_rules()->version;
    link_.call(address, peer::rules_request{node_.settings.vm.id, after}, peer_timeout,
               [this](auto answer) {
                   auto* const reply = answer.has_value() && answer.value()
                                           ? std::get_if<peer::rules_reply>(&*answer.value())
                                           : nullptr;
                   if (reply != nullptr) {
                       (void)duty_.try_post(message{peer_answered{std::move(*reply)}});
                   }
               });
}

void rules_duty::handle_one(peer_answered& happened)
{
    const auto& reply = happened.reply;
    if (!reply.snapshot.empty()) {
        auto state =
            rules::state_from_json(nlohmann::json::parse(reply.snapshot, nullptr, false), "peer");
        if (state.has_value() && replica_.take(state.value())) {
            publish();
        }
        return;
    }
    const auto delta = delta_of(reply);
    if (delta && replica_.take(*delta)) {
        publish();
    }
}

void rules_duty::answer_peer(std::uint64_t after_version,
                             const net::http_responder& responder) const
{
    const auto current = shared_.get();
    peer::rules_reply reply{after_version, current->version(), {}, ""};
    if (current->version() > after_version) {
        const auto delta = current->changes_after(after_version);
        if (delta) {
            for (const auto& change : delta->changes) {
                reply.entries.push_back(rules::to_json(change).dump());
            }
        } else {
            reply.snapshot = rules::to_json(current->state()).dump();
        }
    }
    responder.send(peer_response(reply));
}

} // namespace poplarstile::daemon
