// Output of commands as text for a terminal.

#ifndef OSPREYSTAIR_OPERATORS_OUTPUT_FORMAT_HPP
#define OSPREYSTAIR_OPERATORS_OUTPUT_FORMAT_HPP

#include <string>

#include <json/json.h>

namespace ospreystair::operators
{

/// Renders `{"results":[…]}`: tables with aligned columns, lines of explanations, and the results
/// of changes. Other results are rendered as JSON, so that a newer agent's output is not lost.
std::string format_as_tables(const Json::Value& output);

} // namespace ospreystair::operators

#endif
