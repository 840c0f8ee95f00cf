// Recognises a reply that continues another one which was cut off.

#ifndef OSPREYSTAIR_HTTP_STATUS_LINE_HPP
#define OSPREYSTAIR_HTTP_STATUS_LINE_HPP

#include <string_view>

namespace ospreystair::http
{

/// Whether a reason phrase or the value of a header field contains the beginning of a status line.
/// A reply that was cut off in such a text and the next reply on the connection are parsed as one,
/// with the status of the first and the other fields of the second.
bool contains_status_line(std::string_view text);

/// The same for the text around each occurrence of `echo`, which the other side repeats from the
/// request.
bool contains_status_line(std::string_view text, std::string_view echo);

} // namespace ospreystair::http

#endif
