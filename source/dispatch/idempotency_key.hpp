// The key by which a caller identifies a command that must run at most once.

#ifndef OSPREYSTAIR_DISPATCH_IDEMPOTENCY_KEY_HPP
#define OSPREYSTAIR_DISPATCH_IDEMPOTENCY_KEY_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.hpp"

namespace ospreystair::dispatch
{

/// Prefix of the platform keys of all claim buckets.
constexpr std::string_view claims_prefix = "claims/";

/// `<unix seconds>-<8 to 64 letters or digits>`. The time determines the key's bucket and limits
/// how long claims must be kept.
class idempotency_key
{
public:
    static constexpr std::chrono::seconds max_age{24 * 3600};
    /// How far ahead of this VM's clock a caller's clock may be.
    static constexpr std::chrono::seconds max_clock_lead{60};
    static constexpr std::chrono::seconds bucket_period{600};
    static constexpr unsigned buckets_per_period = 64;

    /// Fails with invalid_argument when the text does not have this form.
    static std::optional<idempotency_key> create(std::string_view text, base::error& reason);

    /// Checks that the key is neither too old nor too far in the future. Fails with
    /// invalid_argument.
    bool check_age(std::chrono::seconds unix_now, base::error& reason) const;

    /// The platform key of the bucket that holds the key's claim.
    std::string bucket() const;

    const std::string& text() const { return m_text; }
    std::chrono::seconds issued_at() const { return m_issued_at; }

private:
    idempotency_key(std::string text, std::chrono::seconds issued_at);

    std::string m_text;
    std::chrono::seconds m_issued_at;
};

/// Returns whether no VM accepts any key of the bucket any more, so that the bucket may be deleted.
/// Returns false for platform keys that are not claim buckets.
bool is_expired_bucket(std::string_view bucket, std::chrono::seconds unix_now);

} // namespace ospreystair::dispatch

#endif
