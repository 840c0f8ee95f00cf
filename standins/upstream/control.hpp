// The control port: changes the behaviour of replicas and reports their counts.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_CONTROL_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_CONTROL_HPP

#include <memory>
#include <vector>

#include "http/asio.hpp"
#include "standins/upstream/replica.hpp"

namespace ospreystair::standin_upstream
{

/// Answers `POST /control` and `GET /control/counts` for a set of replicas. Thread-safe: each
/// replica is reached on its own thread.
class control
{
public:
    explicit control(std::vector<std::shared_ptr<replica>> replicas)
        : m_replicas(std::move(replicas))
    {
    }

    http::awaitable<http::response> answer(const http::request& message) const;

private:
    http::awaitable<http::response> change(const std::string& text) const;
    http::awaitable<http::response> report() const;
    std::optional<std::vector<std::shared_ptr<replica>>> select(const Json::Value& names,
                                                                base::error& reason) const;

    const std::vector<std::shared_ptr<replica>> m_replicas;
};

} // namespace ospreystair::standin_upstream

#endif
