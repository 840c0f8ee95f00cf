// Text form of outcomes.

#include "dispatch/outcome.hpp"

namespace ospreystair::dispatch
{

std::string_view to_string(outcome value)
{
    switch (value)
    {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::optional<outcome> outcome_from_text(std::string_view text)
{
    for (const outcome value : {outcome::ran, outcome::not_run, outcome::unknown})
        if (to_string(value) == text)
            return value;
    return std::nullopt;
}

} // namespace ospreystair::dispatch
