// Interactive prompt on readline.

#include "prompt.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <utility>

// readline's headers need <cstdio> before them.
#include <readline/history.h>
#include <readline/readline.h>

namespace ospreystair::ctl
{

namespace
{

constexpr int max_history_lines = 1000;

constexpr const char* keywords[] = {
    "alter",
    "and",
    "at",
    "by",
    "check",
    "command",
    "compare",
    "compute",
    "configuration",
    "connections",
    "contains",
    "count",
    "coverage",
    "create",
    "current",
    "data_centre",
    "deadline",
    "desc",
    "drain",
    "draining",
    "drop",
    "events",
    "expect",
    "explain",
    "for",
    "hedge_percent",
    "history",
    "in",
    "index",
    "indexes",
    "kind",
    "latency",
    "limit",
    "max_concurrency",
    "members",
    "of",
    "order",
    "p50",
    "p99",
    "prefer",
    "publish",
    "query",
    "quit",
    "replica",
    "replicas",
    "request",
    "requests",
    "restore",
    "retry_percent",
    "select",
    "service",
    "services",
    "set",
    "shard",
    "shards",
    "show",
    "slots",
    "upstream",
    "upstreams",
    "version",
    "vms",
    "wait",
    "where",
    "with",
};

// Readline calls this function until it returns null; `state` is 0 on the first call for a word.
char* next_keyword(const char* start, int state)
{
    static std::size_t position = 0;
    if (state == 0)
        position = 0;
    while (position < std::size(keywords))
    {
        const char* const keyword = keywords[position++];
        if (std::strncmp(keyword, start, std::strlen(start)) == 0)
            return strdup(keyword);
    }
    return nullptr;
}

char** complete(const char* start, int, int)
{
    // Disables readline's completion of file names, which the language doesn't have.
    rl_attempted_completion_over = 1;
    return rl_completion_matches(start, next_keyword);
}

} // namespace

prompt::prompt(std::string history_file) : m_history_file(std::move(history_file))
{
    rl_attempted_completion_function = complete;
    stifle_history(max_history_lines);
    if (!m_history_file.empty())
        read_history(m_history_file.c_str());
}

prompt::~prompt()
{
    if (!m_history_file.empty())
        write_history(m_history_file.c_str());
}

std::optional<std::string> prompt::read_line()
{
    const std::unique_ptr<char, decltype(&std::free)> line(readline("ospreystair> "), &std::free);
    if (!line)
        return std::nullopt;
    std::string text(line.get());
    if (text.find_first_not_of(" \t") != std::string::npos)
        add_history(text.c_str());
    return text;
}

} // namespace ospreystair::ctl
