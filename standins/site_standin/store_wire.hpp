#pragma once

#include "net/http_message.hpp"
#include "store/row_store.hpp"

#include <functional>
#include <optional>
#include <string>

/// The store's side of the protocol that `platform/store_client.hpp` speaks.
namespace poplarstile::standins::site_standin
{

/// Nothing when the body is no transaction.
[[nodiscard]] std::optional<store::transaction> decode_transaction(const std::string& body);

[[nodiscard]] store::read_range decode_range(const net::http_request& request);

[[nodiscard]] store::feed_request decode_feed_request(const net::http_request& request);

/// Nothing where the store gives no answer.
[[nodiscard]] std::optional<net::http_response> encode_reply(const store::commit_reply& reply);
[[nodiscard]] std::optional<net::http_response> encode_reply(const store::read_reply& reply);
[[nodiscard]] std::optional<net::http_response> encode_reply(const store::feed_reply& reply);

} // namespace poplarstile::standins::site_standin
