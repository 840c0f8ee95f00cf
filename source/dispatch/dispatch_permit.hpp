// Permission to send one command, and the handle of the claim that granted it.

#ifndef OSPREYSTAIR_DISPATCH_DISPATCH_PERMIT_HPP
#define OSPREYSTAIR_DISPATCH_DISPATCH_PERMIT_HPP

#include <cassert>
#include <string>
#include <utility>

#include "dispatch/idempotency_key.hpp"

namespace ospreystair::dispatch
{

/// Identifies a won claim, for recording its outcome. Gives no permission to send the command.
struct claim_handle
{
    // GCC 12 copies aggregate parameters of coroutines bit by bit; a constructor prevents it.
    claim_handle(idempotency_key claim_key, std::string attempt_token)
        : key(std::move(claim_key)), token(std::move(attempt_token))
    {
    }

    idempotency_key key;
    std::string token;
};

/// Created only for a won claim and consumed when the command is sent, so that no command can be
/// sent twice or without a claim. Move-only.
class dispatch_permit
{
public:
    dispatch_permit(const dispatch_permit&) = delete;
    dispatch_permit& operator=(const dispatch_permit&) = delete;
    dispatch_permit(dispatch_permit&& other) noexcept
        : m_claim(std::move(other.m_claim)), m_is_usable(std::exchange(other.m_is_usable, false))
    {
    }
    dispatch_permit& operator=(dispatch_permit&&) = delete;
    ~dispatch_permit() = default;

    bool is_usable() const { return m_is_usable; }

    /// The claim. Must not be called after consume() or a move.
    const claim_handle& claim() const
    {
        assert(m_is_usable);
        return m_claim;
    }

    /// Consumes the permit. Must be called right before the first byte is sent.
    [[nodiscard]] claim_handle consume() &&
    {
        assert(m_is_usable);
        m_is_usable = false;
        return std::move(m_claim);
    }

private:
    template<class Store, class Clock, class Random>
    friend class claim_ledger;

    explicit dispatch_permit(claim_handle claim) : m_claim(std::move(claim)) {}

    claim_handle m_claim;
    // True until the permit is consumed or moved from.
    bool m_is_usable = true;
};

} // namespace ospreystair::dispatch

#endif
