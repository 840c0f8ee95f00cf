// The entry's endpoints for operators: liveness, readiness, metrics, events and request records.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_OPERATOR_SERVICE_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_OPERATOR_SERVICE_HPP

#include "http/server.hpp"
#include "programs/entry/entry_context.hpp"

namespace ospreystair::entry
{

/// Serves the operator port. Thread-safe.
class operator_service
{
public:
    explicit operator_service(entry_context& context) : m_context(context) {}

    http::response answer(const http::request& message);

private:
    http::response answer_ready() const;
    http::response answer_request(std::string_view request_id) const;
    http::response answer_requests(bool is_summary) const;
    http::response answer_upstreams() const;
    http::response change_log_level(const std::string& text);

    entry_context& m_context;
};

} // namespace ospreystair::entry

#endif
