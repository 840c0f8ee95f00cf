// Guards against a claim object that crashes an entry, or from which a claim is lost when the
// object is written back.

#include "dispatch/claim_bucket.hpp"
#include "tests/fuzz/fuzz_target.hpp"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    base::error reason;
    const auto value = dispatch::claim_bucket::from_text(fuzz::to_text(data, size), reason);
    if (!value)
        return 0;
    const auto again = dispatch::claim_bucket::from_text(value->to_text(), reason);
    fuzz::require(again && again->to_text() == value->to_text());
    fuzz::require(again->size() == value->size());
    return 0;
}
