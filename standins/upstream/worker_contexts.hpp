// Threads of a stand-in: worker contexts with one thread each, and a context for the control port.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_WORKER_CONTEXTS_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_WORKER_CONTEXTS_HPP

#include <csignal>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

#include "http/asio.hpp"

namespace ospreystair::standins
{

/// Each worker context is run by a single thread, so state that belongs to one needs no lock.
class worker_contexts
{
public:
    explicit worker_contexts(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_workers.push_back(std::make_unique<http::asio::io_context>(1));
    }

    /// Returns a worker context; consecutive indexes are distributed round-robin.
    http::asio::io_context& worker(std::size_t index)
    {
        return *m_workers[index % m_workers.size()];
    }
    http::asio::io_context& control() { return m_control; }

    /// Runs all contexts until SIGTERM or SIGINT.
    void run_until_signal()
    {
        http::asio::signal_set signals(m_control, SIGTERM, SIGINT);
        signals.async_wait(
            [this](boost::system::error_code, int)
            {
                m_control.stop();
                for (const auto& worker : m_workers)
                    worker->stop();
            });
        using guard = http::asio::executor_work_guard<http::asio::io_context::executor_type>;
        std::vector<guard> guards;
        std::vector<std::thread> threads;
        for (const auto& worker : m_workers)
        {
            guards.emplace_back(worker->get_executor());
            threads.emplace_back([&context = *worker] { context.run(); });
        }
        m_control.run();
        for (std::thread& thread : threads)
            thread.join();
    }

private:
    std::vector<std::unique_ptr<http::asio::io_context>> m_workers;
    http::asio::io_context m_control{1};
};

} // namespace ospreystair::standins

#endif
