#include "store/lease_record.hpp"

#include <nlohmann/json.hpp>

#include <exception>

namespace poplarstile::store
{

bool same_holder(const lease_record& one, const lease_record& other)
{
    return one.holder == other.holder && one.holder_born == other.holder_born;
}

row_id lease_row(std::string_view part)
{
    return {"lease", std::string{part}, "leader"};
}

std::string encode(const lease_record& record)
{
    return nlohmann::json{{"holder", record.holder},
                          {"life", record.holder_born},
                          {"address", record.address},
                          {"epoch", record.epoch},
                          {"commit", record.commit}}
        .dump();
}

base::result<lease_record> decode_lease(std::string_view text)
{
    try {
        const auto object = nlohmann::json::parse(text);
        return lease_record{
            object.at("holder").get<std::string>(), object.at("life").get<std::uint64_t>(),
            object.at("address").get<std::string>(), object.at("epoch").get<std::uint64_t>(),
            object.at("commit").get<std::uint64_t>()};
    } catch (const std::exception& failure) {
        return base::error{base::error_code::platform_answer_invalid, "lease row", failure.what(),
                           ""};
    }
}

} // namespace poplarstile::store
