// An event that happens once and that one coroutine waits for with a deadline.

#ifndef OSPREYSTAIR_DISPATCH_COMPLETION_HPP
#define OSPREYSTAIR_DISPATCH_COMPLETION_HPP

#include <memory>

#include "base/clock.hpp"
#include "http/asio.hpp"

namespace ospreystair::dispatch
{

/// Any thread may call either member. The timer is used on a strand only.
class completion : public std::enable_shared_from_this<completion>
{
public:
    explicit completion(const http::asio::any_io_executor& executor);

    /// Ends the wait, also one that begins later.
    void set();

    /// Returns after set() or at the deadline. The caller reads the result from its own state,
    /// since both may happen at the same time.
    http::awaitable<void> wait_until(base::time_point deadline);

private:
    http::asio::strand<http::asio::any_io_executor> m_strand;
    http::asio::steady_timer m_timer;
    // Used on the strand.
    bool m_is_set = false;
};

/// Waits for a while.
http::awaitable<void> pause(base::duration time);

} // namespace ospreystair::dispatch

#endif
