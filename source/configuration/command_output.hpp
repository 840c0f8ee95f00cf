// Results of commands as JSON: tables for inquiries, and confirmations of changes.

#ifndef OSPREYSTAIR_CONFIGURATION_COMMAND_OUTPUT_HPP
#define OSPREYSTAIR_CONFIGURATION_COMMAND_OUTPUT_HPP

#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "configuration/command.hpp"
#include "configuration/stored_configuration.hpp"
#include "configuration/view.hpp"

namespace ospreystair::configuration
{

/// Makes `{"title":…,"columns":[…],"rows":[[…]]}`.
Json::Value make_table(const std::string& title, const std::vector<std::string>& columns);
void add_row(Json::Value& table, const std::vector<Json::Value>& cells);

/// Returns the table of a `show` statement for any topic except the history, which a VM's view does
/// not contain.
Json::Value show_view(show_topic topic, const view& current_view);
Json::Value show_history(const stored_configuration& stored);
/// Returns a table of the statements that create a document.
Json::Value show_document(const document& value, std::uint64_t version);
/// Returns a table of statements.
Json::Value show_statements(const std::string& title, const std::vector<change>& changes);

/// Makes `{"accepted":true,"version":…,"previous_version":…}`.
Json::Value make_accepted(std::uint64_t version, std::uint64_t previous_version);

} // namespace ospreystair::configuration

#endif
