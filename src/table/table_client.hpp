#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "net/http_client.hpp"
#include "table/table.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::table
{

/// A VM as the platform lists it; the list lags.
struct listed_vm {
    std::string id;
    std::string failure_domain;
    std::string region;
    /// Peer address, `IP:port`.
    std::string address;
    bool leaving = false;
};

/// Reads the answer to `GET /vms`. Errors: `platform_unreachable`, `platform_answer_invalid`.
[[nodiscard]] base::result<std::vector<listed_vm>> read_vm_list(const net::http_reply& reply);

/// Reads the answer to a transaction. An answer that is not understood is `unknown`: the
/// transaction may have been applied.
[[nodiscard]] commit_result read_commit_answer(const net::http_reply& reply);

/// What this VM has asked of the platform; the table's budget is shared by all VMs.
struct platform_counters {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> transactions{0};
    std::atomic<std::uint64_t> failures{0};
};

/// The port to the platform: table, object store and VM list (docs/ASSUMPTIONS.md).
/// Handlers are called once, on the HTTP client's thread, and must not block.
class table_client
{
public:
    using row_handler = std::function<void(base::result<std::optional<table_row>>)>;
    using rows_handler = std::function<void(base::result<std::vector<table_row>>)>;
    using commit_handler = std::function<void(commit_result)>;
    using vms_handler = std::function<void(base::result<std::vector<listed_vm>>)>;
    using done_handler = std::function<void(base::result<void>)>;

    /// `client` must outlive this object; `address` is `IP:port`.
    table_client(net::http_client& client, std::string_view address,
                 base::milliseconds read_timeout, base::milliseconds write_timeout);

    /// Reads one row; nothing when it does not exist.
    void read(std::string_view key, row_handler on_row);

    /// Reads all rows with this prefix, page after page, in key order.
    /// The pages are separate reads: rows may change between them.
    void scan(std::string_view prefix, rows_handler on_rows);

    void transact(const table_transaction& transaction, commit_handler on_commit);

    void list_vms(vms_handler on_vms);

    void put_object(std::string_view name, std::string bytes, done_handler on_done);

    [[nodiscard]] const platform_counters& counters() const
    {
        return counters_;
    }

private:
    void scan_after(std::string prefix, const std::string& after, std::vector<table_row> found,
                    rows_handler on_rows);
    [[nodiscard]] net::http_call get(std::string_view path) const;

    net::http_client& client_;
    std::string base_url_;
    base::milliseconds read_timeout_;
    base::milliseconds write_timeout_;
    platform_counters counters_;
};

} // namespace poplarstile::table
