// Refuses services whose requests must not be repeated.

#include "routing/idempotent_request.hpp"

namespace ospreystair::routing
{

std::optional<idempotent_request> idempotent_request::create(const configuration::service& service,
                                                             base::error& reason)
{
    if (service.kind != configuration::service_kind::query)
        return base::fail(reason, base::error_kind::invalid_argument,
                          "service " + service.name +
                              " takes commands, which must not be repeated; send it once with an "
                              "Idempotency-Key");
    return idempotent_request(service.prefer);
}

} // namespace ospreystair::routing
