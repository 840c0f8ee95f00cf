// Reads the reason of a refusal from the text of a JSON-RPC error.

#include "operators/agent_refusal.hpp"

#include <string_view>

namespace ospreystair::operators
{

namespace
{

std::optional<base::error_kind> kind_from_name(std::string_view name)
{
    for (int number = 1; number <= static_cast<int>(base::error_kind::internal); ++number)
        if (base::to_string(static_cast<base::error_kind>(number)) == name)
            return static_cast<base::error_kind>(number);
    return std::nullopt;
}

} // namespace

std::optional<base::error> refusal_from_text(const std::string& text)
{
    // Up to two texts of libjsonrpccpp precede the kind: its server and its client each add one.
    constexpr int max_parts = 3;
    std::string_view rest = text;
    for (int part = 0; part < max_parts; ++part)
    {
        const std::size_t colon = rest.find(": ");
        if (colon == std::string_view::npos)
            return std::nullopt;
        const auto kind = kind_from_name(rest.substr(0, colon));
        rest.remove_prefix(colon + 2);
        if (kind)
            return base::error{*kind, std::string(rest), std::nullopt};
    }
    return std::nullopt;
}

std::optional<base::error> read_refusal(int kind_number, const std::string& text)
{
    auto from_text = refusal_from_text(text);
    if (kind_number <= 0 || kind_number > static_cast<int>(base::error_kind::internal))
        return from_text;
    const auto kind = static_cast<base::error_kind>(kind_number);
    return base::error{kind, from_text ? from_text->message : text, std::nullopt};
}

} // namespace ospreystair::operators
