// The platform object `configuration`: the document, the token of the change that wrote it, and the
// history of recent changes.

#ifndef OSPREYSTAIR_CONFIGURATION_STORED_CONFIGURATION_HPP
#define OSPREYSTAIR_CONFIGURATION_STORED_CONFIGURATION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "configuration/command.hpp"
#include "configuration/document.hpp"

namespace ospreystair::configuration
{

/// Key of the platform object.
inline constexpr const char* configuration_key = "configuration";
/// The platform's size limit for one value.
inline constexpr std::size_t max_object_bytes = 1'000'000;

/// One accepted change set.
struct change_record
{
    /// The version that the change was applied to; 0 for the first change.
    std::uint64_t base_version = 0;
    /// The version that the change produced. Not stored, because the platform assigns it on the
    /// write; derived from the next record's `base_version` or, in the newest record, from the
    /// object's version.
    std::uint64_t version = 0;
    /// Unique to the change; shows whether a write whose answer was lost has been applied.
    std::string token;
    std::string operator_name;
    /// The text of the statements.
    std::string statements;
    /// Statements that revert the change. Earlier documents are reconstructed from them, so that
    /// only the latest document is stored.
    std::string undo;

    bool operator==(const change_record&) const = default;
};

/// The platform object and its version.
struct stored_configuration
{
    static constexpr std::size_t max_record_count = 32;
    static constexpr std::size_t max_history_bytes = 128 << 10;

    /// The object's version; 0 when it does not exist yet.
    std::uint64_t version = 0;
    document configuration;
    /// Oldest first; bounded by `max_record_count` and `max_history_bytes`.
    std::vector<change_record> history;

    bool operator==(const stored_configuration&) const = default;

    /// Token of the change that wrote this version; empty before the first.
    std::string token() const;

    /// Sets the document to `after`, appends a record of the change and removes the oldest records
    /// above the limits. `version` stays that of the object that the change is applied to.
    void record_change(document after, std::string change_token, std::string operator_name,
                       const std::vector<change>& changes);

    /// Returns the document of an earlier version. Fails with not_found if the history does not
    /// contain that version.
    std::optional<document> document_at(std::uint64_t earlier_version, base::error& reason) const;
};

/// Returns the object's value. Its member "configuration" is the document as converted by
/// to_json().
Json::Value to_json(const stored_configuration& value);

/// Parses the object's value. Fails with protocol or invalid_argument.
std::optional<stored_configuration> stored_configuration_from_json(const Json::Value& value,
                                                                   std::uint64_t version,
                                                                   base::error& reason);
/// Parses the object's text. Fails with protocol or invalid_argument.
std::optional<stored_configuration>
stored_configuration_from_text(const std::string& text, std::uint64_t version, base::error& reason);

} // namespace ospreystair::configuration

#endif
