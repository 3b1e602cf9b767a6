#pragma once

#include "fleet/worker_orders.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// A worker's side of the protocol that `platform/worker_client.hpp` speaks.
namespace poplarstile::standins::site_standin
{

using worker_order = std::variant<fleet::start_order, fleet::stop_order, fleet::look_order>;

/// The order in a request to the worker `id`; nothing when it is none.
[[nodiscard]] std::optional<worker_order> decode_order(const std::string& id,
                                                       const net::http_request& request);

/// True when the request names another worker than `id`.
[[nodiscard]] bool is_for_another(const std::string& id, const net::http_request& request);

/// Nothing where the worker gives no answer.
[[nodiscard]] std::optional<net::http_response> encode_reply(const fleet::order_reply& reply);
[[nodiscard]] std::optional<net::http_response> encode_reply(const fleet::look_reply& reply);

/// A worker's registration. `sequence` counts its renewals.
[[nodiscard]] std::string encode_entry(const fleet::worker_facts& facts, std::uint64_t sequence);

/// The registration with another address; unreadable text stays as it is.
[[nodiscard]] std::string with_address(const std::string& entry, const std::string& address);

} // namespace poplarstile::standins::site_standin
