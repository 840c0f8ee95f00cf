// The wait uses a timer that set() cancels.

#include "dispatch/completion.hpp"

namespace ospreystair::dispatch
{

completion::completion(const http::asio::any_io_executor& executor)
    : m_strand(executor), m_timer(m_strand)
{
}

void completion::set()
{
    http::asio::post(m_strand,
                     [self = shared_from_this()]
                     {
                         self->m_is_set = true;
                         self->m_timer.cancel();
                     });
}

http::awaitable<void> completion::wait_until(base::time_point deadline)
{
    const auto wait_on_strand = [self = shared_from_this(), deadline]() -> http::awaitable<void>
    {
        if (self->m_is_set)
            co_return;
        boost::system::error_code code;
        self->m_timer.expires_at(deadline);
        co_await self->m_timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, code));
    };
    co_await http::asio::co_spawn(m_strand, wait_on_strand, http::asio::use_awaitable);
}

http::awaitable<void> pause(base::duration time)
{
    http::asio::steady_timer timer(co_await http::asio::this_coro::executor, time);
    boost::system::error_code code;
    co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, code));
}

} // namespace ospreystair::dispatch
