// A one-shot event that one coroutine awaits with a deadline.

#ifndef OSPREYSTAIR_DISPATCH_COMPLETION_HPP
#define OSPREYSTAIR_DISPATCH_COMPLETION_HPP

#include <memory>

#include "base/clock.hpp"
#include "http/asio.hpp"

namespace ospreystair::dispatch
{

/// Thread-safe: the timer and the flag are accessed only on a strand.
class completion : public std::enable_shared_from_this<completion>
{
public:
    explicit completion(const http::asio::any_io_executor& executor);

    /// Ends the wait, including one that begins later.
    void set();

    /// Returns after set() or at the deadline. Does not tell which of them it was, since both may
    /// happen at the same time: the awaiting code has to check its own state.
    http::awaitable<void> wait_until(base::time_point deadline);

private:
    http::asio::strand<http::asio::any_io_executor> m_strand;
    http::asio::steady_timer m_timer;
    // Accessed only on the strand.
    bool m_is_set = false;
};

/// Suspends the calling coroutine for `time`.
http::awaitable<void> pause(base::duration time);

} // namespace ospreystair::dispatch

#endif
