// Document with the claims of one bucket.

#ifndef OSPREYSTAIR_DISPATCH_CLAIM_BUCKET_HPP
#define OSPREYSTAIR_DISPATCH_CLAIM_BUCKET_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/error.hpp"
#include "dispatch/outcome.hpp"

namespace ospreystair::dispatch
{

/// A claim: the only attempt that may dispatch the command of a key, and the command's outcome.
struct claim_record
{
    /// Identifies the attempt; unique across all VMs and restarts.
    std::string token;
    std::string request_id;
    /// Empty until the outcome is recorded. Never not_run, since that outcome removes the claim.
    std::optional<outcome> result;
    /// The upstream's answer, if one was recorded and is within the size limits.
    std::optional<std::string> answer;

    bool operator==(const claim_record&) const = default;
};

/// Claims by idempotency key. The text form stays below the platform's limit for a value.
class claim_bucket
{
public:
    /// No claim is added if the text would exceed this size. The rest up to the platform's limit
    /// of 1 MB is reserved for outcomes: at most 6,500 claims fit, and an outcome without an answer
    /// adds 14 bytes.
    static constexpr std::size_t max_bytes_for_claims = 850'000;
    /// No answer is recorded if the text would exceed this size, so that answers leave room for
    /// claims.
    static constexpr std::size_t max_bytes_for_answers = 500'000;
    /// Longer answers, and those that are not UTF-8, are not recorded.
    static constexpr std::size_t max_answer_bytes = 1'024;

    /// Parses the result of to_text(). Fails with protocol when the text is malformed.
    static std::optional<claim_bucket> from_text(const std::string& text, base::error& reason);
    std::string to_text() const;

    const claim_record* find(const std::string& key) const;

    /// Adds a claim for a key that has none. Returns false when the bucket is full.
    bool add(const std::string& key, claim_record record);

    /// Sets the outcome of the claim of `key` if it belongs to `token`; not_run removes the claim.
    /// Returns false when the claim belongs to another attempt or has another outcome already.
    bool record(const std::string& key, const std::string& token, outcome result,
                std::optional<std::string> answer);

    std::size_t size() const { return m_claims.size(); }

    bool operator==(const claim_bucket&) const = default;

private:
    std::map<std::string, claim_record> m_claims;
    // Upper bound of the size of to_text().
    std::size_t m_text_bytes = 32;
};

} // namespace ospreystair::dispatch

#endif
