#pragma once

#include "base/result.hpp"
#include "base/timers.hpp"
#include "catalog/catalog.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplarstile::catalog
{

/// A configuration as the store holds it.
struct stored_configuration {
    store::row_version version = 0;
    std::string document{};
};

struct configuration_reply {
    store::call_outcome outcome = store::call_outcome::unknown;
    /// Nothing when there is no newer one.
    std::optional<stored_configuration> newest{};
    /// Where to go on following.
    store::row_version position = 0;
};

/// The port to the operator's configuration.
struct configuration_source {
    std::function<void(std::function<void(configuration_reply)>)> read{};
    std::function<void(store::row_version after, base::milliseconds wait,
                       std::function<void(configuration_reply)>)>
        follow{};
    std::function<base::result<contents>(std::string_view document)> decode{};
};

/// Holds the newest configuration that this VM has heard of, from the store or from another VM.
/// Versions never go back. Knows how old the proof is that nothing newer was accepted.
class configuration_cache
{
public:
    configuration_cache(const configuration_source& source, const base::timers& time);
    ~configuration_cache();
    configuration_cache(const configuration_cache&) = delete;
    configuration_cache& operator=(const configuration_cache&) = delete;

    /// Begins to follow the store.
    void start();

    /// Null before the first configuration is known.
    [[nodiscard]] catalog_ptr current() const
    {
        return current_;
    }
    [[nodiscard]] store::row_version version() const
    {
        return stored_.version;
    }
    [[nodiscard]] const stored_configuration& stored() const
    {
        return stored_;
    }
    /// Time since this VM last knew that it has the newest configuration.
    [[nodiscard]] base::milliseconds age() const;

    /// A configuration, or the news that there is none newer than `version`, from another VM whose
    /// own proof is `age` old.
    void receive_from_peer(const stored_configuration& told, base::milliseconds age);

    /// Told after each change.
    std::function<void()> on_change{};

private:
    void read();
    void follow();
    void take(const configuration_reply& reply, base::time_point asked, base::milliseconds wait);
    bool adopt(const stored_configuration& newer, std::string_view origin);

    const configuration_source& source_;
    const base::timers& time_;
    catalog_ptr current_{};
    stored_configuration stored_{};
    store::row_version position_ = 0;
    std::optional<base::time_point> confirmed_at_{};
    bool store_answers_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::catalog
