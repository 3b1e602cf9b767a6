#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>

/// The platform's row store: transactions, ranges and feeds over rows in memory. It serves every
/// call; a transaction takes a few milliseconds.
namespace rig
{

class store
{
public:
    store();

    /// Listens on a free port and returns it.
    int listen();

    /// What the operator or a worker writes; the value is plain text.
    void put(const std::string& table, const std::string& key, const std::string& value);

    /// A worker's registration. It goes after three intervals without another one.
    void beat(const std::string& worker, const std::string& entry, int interval_ms);

    /// When the newest registration of this worker was last handed out for the first time to a
    /// reader that follows the changes; 0 if it was to none.
    std::int64_t last_told(const std::string& worker);

private:
    struct stored {
        std::string value{};
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct registration {
        /// Without the parts that change with each heartbeat.
        std::string entry{};
        std::int64_t expires_ms = 0;
    };
    using row_key = std::tuple<std::string, std::string, std::string>;

    response answer(const request& asked);
    response transact(const request& asked);
    response range(const request& asked);
    response feed(const request& asked);
    void write(const row_key& key, const std::string& value, bool removed, std::uint64_t version);
    void expire_registrations();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, stored> rows_;
    std::map<std::string, registration> registrations_;
    /// By worker: the version of its registration, and when a reader got it last.
    std::map<std::string, std::pair<std::uint64_t, std::int64_t>> told_;
    std::uint64_t version_ = 1;
};

} // namespace rig
