// The document that holds the claims of one bucket.

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

/// One claim: the attempt that alone may dispatch a key's command, and how it ended.
struct claim_record
{
    /// Names the attempt; unique over all VMs and restarts.
    std::string token;
    std::string request_id;
    /// Empty until it is recorded. Never not_run, since that removes the claim.
    std::optional<outcome> result;
    /// The upstream's answer, if it was recorded and fits.
    std::optional<std::string> answer;

    bool operator==(const claim_record&) const = default;
};

/// Claims by idempotency key. Its text stays below the platform's limit for a value.
class claim_bucket
{
public:
    /// No claim is added beyond this size of the text. The rest up to the platform's limit of 1 MB
    /// is left for outcomes: at most 6,500 claims fit, and an outcome without an answer adds 14
    /// bytes.
    static constexpr std::size_t max_bytes_for_claims = 850'000;
    /// Answers are no longer recorded beyond this size, so that they take no room from claims.
    static constexpr std::size_t max_bytes_for_answers = 500'000;
    /// Longer answers, and those that are not UTF-8, are not recorded.
    static constexpr std::size_t max_answer_bytes = 1'024;

    /// Fails with protocol when the text has another form.
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
    std::size_t m_bytes = 32;
};

} // namespace ospreystair::dispatch

#endif
