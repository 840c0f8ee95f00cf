// Guards against addresses in settings and documents that crash a program or change when printed.

#include "settings/option_table.hpp"
#include "tests/fuzz/fuzz_target.hpp"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    const auto value = settings::socket_address::from_text(fuzz::to_text(data, size));
    if (value)
        fuzz::require(settings::socket_address::from_text(value->to_text()) == value);
    return 0;
}
