#pragma once

#include "catalog/configuration_cache.hpp"

#include <string_view>
#include <utility>

namespace poplarstile::tests
{

/// A source that serves one configuration and never a newer one.
inline catalog::configuration_source fixed_configuration(catalog::contents contents)
{
    catalog::configuration_source source;
    source.read = [](const auto& handler) {
        handler({store::call_outcome::done, catalog::stored_configuration{1, "document"}, 1});
    };
    source.follow = [](store::row_version /*after*/, base::milliseconds /*wait*/,
                       const auto& /*handler*/) {};
    source.decode = [contents = std::move(contents)](std::string_view /*document*/) {
        return base::result<catalog::contents>{contents};
    };
    return source;
}

/// The queue `queue` at host.example/queue/, open to all callers.
inline catalog::contents one_open_queue()
{
    catalog::contents contents;
    contents.version = 1;
    catalog::queue queue;
    queue.policy.queue = "queue";
    queue.host = "host.example";
    queue.prefix = "/queue/";
    queue.open_to_all = true;
    contents.queues.push_back(queue);
    return contents;
}

} // namespace poplarstile::tests
