// Settings of a program: command-line flags (popt) that can also be given as environment variables.
// The variable of the flag --caller-port is OSPREYSTAIR_CALLER_PORT; a flag overrides its variable.

#ifndef OSPREYSTAIR_SETTINGS_OPTION_TABLE_HPP
#define OSPREYSTAIR_SETTINGS_OPTION_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"

namespace ospreystair::settings
{

/// Declares one setting.
struct option
{
    std::string name;
    std::string help;
    /// Used when neither flag nor variable is given; an option without one is required.
    std::optional<std::string> default_value;
    /// A flag takes no argument; it is "1" when given.
    bool is_flag = false;
};

/// An IP address and port.
struct socket_address
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const socket_address&) const = default;
    std::string to_text() const;
    /// Parses `ip:port`, with IPv6 addresses in brackets; empty when the text has another format.
    static std::optional<socket_address> from_text(std::string_view text);
};

/// The values of a program's settings.
class option_table
{
public:
    /// Reads flags and environment variables. `--help` prints the options and exits with status 0.
    /// Fails with invalid_settings when an option is unknown or a required one is missing.
    static std::optional<option_table> create(const std::string& program,
                                              const std::string& description,
                                              const std::vector<option>& options, int argc,
                                              const char** argv, base::error& reason);

    const std::string& text(const std::string& name) const;
    bool is_set(const std::string& name) const;
    /// Arguments that belong to no option.
    const std::vector<std::string>& arguments() const { return m_arguments; }

    /// Each of these fails with invalid_settings when the value is malformed or out of range.
    std::optional<std::uint64_t> number(const std::string& name, std::uint64_t min_value,
                                        std::uint64_t max_value, base::error& reason) const;
    std::optional<std::chrono::milliseconds> milliseconds(const std::string& name,
                                                          std::chrono::milliseconds min_value,
                                                          std::chrono::milliseconds max_value,
                                                          base::error& reason) const;
    std::optional<socket_address> address(const std::string& name, base::error& reason) const;
    /// Parses a comma-separated list of addresses; an empty text gives an empty list.
    std::optional<std::vector<socket_address>> addresses(const std::string& name,
                                                         base::error& reason) const;

private:
    option_table() = default;

    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_arguments;
};

} // namespace ospreystair::settings

#endif
