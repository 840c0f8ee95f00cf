// Guards against views that crash a reader, or that change when they are passed on.

#include "configuration/view.hpp"
#include "tests/fuzz/fuzz_target.hpp"
#include "tests/fuzz/json_input.hpp"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    const auto input = fuzz::read_json(fuzz::to_text(data, size));
    if (!input)
        return 0;
    base::error reason;
    const auto value = configuration::view_from_json(*input, reason);
    if (!value)
        return 0;
    const auto again = configuration::view_from_json(configuration::to_json(*value), reason);
    fuzz::require(again && configuration::to_json(*again) == configuration::to_json(*value));
    return 0;
}
