// One program started by a test, and the signals that faults are made of.

#ifndef OSPREYSTAIR_TESTS_INTEGRATION_CHILD_PROCESS_HPP
#define OSPREYSTAIR_TESTS_INTEGRATION_CHILD_PROCESS_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ospreystair::testing_support
{

/// Kills its process when it is destroyed. Standard error and standard output go to files.
class child_process
{
public:
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file);
    ~child_process();

    void send_signal(int number);
    void terminate();
    void kill();
    void freeze();
    void resume();
    bool is_running();
    /// Returns the exit status (128 + number after a signal); empty when it still runs.
    std::optional<int> wait(std::chrono::milliseconds limit);
    std::string log_text() const;
    std::string output_text() const;
    int id() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
    std::string m_log_file;
};

} // namespace ospreystair::testing_support

#endif
