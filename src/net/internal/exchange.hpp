#pragma once

#include "net/http_client.hpp"

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string>

/// One HTTP exchange as libcurl sees it, shared by both clients.
namespace poplarstile::net::internal
{

struct easy_deleter {
    void operator()(CURL* handle) const
    {
        curl_easy_cleanup(handle);
    }
};
struct multi_deleter {
    void operator()(CURLM* handle) const
    {
        curl_multi_cleanup(handle);
    }
};
struct list_deleter {
    void operator()(curl_slist* list) const
    {
        curl_slist_free_all(list);
    }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using multi_handle = std::unique_ptr<CURLM, multi_deleter>;
using header_list = std::unique_ptr<curl_slist, list_deleter>;

/// One exchange under way: what the library's callbacks read and write.
struct exchange {
    http_call call;
    /// What the URL names before its path, if the client keeps calls waiting by it.
    std::string target{};
    http_client::reply_handler on_reply;
    http_reply reply;
    easy_handle easy;
    header_list headers;
    std::size_t body_offset = 0;
    /// Set when the library first asks for the body, which is before the first byte leaves.
    bool body_asked = false;
};

/// Prepares the library once for the process.
[[nodiscard]] base::result<void> prepare_library();

/// Makes a handle for any number of exchanges, one after the other, with the options that are the
/// same for all. `proxy` is `host:port` or empty.
[[nodiscard]] easy_handle make_handle(const std::string& proxy);

/// Hands the call of `current` to its easy handle. Each option that an earlier exchange of the
/// handle may have set is set again.
void set_options(exchange& current);

/// Fills the reply of `current` from what the library knows at its end.
void read_transfer_facts(exchange& current, CURLcode code);

} // namespace poplarstile::net::internal
