// Callers' submissions; what is read can be stored and read back the same.
#include "batch/job_codec.hpp"
#include "fuzz_input.hpp"
#include "platform/caller_port.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const auto text = fuzz::as_text(data, size);
    (void)batch::decode_job_row(text);
    (void)batch::decode_runs(text);
    auto spec = platform::decode_submission(text);
    if (!spec.has_value()) {
        return 0;
    }
    batch::submission job;
    job.job = "0000000000000001";
    job.spec = std::move(spec).value();
    const auto stored = batch::decode_job_row(batch::encode(job));
    fuzz::expect(stored.has_value());
    return 0;
}
