// Callers of the gateway, and the load balancer that distributes them over its VMs.

#ifndef OSPREYSTAIR_TESTS_CHAOS_GATEWAY_CALLERS_HPP
#define OSPREYSTAIR_TESTS_CHAOS_GATEWAY_CALLERS_HPP

#include <atomic>
#include <thread>
#include <vector>

#include "base/random.hpp"
#include "tests/chaos/gateway_audit.hpp"
#include "tests/chaos/gateway_system.hpp"

namespace ospreystair::chaos
{

/// Sends requests from several threads until it is stopped. Like the users' load balancer, it
/// checks the readiness of each VM once a second, and opens no connection to a VM that failed two
/// checks in succession.
class gateway_callers
{
public:
    gateway_callers(gateway_audit& audit, gateway_system& system, std::uint64_t seed);
    ~gateway_callers();
    gateway_callers(const gateway_callers&) = delete;
    gateway_callers& operator=(const gateway_callers&) = delete;

    void stop();

private:
    void run_requests(std::uint64_t thread_number);
    // Sends ids again that were refused, lost or given up.
    void run_repeated_requests(std::uint64_t thread_number);
    // Sends copies of the deadly request, while there is one.
    void run_deadly_requests();
    void run_load_balancer();
    std::size_t choose_vm(base::seeded_random& random) const;

    gateway_audit& m_audit;
    gateway_system& m_system;
    const std::uint64_t m_seed;
    std::vector<std::atomic<int>> m_failed_checks;
    std::atomic<bool> m_is_stopped{false};
    std::vector<std::thread> m_threads;
};

} // namespace ospreystair::chaos

#endif
