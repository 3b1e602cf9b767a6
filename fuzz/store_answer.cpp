// The store's answers, workers' registrations and the configuration in them. Input: one character
// for the status, then the body.
#include "fuzz_input.hpp"
#include "platform/configuration.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_entry.hpp"

namespace
{

using namespace poplarstile;

/// A link whose every call gets the one answer at once.
std::unique_ptr<store::store_link> make_link(const base::timers& time,
                                             const store::link_reply& answer)
{
    store::link_ports ports;
    ports.time = &time;
    ports.direct = [&answer](const store::link_call& /*call*/, base::milliseconds /*timeout*/,
                             const store::link_handler& handler) { handler(answer); };
    ports.through = [](const std::string& /*helper*/, const store::link_call& /*call*/,
                       base::milliseconds /*timeout*/, const store::link_handler& handler) {
        handler({net::delivery::lost, 0, {}});
    };
    ports.probe = platform::make_probe;
    ports.helpers = [] { return std::vector<std::string>{}; };
    return std::make_unique<store::store_link>(std::move(ports));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::uint16_t statuses[] = {200, 410, 412, 429, 503};
    const auto text = fuzz::as_text(data, size);
    if (text.empty()) {
        return 0;
    }
    base::timers time;
    time.now = [] { return base::time_point{std::chrono::seconds{100}}; };
    time.unix_ms = [] { return std::int64_t{1'790'000'000'000}; };
    time.after = [](base::milliseconds /*delay*/, const std::function<void()>& /*action*/) {};
    const auto status = statuses[static_cast<std::uint8_t>(text.front()) % 5U];
    const std::string body{text.substr(1)};
    const store::link_reply answer{net::delivery::answered, status, body};
    const auto link = make_link(time, answer);
    const auto rows = platform::make_row_store(*link);
    rows.commit({}, [](const store::commit_reply& /*reply*/) {});
    rows.read({"t", "p", {}, {}, 0}, [](const store::read_reply& /*reply*/) {});
    const auto directory = platform::make_worker_directory(rows);
    directory.follow(1, base::milliseconds{0}, [](const fleet::directory_reply& /*reply*/) {});
    const auto source = platform::make_configuration_source(
        rows, platform::operator_rows::configuration_and_drains);
    source.read([](const catalog::configuration_reply& /*reply*/) {});
    source.follow(1, base::milliseconds{0}, [](const catalog::configuration_reply& /*reply*/) {});
    (void)platform::decode_configuration(body);
    const auto entry = platform::decode_worker_entry("w", body);
    fuzz::expect(entry.facts.has_value() != !entry.fault.empty());
    return 0;
}
