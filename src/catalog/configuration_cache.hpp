#pragma once

#include "base/result.hpp"
#include "base/timers.hpp"
#include "catalog/catalog.hpp"
#include "catalog/domain_drains.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplarstile::catalog
{

/// A configuration in its stored, encoded form.
struct stored_configuration {
    store::row_version version = 0;
    std::string document{};
};

/// The result of reading or following the stored configuration.
struct configuration_reply {
    store::call_outcome outcome = store::call_outcome::unknown;
    /// Empty if there is no newer configuration.
    std::optional<stored_configuration> newest{};
    /// The version to pass to the next `follow` call.
    store::row_version position = 0;
    /// True if there was no change, so that a `follow` call was answered only after its full wait.
    bool unchanged = false;
    /// Empty where the drains of failure domains are not read.
    std::optional<drain_report> drains{};
};

/// Access to the operator's configuration in the store. `follow` is a long poll: it replies when
/// there is a version after `after`, or once `wait` is over.
struct configuration_source {
    std::function<void(std::function<void(configuration_reply)>)> read{};
    std::function<void(store::row_version after, base::milliseconds wait,
                       std::function<void(configuration_reply)>)>
        follow{};
    std::function<base::result<contents>(std::string_view document)> decode{};
};

/// Caches the newest configuration that this VM has received, from the store or from another VM.
/// Versions never decrease. Tracks when it was last confirmed that no newer version existed.
class configuration_cache
{
public:
    configuration_cache(const configuration_source& source, const base::timers& time);
    ~configuration_cache();
    configuration_cache(const configuration_cache&) = delete;
    configuration_cache& operator=(const configuration_cache&) = delete;

    /// Starts following the configuration in the store.
    void start();

    /// Null until the first configuration has been received.
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
    /// Time since the configuration was last confirmed to be the newest; `milliseconds::max()` if
    /// it never was.
    [[nodiscard]] base::milliseconds age() const;

    /// Takes a configuration from another VM, or its confirmation that no newer version than
    /// `received.version` exists. `age` is the time since that VM's own last confirmation when it
    /// sent the message. Right after a suspension of this VM a message may have waited to be read
    /// for as long, so it confirms nothing.
    void receive_from_peer(const stored_configuration& received, base::milliseconds age);

    /// The failure domains that the operator drains.
    [[nodiscard]] const domain_drains& drains() const
    {
        return drains_;
    }
    /// Reads the configuration and the drains at once, beside the long poll. `on_reply` is told
    /// whether the store has served the read.
    void read_again(std::function<void(bool served)> on_reply);

    /// Called after each change of the current configuration.
    std::function<void()> on_change{};

private:
    void read();
    void follow();
    /// Applies a reply of the store: updates when the configuration was last confirmed, and
    /// activates a newer one. `wait` is the long-poll timeout of the call, zero for a read.
    void apply_reply(const configuration_reply& reply, base::time_point requested_at,
                     base::milliseconds wait);
    /// Notes at short intervals that this VM runs, to notice when it did not.
    void watch_for_suspension();
    /// True if messages may have waited to be read, because this VM was suspended until just now.
    [[nodiscard]] bool just_suspended() const;
    /// Makes a newer configuration current. Returns false if it can't be decoded or if its version
    /// is lower than the current one's.
    bool activate(const stored_configuration& newer, std::string_view origin);

    const configuration_source& source_;
    const base::timers& time_;
    catalog_ptr current_{};
    domain_drains drains_{};
    stored_configuration stored_{};
    store::row_version position_ = 0;
    std::optional<base::time_point> confirmed_at_{};
    /// When this VM last noted that it runs; empty before `start`.
    std::optional<base::time_point> running_at_{};
    std::optional<base::time_point> suspended_until_{};
    bool store_available_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::catalog
