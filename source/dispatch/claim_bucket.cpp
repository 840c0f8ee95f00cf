// Changes of a claim bucket and its JSON form.

#include "dispatch/claim_bucket.hpp"

#include <cassert>
#include <memory>
#include <string_view>
#include <utility>

#include <json/json.h>

namespace ospreystair::dispatch
{

namespace
{

// Sizes without the texts themselves, that is of quotes, member names and separators, in
// {"key":{"t":"…","r":"…","o":"unknown","a":"…"},…}. The outcome is counted with its longest text.
constexpr std::size_t record_overhead_bytes = 30;
constexpr std::size_t outcome_bytes = 14;
constexpr std::size_t answer_overhead_bytes = 8;

// Returns an upper bound of the size of a text as a JSON string, without its quotes.
std::size_t json_bytes(const std::string& text)
{
    constexpr std::size_t unicode_escape_bytes = 6;
    std::size_t bytes = 0;
    for (const char character : text)
    {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte >= 0x7f)
            bytes += unicode_escape_bytes;
        else
            bytes += character == '"' || character == '\\' || character == '/' ? 2 : 1;
    }
    return bytes;
}

std::size_t answer_bytes(const claim_record& record)
{
    return record.answer ? answer_overhead_bytes + json_bytes(*record.answer) : 0;
}

std::size_t record_bytes(const std::string& key, const claim_record& record)
{
    return record_overhead_bytes + json_bytes(key) + json_bytes(record.token) +
           json_bytes(record.request_id) + (record.result ? outcome_bytes : 0) +
           answer_bytes(record);
}

// Returns the size of the UTF-8 sequence at the start of `text`, which must not be empty; 0 when
// the sequence is invalid.
std::size_t utf8_sequence_bytes(std::string_view text)
{
    const auto byte = [text](std::size_t index)
    {
        return static_cast<unsigned char>(text[index]);
    };
    const unsigned lead_byte = byte(0);
    if (lead_byte < 0x80)
        return 1;
    const std::size_t size = lead_byte >= 0xc2 && lead_byte < 0xe0   ? 2
                             : lead_byte >= 0xe0 && lead_byte < 0xf0 ? 3
                             : lead_byte >= 0xf0 && lead_byte < 0xf5 ? 4
                                                                     : 0;
    if (size == 0 || size > text.size())
        return 0;
    for (std::size_t index = 1; index < size; ++index)
        if ((byte(index) & 0xc0) != 0x80)
            return 0;
    // Overlong forms, surrogates and values above U+10FFFF.
    const bool is_invalid =
        (lead_byte == 0xe0 && byte(1) < 0xa0) || (lead_byte == 0xed && byte(1) >= 0xa0) ||
        (lead_byte == 0xf0 && byte(1) < 0x90) || (lead_byte == 0xf4 && byte(1) >= 0x90);
    return is_invalid ? 0 : size;
}

// Texts must be checked, because the JSON writer replaces invalid UTF-8 by other characters and may
// replace a following quote as well.
bool is_utf8(std::string_view text)
{
    while (!text.empty())
    {
        const std::size_t size = utf8_sequence_bytes(text);
        if (size == 0)
            return false;
        text.remove_prefix(size);
    }
    return true;
}

std::optional<claim_record> parse_record(const Json::Value& value)
{
    if (!value.isObject() || !value["t"].isString() || !value["r"].isString())
        return std::nullopt;
    claim_record record{value["t"].asString(), value["r"].asString(), {}, {}};
    if (!is_utf8(record.token) || !is_utf8(record.request_id))
        return std::nullopt;
    if (value.isMember("o"))
    {
        if (!value["o"].isString())
            return std::nullopt;
        // An outcome that a newer release added counts as unknown, which asserts nothing.
        record.result = outcome_from_text(value["o"].asString()).value_or(outcome::unknown);
    }
    if (value["a"].isString() && is_utf8(value["a"].asString()))
        record.answer = value["a"].asString();
    return record;
}

} // namespace

std::optional<claim_bucket> claim_bucket::from_text(const std::string& text, base::error& reason)
{
    claim_bucket bucket;
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string message;
    bool is_valid = false;
    try
    {
        is_valid = reader->parse(text.data(), text.data() + text.size(), &root, &message) &&
                   root.isObject() && root["claims"].isObject();
        if (is_valid)
            for (const std::string& key : root["claims"].getMemberNames())
            {
                auto record = parse_record(root["claims"][key]);
                is_valid = record && is_utf8(key);
                if (!is_valid)
                    break;
                bucket.m_text_bytes += record_bytes(key, *record);
                bucket.m_claims.emplace(key, std::move(*record));
            }
    }
    catch (const Json::Exception& exception)
    {
        is_valid = false;
        message = exception.what();
    }
    if (!is_valid)
        return base::fail(reason, base::error_kind::protocol,
                          "a claim bucket in the platform is malformed; no command of it is run; "
                          "restore or delete the object");
    return bucket;
}

std::string claim_bucket::to_text() const
{
    Json::Value root;
    Json::Value& claims = root["claims"] = Json::objectValue;
    for (const auto& [key, record] : m_claims)
    {
        Json::Value& value = claims[key];
        value["t"] = record.token;
        value["r"] = record.request_id;
        if (record.result)
            value["o"] = std::string(to_string(*record.result));
        if (record.answer)
            value["a"] = *record.answer;
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

const claim_record* claim_bucket::find(const std::string& key) const
{
    const auto position = m_claims.find(key);
    return position == m_claims.end() ? nullptr : &position->second;
}

bool claim_bucket::add(const std::string& key, claim_record record)
{
    assert(!m_claims.contains(key));
    const std::size_t bytes = record_bytes(key, record);
    if (m_text_bytes + bytes > max_bytes_for_claims)
        return false;
    m_text_bytes += bytes;
    m_claims.emplace(key, std::move(record));
    return true;
}

bool claim_bucket::record(const std::string& key, const std::string& token, outcome result,
                          std::optional<std::string> answer)
{
    const auto position = m_claims.find(key);
    if (position == m_claims.end() || position->second.token != token)
        return false;
    claim_record& claim = position->second;
    if (claim.result)
        return claim.result == result;
    m_text_bytes -= record_bytes(key, claim);
    if (result == outcome::not_run)
    {
        m_claims.erase(position);
        return true;
    }
    claim.result = result;
    if (answer && answer->size() <= max_answer_bytes && is_utf8(*answer) &&
        m_text_bytes + json_bytes(*answer) <= max_bytes_for_answers)
        claim.answer = std::move(answer);
    m_text_bytes += record_bytes(key, claim);
    return true;
}

} // namespace ospreystair::dispatch
