#include "docs/page_text.hpp"
#include "net/http_client.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <optional>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char** environ;

namespace poplarstile::docs
{
namespace
{

using nlohmann::json;

constexpr int first_port = 25'300;
constexpr int platform_port = first_port;
constexpr int control_port = first_port + 1;
constexpr int caller_port = first_port + 2;
constexpr int operator_port = first_port + 4;
constexpr int first_worker_port = first_port + 10;
constexpr int workers = 4;
constexpr base::milliseconds patience{15'000};
constexpr base::milliseconds between_tries{50};
constexpr std::string_view operator_key = "reference-operator-key";

/// A program of the project, ended with the test.
class running_program
{
public:
    running_program(const std::string& name, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), POPLARSTILE_BINARY_DIR "/bin/" + name);
        std::vector<char*> pointers;
        pointers.reserve(arguments.size() + 1);
        for (auto& argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        if (posix_spawn(&id_, pointers.front(), nullptr, nullptr, pointers.data(), environ) != 0) {
            id_ = 0;
        }
    }
    ~running_program()
    {
        if (id_ > 0) {
            kill(id_, SIGKILL);
            waitpid(id_, nullptr, 0);
        }
    }
    running_program(const running_program&) = delete;
    running_program& operator=(const running_program&) = delete;

private:
    pid_t id_ = 0;
};

struct example {
    net::http_call call{};
    int status = 0;
    json answer{};
};

/// The examples of the page in their order.
std::vector<example> read_examples(const std::string& page)
{
    std::vector<example> examples;
    const std::regex pair{
        R"re(```http\n([A-Z]+) (\S+)\n([^`]*)```\n```answer\n(\d+) ([^`]*)```)re"};
    for (std::sregex_iterator at{page.begin(), page.end(), pair}; at != std::sregex_iterator{};
         ++at) {
        example one{.status = std::stoi((*at)[4].str()), .answer = json::parse((*at)[5].str())};
        one.call.method = (*at)[1].str();
        one.call.url = fmt::format("http://127.0.0.1:{}{}", caller_port, (*at)[2].str());
        one.call.timeout = patience;
        std::istringstream lines{(*at)[3].str()};
        std::string line;
        while (std::getline(lines, line) && !line.empty()) {
            const auto colon = line.find(": ");
            one.call.headers.push_back({line.substr(0, colon), line.substr(colon + 2)});
        }
        std::getline(lines, one.call.body);
        examples.push_back(std::move(one));
    }
    return examples;
}

/// What `actual` lacks of `expected`, where `"..."` stands for any value; empty when nothing.
std::string difference(const json& expected, const json& actual, const std::string& where)
{
    if (expected == "...") {
        return {};
    }
    if (!expected.is_object()) {
        return expected == actual ? "" : where + ": " + actual.dump() + ", not " + expected.dump();
    }
    for (const auto& [name, value] : expected.items()) {
        if (!actual.is_object() || !actual.contains(name)) {
            return fmt::format("{}.{} is missing in {}", where, name, actual.dump());
        }
        const auto place = fmt::format("{}.{}", where, name);
        if (auto found = difference(value, actual[name], place); !found.empty()) {
            return found;
        }
    }
    return {};
}

/// The platform, four workers and one VM with the rules that the page names.
class reference_examples : public testing::Test
{
protected:
    void SetUp() override
    {
        write_files();
        platform_.emplace("platform_standin", std::vector{fmt::format("--port={}", platform_port)});
        workers_.emplace("worker_standin", std::vector{"--config=" + file("workers.json")});
        vm_.emplace("poplarstiled", std::vector{"--settings=" + file("settings.json")});
        ASSERT_TRUE(answers_200(operator_port, "/healthz")) << "the VM did not start";
        const json proposal{{"author", "test"},
                            {"base_version", 0},
                            {"operation", "reference-1"},
                            {"text", "class preview # asked by: test\n"
                                     "class print_sheet not_idempotent # asked by: test\n"
                                     "class render # asked by: test\n"
                                     "workspace kit-shops share 1 # asked by: test\n"}};
        const auto applied = client_->send_and_wait(
            {.method = "POST",
             .url = fmt::format("http://127.0.0.1:{}/v1/rules", operator_port),
             .headers = {{"Authorization", fmt::format("Bearer {}", operator_key)}},
             .body = proposal.dump(),
             .timeout = patience});
        ASSERT_EQ(applied.status, 200) << applied.body;
        ASSERT_TRUE(answers_200(caller_port, "/readyz")) << "the VM takes no work";
    }

    [[nodiscard]] bool answers_200(int port, const std::string& path) const
    {
        const auto until = base::now() + patience;
        while (base::now() < until) {
            const auto reply =
                client_->send_and_wait({.url = fmt::format("http://127.0.0.1:{}{}", port, path)});
            if (reply.status == 200) {
                return true;
            }
            std::this_thread::sleep_for(between_tries);
        }
        return false;
    }

    std::unique_ptr<net::http_client> client_ = net::http_client::start({}).value();

private:
    static std::string file(const std::string& name)
    {
        return POPLARSTILE_BINARY_DIR "/reference_examples_" + name;
    }

    static void write_files()
    {
        json known = json::array();
        json hosted = json::array();
        for (int index = 0; index < workers; ++index) {
            const auto id = fmt::format("w-{}", index);
            const int port = first_worker_port + index;
            known.push_back({{"id", id},
                             {"address", fmt::format("127.0.0.1:{}", port)},
                             {"rack", "rack-1"},
                             {"position", index}});
            hosted.push_back({{"id", id},
                              {"failure_domain", "centro"},
                              {"rack", "rack-1"},
                              {"position", index},
                              {"port", port}});
        }
        std::ofstream{file("workers.json")}
            << json{{"control_port", control_port}, {"workers", hosted}};
        std::ofstream{file("settings.json")}
            << json{{"vm", {{"id", "vm-1"}, {"failure_domain", "centro"}, {"region", "chile"}}},
                    {"listen",
                     {{"caller_port", caller_port},
                      {"peer_port", first_port + 3},
                      {"operator_port", operator_port}}},
                    {"platform", {{"address", fmt::format("127.0.0.1:{}", platform_port)}}},
                    {"operator_key", operator_key},
                    {"workers", known},
                    {"peers", json::array()}};
    }

    std::optional<running_program> platform_;
    std::optional<running_program> workers_;
    std::optional<running_program> vm_;
};

TEST_F(reference_examples, are_answered_as_the_page_says)
{
    const auto examples = read_examples(text_of("docs/REFERENCE.md"));

    ASSERT_GT(examples.size(), 5U) << "the page's examples were not found";
    for (const auto& one : examples) {
        const auto reply = client_->send_and_wait(one.call);
        EXPECT_EQ(reply.status, one.status) << one.call.method << ' ' << one.call.url << '\n'
                                            << reply.body;
        EXPECT_EQ(difference(one.answer, json::parse(reply.body, nullptr, false), "answer"), "")
            << one.call.method << ' ' << one.call.url;
    }
}

} // namespace
} // namespace poplarstile::docs
