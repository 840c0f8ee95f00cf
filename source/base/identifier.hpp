// Identity of a process, and the request ids and attempt tokens that contain it.

#ifndef OSPREYSTAIR_BASE_IDENTIFIER_HPP
#define OSPREYSTAIR_BASE_IDENTIFIER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace ospreystair::base
{

/// Where a process runs and since when.
struct process_identity
{
    std::string vm;
    std::string data_centre;
    /// Start time of the process; higher after each restart.
    std::chrono::milliseconds incarnation{0};
};

/// Writes a number in base 36 with lower-case letters.
std::string to_base36(std::uint64_t value);

/// Generates ids that are unique across all VMs and restarts. Thread-safe.
class identifier_factory
{
public:
    explicit identifier_factory(const process_identity& identity);

    /// Returns `<vm>-<incarnation in base 36>-<counter>`.
    std::string next();

private:
    std::string m_prefix;
    std::atomic<std::uint64_t> m_counter{0};
};

} // namespace ospreystair::base

#endif
