// Checks of status lines, and recognition of a reply that continues another one which was cut off.

#ifndef OSPREYSTAIR_HTTP_STATUS_LINE_HPP
#define OSPREYSTAIR_HTTP_STATUS_LINE_HPP

#include <string_view>

namespace ospreystair::http
{

/// Whether a status belongs to one of the five classes (RFC 9110, 15). Of others, not even the
/// framing of the reply is known.
constexpr bool is_valid_status(unsigned number)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return number >= first && number <= last;
}

/// Whether a reason phrase or the value of a header field contains the beginning of a status line.
/// A reply that was cut off in such a text and the next reply on the connection are parsed as one,
/// with the status of the first and the other fields of the second.
bool contains_status_line(std::string_view text);

/// The same for the text around each occurrence of `echo`, which the other side repeats from the
/// request.
bool contains_status_line(std::string_view text, std::string_view echo);

} // namespace ospreystair::http

#endif
