// Interactive prompt with line editing, history and completion of keywords.

#ifndef OSPREYSTAIR_PROGRAMS_CTL_PROMPT_HPP
#define OSPREYSTAIR_PROGRAMS_CTL_PROMPT_HPP

#include <optional>
#include <string>

namespace ospreystair::ctl
{

/// Reads commands from a terminal. Only one may exist, because readline keeps global state.
class prompt
{
public:
    /// `history_file` may be empty. A file that cannot be read or written is ignored.
    explicit prompt(std::string history_file);
    ~prompt();
    prompt(const prompt&) = delete;
    prompt& operator=(const prompt&) = delete;

    /// Returns the next line; empty at the end of input.
    std::optional<std::string> read_line();

private:
    const std::string m_history_file;
};

} // namespace ospreystair::ctl

#endif
