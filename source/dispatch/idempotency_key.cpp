// Parsing, age check and bucket assignment of idempotency keys.

#include "dispatch/idempotency_key.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace ospreystair::dispatch
{

namespace
{

constexpr std::size_t min_name_length = 8;
constexpr std::size_t max_name_length = 64;
// Latest time that a key may carry, in the year 2286. Keeps sums of times far from overflow.
constexpr std::int64_t max_unix_seconds = 9'999'999'999;
// Tolerated difference between the clocks of VMs. With a larger one, a bucket could be deleted
// while a VM with a slow clock still accepts its keys.
constexpr std::chrono::seconds clock_skew_margin{600};

bool is_letter_or_digit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z');
}

std::optional<std::int64_t> parse_seconds(std::string_view text)
{
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool is_canonical = !text.empty() && text.front() >= '1' && text.front() <= '9';
    if (!is_canonical || parsed.ec != std::errc{} || parsed.ptr != end || value > max_unix_seconds)
        return std::nullopt;
    return value;
}

} // namespace

idempotency_key::idempotency_key(std::string text, std::chrono::seconds issued_at)
    : m_text(std::move(text)), m_issued_at(issued_at)
{
}

std::optional<idempotency_key> idempotency_key::create(std::string_view text, base::error& reason)
{
    const std::size_t dash = std::min(text.find('-'), text.size());
    const auto seconds = parse_seconds(text.substr(0, dash));
    const std::string_view name = text.substr(std::min(dash + 1, text.size()));
    if (!seconds || name.size() < min_name_length || name.size() > max_name_length ||
        !std::all_of(name.begin(), name.end(), is_letter_or_digit))
        return base::fail(reason, base::error_kind::invalid_argument,
                          "the idempotency key has another form; send <unix seconds>-<8 to 64 "
                          "letters or digits>");
    return idempotency_key(std::string(text), std::chrono::seconds{*seconds});
}

bool idempotency_key::check_age(std::chrono::seconds unix_now, base::error& reason) const
{
    if (m_issued_at < unix_now - max_age)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   "the idempotency key is older than 24 h; check the command's result with the "
                   "service and use a new key");
        return false;
    }
    if (m_issued_at > unix_now + max_clock_lead)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   "the idempotency key is more than 60 s in the future; correct the clock that "
                   "issued it");
        return false;
    }
    return true;
}

std::string idempotency_key::bucket() const
{
    return fmt::format("{}{}/{}", claims_prefix, m_issued_at / bucket_period,
                       base::stable_hash(m_text) % buckets_per_period);
}

bool is_expired_bucket(std::string_view bucket, std::chrono::seconds unix_now)
{
    if (!bucket.starts_with(claims_prefix))
        return false;
    const std::string_view suffix = bucket.substr(claims_prefix.size());
    const auto period = parse_seconds(suffix.substr(0, std::min(suffix.find('/'), suffix.size())));
    if (!period)
        return false;
    const std::chrono::seconds end = (*period + 1) * idempotency_key::bucket_period;
    return unix_now > end + idempotency_key::max_age + clock_skew_margin;
}

} // namespace ospreystair::dispatch
