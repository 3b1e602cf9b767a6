#pragma once

#include "fleet/worker_orders.hpp"
#include "support/virtual_time.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarstile::tests
{

/// The link of a VM to the workers, which sends one byte after the other: orders wait for the bytes
/// of earlier ones, given up or not.
class thin_link
{
public:
    thin_link(virtual_time& time, std::size_t bytes_per_s) : time_{time}, bytes_per_s_{bytes_per_s}
    {
    }

    /// The orders as they pass over this link, which outlives them.
    [[nodiscard]] fleet::worker_orders over(const fleet::worker_orders& orders)
    {
        fleet::worker_orders made;
        made.start = [this, orders](const fleet::start_order& order, auto reply) {
            ++starts_;
            pass<fleet::order_reply>(
                header_bytes + order.payload.size(), fleet::order_timeout, std::move(reply),
                [orders, order](auto handler) { orders.start(order, std::move(handler)); });
        };
        made.stop = [this, orders](const fleet::stop_order& order, auto reply) {
            ++stops_;
            pass<fleet::order_reply>(
                header_bytes, fleet::order_timeout, std::move(reply),
                [orders, order](auto handler) { orders.stop(order, std::move(handler)); });
        };
        made.look = [this, orders](const fleet::look_order& order, auto reply) {
            pass<fleet::look_reply>(
                header_bytes, order.wait + order.margin, std::move(reply),
                [orders, order](auto handler) { orders.look(order, std::move(handler)); });
        };
        return made;
    }

    [[nodiscard]] std::size_t starts() const
    {
        return starts_;
    }
    [[nodiscard]] std::size_t stops() const
    {
        return stops_;
    }

private:
    static constexpr std::size_t header_bytes = 300;

    template <class Reply>
    void pass(std::size_t bytes, base::milliseconds timeout, std::function<void(Reply)> reply,
              std::function<void(std::function<void(Reply)>)> deliver)
    {
        const auto now = time_.now();
        const base::microseconds sending{bytes * 1'000'000 / bytes_per_s_};
        free_at_ = std::max(free_at_, now) + sending;
        auto answered = std::make_shared<bool>(false);
        const auto once = [answered, reply = std::move(reply)](Reply answer) {
            if (!std::exchange(*answered, true)) {
                reply(std::move(answer));
            }
        };
        time_.after(timeout, [once] { once({}); });
        const auto delay = std::chrono::ceil<base::milliseconds>(free_at_ - now);
        time_.after(delay, [deliver = std::move(deliver), once] { deliver(once); });
    }

    virtual_time& time_;
    std::size_t bytes_per_s_;
    base::time_point free_at_{};
    std::size_t starts_ = 0;
    std::size_t stops_ = 0;
};

} // namespace poplarstile::tests
