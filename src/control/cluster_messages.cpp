#include "control/cluster_node.hpp"

#include <algorithm>
#include <utility>

/// Answering the messages of other VMs, and reporting rows and submissions to them.
namespace poplarstile::control
{
namespace
{

constexpr base::milliseconds report_timeout{400};
/// Greater ages are sent as this one.
constexpr base::milliseconds max_sent_age{1'000'000};

std::uint32_t sent_age_ms(base::milliseconds age)
{
    return static_cast<std::uint32_t>(std::clamp(age, base::milliseconds{0}, max_sent_age).count());
}

/// `stored` for a VM that has version `known` already, and needs no document that is not newer.
cluster::configuration_reply make_configuration_reply(const catalog::stored_configuration& stored,
                                                      std::uint64_t known,
                                                      std::uint32_t confirmed_ms_ago)
{
    cluster::configuration_reply reply;
    reply.version = stored.version;
    reply.document = stored.version > known ? stored.document : std::string{};
    reply.confirmed_ms_ago = confirmed_ms_ago;
    return reply;
}

} // namespace

cluster::hello_answer cluster_node::make_hello_answer() const
{
    cluster::hello_answer answer;
    answer.from = options_.self;
    answer.leader = election_->leader();
    answer.epoch = election_->epoch();
    answer.leader_seen_ms_ago = sent_age_ms(election_->leader_silence());
    answer.vms = vms();
    answer.configuration = ports_.configuration->version();
    return answer;
}

cluster::message cluster_node::make_acknowledgement() const
{
    return cluster::heartbeat_reply{options_.self, election_->epoch(), false,
                                    ports_.configuration->version(), left_};
}

void cluster_node::receive(const cluster::message& message,
                           std::function<void(std::optional<cluster::message>)> answer)
{
    if (const auto* const heartbeat = std::get_if<cluster::leader_heartbeat>(&message)) {
        answer(handle_heartbeat(*heartbeat));
    } else if (const auto* const hello = std::get_if<cluster::hello>(&message)) {
        update_vm(hello->from);
        answer(make_hello_answer());
    } else if (const auto* const asked = std::get_if<cluster::configuration_request>(&message)) {
        answer(make_configuration_reply(ports_.configuration->stored(), asked->known_version,
                                        configuration_ms_ago()));
    } else if (const auto* const submission =
                   std::get_if<cluster::uncertain_submission>(&message)) {
        ports_.on_uncertain_submission(submission->job);
        answer(make_acknowledgement());
    } else if (const auto* const reported = std::get_if<cluster::stored_row>(&message)) {
        if (leader_) {
            leader_->receive_row(
                {{"jobs", reported->part, reported->key}, reported->value, reported->version});
        }
        answer(make_acknowledgement());
    } else if (const auto* const call = std::get_if<cluster::store_call>(&message)) {
        ports_.relay(*call, [answer = std::move(answer)](cluster::store_answer made) {
            answer(cluster::message{std::move(made)});
        });
    } else {
        answer(std::nullopt);
    }
}

std::uint32_t cluster_node::configuration_ms_ago() const
{
    return sent_age_ms(ports_.configuration->age());
}

void cluster_node::report_uncertain_submission(const std::string& job)
{
    for (const auto& [address, peer] : vms_) {
        ports_.peers->ask(address, cluster::uncertain_submission{job}, report_timeout,
                          [](const std::optional<cluster::message>& /*answer*/) {});
    }
}

void cluster_node::report_stored_row(const store::row& stored)
{
    if (leader_) {
        leader_->receive_row(stored);
        return;
    }
    const auto& address = election_->leader().address;
    if (!address.empty()) {
        // The store's feed delivers the row in any case, so the reply is ignored.
        ports_.peers->ask(
            address,
            cluster::stored_row{stored.id.part, stored.id.key, stored.value, stored.version},
            report_timeout, [](const std::optional<cluster::message>& /*answer*/) {});
    }
}

} // namespace poplarstile::control
