#pragma once

#include "base/timers.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::store
{

/// What kind of time a call takes at the store.
enum class call_kind : std::uint8_t { read, write, follow };

/// One call to the store, whatever it means.
struct link_call {
    call_kind kind = call_kind::read;
    /// What fails together: the part that the call touches, or the feed that it follows.
    std::string scope{};
    std::string method{};
    /// Path with query.
    std::string target{};
    std::string body{};
    /// How long the store may hold the call back, for `follow`.
    base::milliseconds wait{0};
};

struct link_reply {
    net::delivery outcome = net::delivery::not_sent;
    std::uint16_t status = 0;
    std::string body{};
};

using link_handler = std::function<void(link_reply)>;

struct link_ports {
    const base::timers* time = nullptr;
    /// Makes the call from this VM.
    std::function<void(const link_call&, base::milliseconds timeout, link_handler)> direct{};
    /// Asks the VM at an address to make the call.
    std::function<void(const std::string& helper, const link_call&, base::milliseconds timeout,
                       link_handler)>
        through{};
    /// Addresses of VMs that may help, best first.
    std::function<std::vector<std::string>()> helpers{};
    /// A read without effect that shows whether the store serves a part.
    std::function<link_call(std::string_view part)> probe{};
};

struct link_counters {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t relayed = 0;
};

/// The way to the store: direct while it serves this VM, else through a VM that it serves. Each
/// part is judged by itself, since parts fail by themselves. Time-outs follow the answers' times,
/// so that a lost answer is noticed soon and a slow store is not taken for a silent one. While the
/// newest call went unanswered, a write waits for a read to be answered, since what is not sent can
/// be refused truthfully; while several parts are silent and none answers, all count as away. Load
/// pattern: a store that turns single VMs away, loses answers, is slow, or is gone for all, wholly
/// or in part.
class store_link
{
public:
    explicit store_link(link_ports ports);
    ~store_link();
    store_link(const store_link&) = delete;
    store_link& operator=(const store_link&) = delete;

    void send(const link_call& call, link_handler handler);

    /// Only on this VM's own way; what a helper does.
    void send_direct(const link_call& call, link_handler handler);

    /// True while the store serves this VM directly, as far as its calls show.
    [[nodiscard]] bool served() const;

    /// How long no call to this part has been served on any way; nothing while calls are served.
    [[nodiscard]] std::optional<base::milliseconds> away(std::string_view scope) const;

    [[nodiscard]] const link_counters& counters() const
    {
        return counters_;
    }
    /// Time-out of the next call of this kind, without the call's own wait.
    [[nodiscard]] base::milliseconds timeout(call_kind kind) const;

private:
    struct latency {
        double mean_ms = 0.0;
        double backoff = 1.0;
    };
    /// What the calls to one part have shown.
    struct scope_state {
        bool served = true;
        base::time_point next_direct{};
        bool trying_direct = false;
        /// First of the failures since the last served call.
        std::optional<base::time_point> failing_since{};
        std::uint32_t failures = 0;
        bool probing = false;
        std::string good_helper{};
        std::size_t next_helper = 0;
        base::time_point no_help_before{};
    };

    void note_answer(const link_call& call, const link_reply& reply, base::time_point sent);
    /// Notes whether a call was served in the end, on whichever way.
    void note_end(const std::string& scope, const link_reply& reply);
    /// Notes whether the store has answered on any way.
    void note_silence(const std::string& name, const link_reply& reply);
    void probe_soon(const std::string& scope);
    void send_either_way(const link_call& call, link_handler handler);
    /// Asks on the direct way, beside what goes through a helper, whether it is back.
    void try_direct_way(const std::string& name);
    /// Sends a write once a read has shown that the part answers; else refuses it unsent.
    void ask_first(const link_call& call, link_handler handler);
    void send_and_note(const link_call& call, link_handler handler);
    void help(const link_call& call, link_reply refused, link_handler handler);
    [[nodiscard]] std::string choose_helper(const scope_state& scope) const;
    [[nodiscard]] std::optional<base::milliseconds> away(const scope_state& scope) const;

    link_ports ports_;
    std::map<std::string, scope_state, std::less<>> scopes_{};
    /// Scopes with a call that went unanswered on every way since the store last answered any.
    std::set<std::string, std::less<>> silent_scopes_{};
    base::time_point silent_since_{};
    latency reads_{};
    latency writes_{};
    link_counters counters_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::store
