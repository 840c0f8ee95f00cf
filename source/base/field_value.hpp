// Check of texts that go into header fields.

#ifndef OSPREYSTAIR_BASE_FIELD_VALUE_HPP
#define OSPREYSTAIR_BASE_FIELD_VALUE_HPP

#include <algorithm>
#include <string_view>

namespace ospreystair::base
{

/// Whether a text arrives unchanged as the value of a header field. A control character could end
/// the field and add others; blanks at either end are lost on the way.
inline bool is_field_value(std::string_view text)
{
    const auto is_control = [](char each)
    {
        constexpr unsigned char first_printable = 0x20;
        constexpr unsigned char delete_character = 0x7f;
        const auto value = static_cast<unsigned char>(each);
        return value < first_printable || value == delete_character;
    };
    return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
           std::none_of(text.begin(), text.end(), is_control);
}

} // namespace ospreystair::base

#endif
