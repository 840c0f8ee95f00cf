// Runs child processes with Boost.Process.

#include "tests/integration/child_process.hpp"

#include <csignal>
#include <fstream>
#include <sstream>

#include <boost/process.hpp>

namespace ospreystair::testing_support
{

namespace process = boost::process;

struct child_process::implementation
{
    process::child child;
};

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_file)
    : m_implementation(std::make_unique<implementation>()), m_log_file(log_file)
{
    m_implementation->child =
        process::child(program, process::args(arguments),
                       process::std_in<process::null, process::std_out>(log_file + ".out"),
                       process::std_err > log_file, process::limit_handles);
}

child_process::~child_process()
{
    if (!is_running())
        return;
    kill();
    wait(std::chrono::seconds{10});
}

void child_process::send_signal(int number)
{
    ::kill(m_implementation->child.id(), number);
}
void child_process::terminate()
{
    send_signal(SIGTERM);
}
void child_process::kill()
{
    send_signal(SIGKILL);
}
void child_process::freeze()
{
    send_signal(SIGSTOP);
}
void child_process::resume()
{
    send_signal(SIGCONT);
}

bool child_process::is_running()
{
    std::error_code code;
    return m_implementation->child.running(code);
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    // Polls, because the library's wait with a timeout changes the signal mask of the process.
    constexpr std::chrono::milliseconds interval{5};
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (is_running())
    {
        if (std::chrono::steady_clock::now() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(interval);
    }
    const int status = m_implementation->child.native_exit_code();
    constexpr int signal_base = 128;
    return WIFSIGNALED(status) ? signal_base + WTERMSIG(status) : WEXITSTATUS(status);
}

namespace
{

std::string read_file(const std::string& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

std::string child_process::log_text() const
{
    return read_file(m_log_file);
}
std::string child_process::output_text() const
{
    return read_file(m_log_file + ".out");
}

int child_process::id() const
{
    return m_implementation->child.id();
}

} // namespace ospreystair::testing_support
