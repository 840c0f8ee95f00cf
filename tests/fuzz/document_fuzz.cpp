// Guards against configuration documents that crash a reader, or that change when they are passed
// on.

#include "configuration/document.hpp"
#include "tests/fuzz/fuzz_target.hpp"
#include "tests/fuzz/json_input.hpp"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    const auto input = fuzz::read_json(fuzz::to_text(data, size));
    if (!input)
        return 0;
    base::error reason;
    const auto value = configuration::document_from_json(*input, reason);
    if (!value)
        return 0;
    const auto again = configuration::document_from_json(configuration::to_json(*value), reason);
    fuzz::require(again && *again == *value);
    return 0;
}
