// Rows of live state, read from the JSON that processes report.

#ifndef OSPREYSTAIR_OPERATORS_ROW_HPP
#define OSPREYSTAIR_OPERATORS_ROW_HPP

#include <map>
#include <string>
#include <variant>
#include <vector>

#include <json/json.h>

namespace ospreystair::operators
{

/// A typed value. Numbers are doubles: no reported number needs more than 53 bits.
using cell = std::variant<bool, double, std::string>;

/// Fields by name. A member of a nested object has the name `outer.inner`; the value of a list is
/// its length.
using row = std::map<std::string, cell>;

/// Reads the fields of a JSON object; members that are null, and objects nested more than
/// `max_row_depth` deep, are left out.
row row_from_json(const Json::Value& value);
/// Reads a JSON list of objects; other elements are left out.
std::vector<row> rows_from_json(const Json::Value& list);

Json::Value to_json(const cell& value);

constexpr int max_row_depth = 4;

} // namespace ospreystair::operators

#endif
