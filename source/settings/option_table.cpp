// Reads settings from flags (popt) and the environment, and validates them.

#include "settings/option_table.hpp"

#include <cassert>
#include <charconv>
#include <cstdlib>
#include <memory>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <popt.h>

namespace ospreystair::settings
{

namespace
{

struct context_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_pointer = std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter>;

std::string environment_variable_of(const std::string& option_name)
{
    std::string name = "OSPREYSTAIR_";
    for (const char character : option_name)
        name += character == '-'
                    ? '_'
                    : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    return name;
}

std::vector<poptOption> make_popt_options(const std::vector<option>& options)
{
    std::vector<poptOption> table;
    int index = 1;
    for (const option& item : options)
    {
        table.push_back({item.name.c_str(), '\0', item.is_flag ? POPT_ARG_NONE : POPT_ARG_STRING,
                         nullptr, index, item.help.c_str(), item.is_flag ? nullptr : "VALUE"});
        ++index;
    }
    const poptOption help_and_end[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), std::begin(help_and_end), std::end(help_and_end));
    return table;
}

bool is_ip_address(const std::string& host)
{
    in6_addr storage{};
    return inet_pton(AF_INET, host.c_str(), &storage) == 1 ||
           inet_pton(AF_INET6, host.c_str(), &storage) == 1;
}

} // namespace

std::string socket_address::to_text() const
{
    return host.find(':') == std::string::npos ? fmt::format("{}:{}", host, port)
                                               : fmt::format("[{}]:{}", host, port);
}

std::optional<socket_address> socket_address::from_text(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !is_ip_address(host))
        return std::nullopt;
    return socket_address{host, port};
}

std::optional<option_table> option_table::create(const std::string& program,
                                                 const std::string& description,
                                                 const std::vector<option>& options, int argc,
                                                 const char** argv, base::error& reason)
{
    option_table table;
    for (const option& item : options)
    {
        if (item.default_value)
            table.m_values[item.name] = *item.default_value;
        if (const char* value = std::getenv(environment_variable_of(item.name).c_str()))
            table.m_values[item.name] = value;
    }

    const std::vector<poptOption> popt_options = make_popt_options(options);
    const context_pointer context(
        poptGetContext(program.c_str(), argc, argv, popt_options.data(), 0));
    const std::string usage =
        fmt::format("[OPTION...]\n{}\nEach option can also be set by an environment variable, for "
                    "example {}.\n",
                    description, environment_variable_of(options.front().name));
    poptSetOtherOptionHelp(context.get(), usage.c_str());

    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0)
    {
        const option& item = options[static_cast<std::size_t>(code - 1)];
        if (item.is_flag)
        {
            table.m_values[item.name] = "1";
            continue;
        }
        const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context.get()),
                                                                   &std::free);
        table.m_values[item.name] = argument ? argument.get() : "";
    }
    if (code < -1)
        return base::fail(reason, base::error_kind::invalid_settings,
                          fmt::format("{}: {}; see {} --help", poptBadOption(context.get(), 0),
                                      poptStrerror(code), program));
    while (const char* argument = poptGetArg(context.get()))
        table.m_arguments.emplace_back(argument);

    for (const option& item : options)
        if (!item.is_flag && !table.m_values.contains(item.name))
            return base::fail(reason, base::error_kind::invalid_settings,
                              fmt::format("setting \"{0}\" is missing; give --{0} or set {1}",
                                          item.name, environment_variable_of(item.name)));
    return table;
}

const std::string& option_table::text(const std::string& name) const
{
    const auto position = m_values.find(name);
    assert(position != m_values.end());
    return position->second;
}

bool option_table::is_set(const std::string& name) const
{
    const auto position = m_values.find(name);
    return position != m_values.end() && !position->second.empty() && position->second != "0";
}

std::optional<std::uint64_t> option_table::number(const std::string& name, std::uint64_t min_value,
                                                  std::uint64_t max_value,
                                                  base::error& reason) const
{
    const std::string& value = text(name);
    std::uint64_t result = 0;
    const char* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, result);
    if (parsed.ec != std::errc{} || parsed.ptr != end || result < min_value || result > max_value)
        return base::fail(reason, base::error_kind::invalid_settings,
                          fmt::format("--{} is \"{}\"; give a whole number from {} to {}", name,
                                      value, min_value, max_value));
    return result;
}

std::optional<std::chrono::milliseconds>
option_table::milliseconds(const std::string& name, std::chrono::milliseconds min_value,
                           std::chrono::milliseconds max_value, base::error& reason) const
{
    const auto value = number(name, static_cast<std::uint64_t>(min_value.count()),
                              static_cast<std::uint64_t>(max_value.count()), reason);
    if (!value)
        return std::nullopt;
    return std::chrono::milliseconds{*value};
}

std::optional<socket_address> option_table::address(const std::string& name,
                                                    base::error& reason) const
{
    auto result = socket_address::from_text(text(name));
    if (!result)
        return base::fail(reason, base::error_kind::invalid_settings,
                          fmt::format("--{} is \"{}\"; give an IP address and a port, for example "
                                      "127.0.0.1:8080",
                                      name, text(name)));
    return result;
}

std::optional<std::vector<socket_address>> option_table::addresses(const std::string& name,
                                                                   base::error& reason) const
{
    std::vector<socket_address> result;
    std::string_view remaining = text(name);
    while (!remaining.empty())
    {
        const std::size_t comma = remaining.find(',');
        const auto item = socket_address::from_text(remaining.substr(0, comma));
        if (!item)
            return base::fail(reason, base::error_kind::invalid_settings,
                              fmt::format("--{} is \"{}\"; give IP addresses with ports, separated "
                                          "by commas",
                                          name, text(name)));
        result.push_back(*item);
        remaining =
            comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
    }
    return result;
}

} // namespace ospreystair::settings
