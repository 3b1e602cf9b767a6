#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// What ordinary clients and clients outside the limits send to a VM of the soak's site.
namespace poplarstile::soak
{

/// Body of a submission with one short task.
[[nodiscard]] std::string short_job(std::string_view job);

/// `fields` are further header fields, each with its end of line.
[[nodiscard]] std::string head_of(std::string_view method, std::string_view path,
                                  std::string_view fields);

/// Of a job that nobody else uses.
[[nodiscard]] std::string submission_path();

[[nodiscard]] std::string post_with_length(std::string_view path, std::size_t length);
[[nodiscard]] std::string whole_post(std::string_view path, std::string_view body);

/// A chunked submission without the chunk that ends it.
[[nodiscard]] std::string unended_tiny_chunks();

/// Bodies of a submission, as long as they may be.
[[nodiscard]] std::string empty_steps();
[[nodiscard]] std::string many_members();

/// Many calls without a body, one after the other.
[[nodiscard]] std::string pipelined(std::string_view method, std::string_view path);

/// Submissions whose body is one text that does not end.
[[nodiscard]] std::string pipelined_unended_texts();

/// A heartbeat without a sender that takes far more memory than it has bytes; empty when it can't
/// be encoded.
[[nodiscard]] std::string message_of_many_texts();

} // namespace poplarstile::soak
