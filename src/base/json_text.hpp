#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace poplarstile::base
{

/// JSON from outside that is kept for a while, as its text: built, it may take thirty times as much
/// memory. An empty object by default.
class json_text
{
public:
    json_text() = default;
    explicit json_text(const nlohmann::json& value) : text_{value.dump()} {}

    /// Of a text that is known to be JSON, such as that of another `json_text`.
    [[nodiscard]] static json_text of_text(std::string text)
    {
        json_text made;
        made.text_ = std::move(text);
        return made;
    }

    [[nodiscard]] std::string_view text() const
    {
        return text_;
    }

    /// Built anew with each call; discarded where `of_text` was given something else.
    [[nodiscard]] nlohmann::json value() const
    {
        return nlohmann::json::parse(text_, nullptr, false);
    }

private:
    std::string text_ = "{}";
};

} // namespace poplarstile::base
