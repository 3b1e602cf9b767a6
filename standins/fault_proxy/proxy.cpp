#include "standins/fault_proxy/proxy.hpp"

#include "standins/fault_proxy/tunnel.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <fmt/format.h>

#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace poplarstile::standins::fault_proxy
{
namespace
{

constexpr base::milliseconds reopen_retry{50};

/// A listening port; an empty target means that connections name theirs by HTTP CONNECT.
struct listener {
    std::string name{};
    std::string target{};
    asio::ip::tcp::endpoint endpoint{};
    asio::ip::tcp::acceptor acceptor;
};

} // namespace

struct proxy::implementation {
    explicit implementation(const proxy_config& config) : links{config.targets} {}

    void listen(const std::string& address, std::string name, std::uint16_t port,
                std::string target)
    {
        const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(address), port};
        auto added = std::make_unique<listener>(listener{
            .name = std::move(name),
            .target = std::move(target),
            .acceptor = asio::ip::tcp::acceptor{context, endpoint, true},
        });
        added->endpoint = added->acceptor.local_endpoint();
        accept(*added);
        listeners.push_back(std::move(added));
    }

    /// A port that leads to one target does not listen while its link refuses.
    void open_and_close_ports()
    {
        bool failed = false;
        for (const auto& each : listeners) {
            if (each->target.empty()) {
                continue;
            }
            const auto kind = links.fault_of({each->name, links.target_name(each->target)}).kind;
            const bool refuses = kind == fault_kind::refuse;
            std::error_code ignored;
            if (refuses && each->acceptor.is_open()) {
                each->acceptor.close(ignored);
            } else if (!refuses && !each->acceptor.is_open()) {
                failed = !reopen(*each) || failed;
            }
        }
        if (failed) {
            reopening.expires_after(reopen_retry);
            reopening.async_wait([this](std::error_code failure) {
                if (!failure) {
                    open_and_close_ports();
                }
            });
        }
    }

    bool reopen(listener& closed)
    {
        try {
            closed.acceptor = asio::ip::tcp::acceptor{context, closed.endpoint, true};
        } catch (const std::system_error&) {
            return false;
        }
        accept(closed);
        return true;
    }

    void accept(listener& from)
    {
        from.acceptor.async_accept(
            [this, &from](std::error_code failure, asio::ip::tcp::socket socket) {
                if (failure == asio::error::operation_aborted) {
                    return;
                }
                if (!failure) {
                    begin(from, std::move(socket));
                }
                accept(from);
            });
    }

    void begin(const listener& from, asio::ip::tcp::socket socket)
    {
        const auto started = tunnel::create(
            std::move(socket), from.name, links,
            [this](const std::shared_ptr<tunnel>& closed) { tunnels.erase(closed); });
        tunnels.insert(started);
        if (from.target.empty()) {
            started->start_connect();
        } else {
            started->start_forward(from.target);
        }
    }

    void apply_to_all()
    {
        // A tunnel that closes leaves the set, so a copy is walked.
        const std::vector<std::shared_ptr<tunnel>> all{tunnels.begin(), tunnels.end()};
        for (const auto& each : all) {
            each->apply_fault();
        }
    }

    void set_fault(const link_rule& rule)
    {
        links.set(rule);
        if (rule.fault.kind == fault_kind::silence_open) {
            for (const auto& each : tunnels) {
                each->silence(rule);
            }
        }
        open_and_close_ports();
        apply_to_all();
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    link_table links;
    std::vector<std::unique_ptr<listener>> listeners;
    std::set<std::shared_ptr<tunnel>> tunnels;
    asio::steady_timer reopening{context};
    std::thread thread;
};

proxy::proxy(std::unique_ptr<implementation> impl) : impl_{std::move(impl)} {}

base::result<std::unique_ptr<proxy>> proxy::start(const std::string& address,
                                                  const proxy_config& config)
{
    auto impl = std::make_unique<implementation>(config);
    std::string place;
    try {
        for (const auto& source : config.sources) {
            place = fmt::format("{}:{}", address, source.port);
            impl->listen(address, source.name, source.port, "");
        }
        for (const auto& forward : config.forwards) {
            place = fmt::format("{}:{}", address, forward.port);
            impl->listen(address, forward.name, forward.port, forward.target);
        }
    } catch (const std::system_error& failure) {
        return base::error{base::error_code::listen_failed, place, failure.what(), ""};
    }
    auto* const raw = impl.get();
    impl->thread = std::thread{[raw] { raw->context.run(); }};
    return std::unique_ptr<proxy>{new proxy{std::move(impl)}};
}

proxy::~proxy()
{
    impl_->context.stop();
    impl_->thread.join();
}

void proxy::set_fault(link_rule rule, std::function<void()> done)
{
    asio::post(impl_->context, [this, rule = std::move(rule), done = std::move(done)] {
        impl_->set_fault(rule);
        done();
    });
}

void proxy::heal(std::function<void()> done)
{
    asio::post(impl_->context, [this, done = std::move(done)] {
        impl_->links.heal();
        impl_->open_and_close_ports();
        impl_->apply_to_all();
        done();
    });
}

void proxy::report(std::function<void(json)> done)
{
    asio::post(impl_->context, [this, done = std::move(done)] { done(impl_->links.to_json()); });
}

std::uint16_t proxy::port_of(const std::string& name) const
{
    for (const auto& each : impl_->listeners) {
        if (each->name == name) {
            return each->endpoint.port();
        }
    }
    return 0;
}

} // namespace poplarstile::standins::fault_proxy
