// Comparison of operator credentials.

#ifndef OSPREYSTAIR_CONFIGURATION_CREDENTIAL_HPP
#define OSPREYSTAIR_CONFIGURATION_CREDENTIAL_HPP

#include <cstddef>
#include <string_view>

namespace ospreystair::configuration
{

/// Whether `given` equals `expected`. The run time depends only on the length of `given`, so that
/// it reveals nothing about `expected`. An empty `expected` matches nothing.
inline bool is_credential_valid(std::string_view expected, std::string_view given)
{
    if (expected.empty())
        return false;
    // `volatile` prevents the compiler from leaving the loop at the first difference.
    volatile unsigned char difference = expected.size() == given.size() ? 0 : 1;
    for (std::size_t index = 0; index < given.size(); ++index)
    {
        const auto left = static_cast<unsigned char>(expected[index % expected.size()]);
        const auto right = static_cast<unsigned char>(given[index]);
        difference = static_cast<unsigned char>(difference | (left ^ right));
    }
    return difference == 0;
}

} // namespace ospreystair::configuration

#endif
