#include "standins/platform_standin/platform_service.hpp"

#include <charconv>

namespace poplarstile::standins::platform_standin
{
namespace
{

using poplarstile::table::commit_state;

constexpr std::size_t default_scan_limit = 1'000;
constexpr std::size_t max_scan_limit = 10'000;
constexpr std::size_t max_checker_rows = 1'000'000;
constexpr std::string_view objects_path = "/objects/";

base::microseconds steady_now()
{
    return std::chrono::duration_cast<base::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

std::size_t scan_limit(const net::http_request& request)
{
    const auto text = request.query_value("limit").value_or("");
    std::size_t limit = default_scan_limit;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return std::min(limit, max_scan_limit);
}

json row_json(const table_row& row)
{
    return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

json page_json(const table_page& page)
{
    json rows = json::array();
    for (const auto& row : page.rows) {
        rows.push_back(row_json(row));
    }
    return {{"rows", std::move(rows)}, {"more", page.more}};
}

table_transaction transaction_of(const json& body)
{
    table_transaction transaction;
    transaction.operation = body.value("operation", "");
    for (const auto& condition : body.value("conditions", json::array())) {
        transaction.conditions.push_back(
            {condition.at("key").get<std::string>(), condition.at("version").get<row_version>()});
    }
    for (const auto& write : body.value("writes", json::array())) {
        transaction.writes.push_back({write.at("key").get<std::string>(), write.at("value")});
    }
    return transaction;
}

net::http_response commit_response(const commit_result& result)
{
    if (result.state == commit_state::committed) {
        return json_response(200, {{"committed", true}, {"version", result.version}});
    }
    json conflicts = json::array();
    for (const auto& conflict : result.conflicts) {
        conflicts.push_back({{"key", conflict.key}, {"version", conflict.version}});
    }
    return json_response(409, {{"committed", false}, {"conflicts", std::move(conflicts)}});
}

outage outage_of(const json& down)
{
    if (down.is_string()) {
        return down == "refuse" ? outage::refusing : outage::none;
    }
    return down.get<bool>() ? outage::silent : outage::none;
}

} // namespace

platform_service::platform_service(const platform_options& options)
    : options_{options}, transact_bucket_{options.transact_rate}, read_bucket_{options.read_rate}
{
}

void platform_service::stop()
{
    timer_.stop();
}

void platform_service::handle(const net::http_request& request,
                              const net::http_responder& responder)
{
    net::http_response response;
    base::milliseconds delay{0};
    bool lose_answer = false;
    try {
        const std::lock_guard lock{mutex_};
        if (request.path.starts_with("/control/") || request.path == "/healthz") {
            response = handle_control(request);
        } else {
            response = handle_service(request, lose_answer);
            delay = faults_.delay;
        }
    } catch (const json::exception& failure) {
        response = json_response(400, {{"error", failure.what()}});
    }
    if (lose_answer) {
        return;
    }
    if (delay.count() == 0) {
        responder.send(std::move(response));
        return;
    }
    timer_.at(timer_thread::clock::now() + delay,
              [responder, response = std::move(response)] { responder.send(response); });
}

net::http_response platform_service::handle_control(const net::http_request& request)
{
    if (request.path == "/healthz") {
        return json_response(200, {{"ready", true}});
    }
    if (request.path == "/control/counters") {
        return counters();
    }
    if (request.path == "/control/rows") {
        const auto prefix = request.query_value("prefix").value_or("");
        return json_response(200, page_json(table_.scan(prefix, "", max_checker_rows)));
    }
    const auto body = parse_object(request.body);
    if (!body) {
        return json_response(400, {{"error", "the body is not a JSON object"}});
    }
    if (request.path == "/control/faults") {
        return set_faults(*body);
    }
    if (request.path == "/control/vms") {
        const auto lag = vm_lists_.empty() ? base::milliseconds{0} : options_.vm_list_lag;
        vm_lists_.push_back({steady_now() + lag, body->at("vms")});
        return json_response(200, json::object());
    }
    return json_response(404, {{"error", "unknown control path"}});
}

net::http_response platform_service::set_faults(const json& body)
{
    platform_faults faults = faults_;
    if (body.contains("down")) {
        faults.down = outage_of(body.at("down"));
    }
    faults.delay = base::milliseconds{body.value("delay_ms", faults.delay.count())};
    faults.lose_answers = body.value("lose_answers", faults.lose_answers);
    if (body.contains("seed")) {
        random_.seed(body.at("seed").get<std::uint64_t>());
    }
    faults_ = faults;
    return json_response(200, json::object());
}

net::http_response platform_service::counters() const
{
    return json_response(200, {{"transactions", counters_.transactions},
                               {"reads", counters_.reads},
                               {"conflicts", counters_.conflicts},
                               {"refused", counters_.refused},
                               {"lost_answers", counters_.lost_answers},
                               {"unanswered", counters_.unanswered}});
}

net::http_response platform_service::handle_service(const net::http_request& request,
                                                    bool& lose_answer)
{
    if (faults_.down == outage::silent) {
        ++counters_.unanswered;
        lose_answer = true;
        return {};
    }
    if (faults_.down == outage::refusing) {
        ++counters_.refused;
        return refusal("down", 503);
    }
    if (request.path == "/table/transact" && request.method == "POST") {
        return transact(request, lose_answer);
    }
    const bool is_write = request.method == "PUT";
    const bool admitted = is_write ? transact_bucket_.take(steady_now()) : admit_read();
    if (!admitted) {
        ++counters_.refused;
        return refusal("rate", 429);
    }
    if (request.path == "/table/row") {
        return read_row(request);
    }
    if (request.path == "/table/scan") {
        return scan(request);
    }
    if (request.path == "/vms") {
        return vm_list();
    }
    if (request.path.starts_with("/objects")) {
        return objects(request);
    }
    return json_response(404, {{"error", "unknown path"}});
}

bool platform_service::admit_read()
{
    if (!read_bucket_.take(steady_now())) {
        return false;
    }
    ++counters_.reads;
    return true;
}

net::http_response platform_service::transact(const net::http_request& request, bool& lose_answer)
{
    const auto body = parse_object(request.body);
    if (!body) {
        return json_response(400, {{"error", "the body is not a JSON object"}});
    }
    const auto transaction = transaction_of(*body);
    if (!transact_bucket_.take(steady_now())) {
        ++counters_.refused;
        return refusal("rate", 429);
    }
    ++counters_.transactions;
    const auto result = table_.transact(transaction);
    if (result.state == commit_state::conflict) {
        ++counters_.conflicts;
    }
    if (std::uniform_real_distribution{0.0, 1.0}(random_) < faults_.lose_answers) {
        ++counters_.lost_answers;
        lose_answer = true;
    }
    return commit_response(result);
}

net::http_response platform_service::read_row(const net::http_request& request)
{
    const auto row = table_.read(request.query_value("key").value_or(""));
    if (!row) {
        return json_response(404, {{"error", "no such row"}});
    }
    return json_response(200, row_json(*row));
}

net::http_response platform_service::scan(const net::http_request& request)
{
    const auto prefix = request.query_value("prefix").value_or("");
    const auto after = request.query_value("after").value_or("");
    return json_response(200, page_json(table_.scan(prefix, after, scan_limit(request))));
}

net::http_response platform_service::objects(const net::http_request& request)
{
    if (!request.path.starts_with(objects_path)) {
        const auto prefix = request.query_value("prefix").value_or("");
        json names = json::array();
        for (auto object = objects_.lower_bound(prefix);
             object != objects_.end() && object->first.starts_with(prefix); ++object) {
            names.push_back(object->first);
        }
        return json_response(200, {{"names", std::move(names)}});
    }
    const auto name = net::url_decode(std::string_view{request.path}.substr(objects_path.size()));
    if (request.method == "PUT") {
        objects_[name] = request.body;
        return json_response(200, json::object());
    }
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        return json_response(404, {{"error", "no such object"}});
    }
    return {.status = 200,
            .headers = {},
            .body = found->second,
            .content_type = "application/octet-stream"};
}

net::http_response platform_service::vm_list()
{
    const auto now = steady_now();
    while (vm_lists_.size() > 1 && vm_lists_.at(1).visible_at <= now) {
        vm_lists_.erase(vm_lists_.begin());
    }
    const json vms = vm_lists_.empty() ? json::array() : vm_lists_.front().vms;
    return json_response(200, {{"vms", vms}});
}

} // namespace poplarstile::standins::platform_standin
