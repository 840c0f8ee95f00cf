// A type that shows that a request may be sent more than once.

#ifndef OSPREYSTAIR_ROUTING_IDEMPOTENT_REQUEST_HPP
#define OSPREYSTAIR_ROUTING_IDEMPOTENT_REQUEST_HPP

#include <optional>
#include <string>

#include "base/error.hpp"
#include "configuration/document.hpp"

namespace ospreystair::routing
{

/// A request that may be repeated. Hedging and retrying accept only this type, and only `create`
/// makes one.
class idempotent_request
{
public:
    /// Fails with invalid_argument for a service that takes commands.
    static std::optional<idempotent_request> create(const configuration::service& service,
                                                    base::error& reason);

    configuration::preference prefer() const { return m_prefer; }

private:
    explicit idempotent_request(configuration::preference prefer) : m_prefer(prefer) {}

    configuration::preference m_prefer;
};

} // namespace ospreystair::routing

#endif
