// The platform object `configuration`: the document, the token of the change that wrote it, and the
// last changes.

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
/// The platform's limit for one value.
inline constexpr std::size_t max_object_bytes = 1'000'000;

/// One accepted change.
struct change_record
{
    /// The version that the change was made to; 0 for the first.
    std::uint64_t base_version = 0;
    /// The version that the change made. Not stored, because the platform chooses it at the write;
    /// it is the base of the next record, or the object's version.
    std::uint64_t version = 0;
    /// Unique to the change; tells whether a write whose answer was lost took effect.
    std::string token;
    std::string operator_name;
    /// The text of the statements.
    std::string statements;
    /// Statements that take the change back; they give earlier documents without storing them.
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
    /// Oldest first; a bounded number.
    std::vector<change_record> history;

    bool operator==(const stored_configuration&) const = default;

    /// Token of the change that wrote this version; empty before the first.
    std::string token() const;

    /// Appends a change that leads to `after`, and removes the oldest records beyond the bounds.
    /// `version` stays that of the object the change was made to.
    void record_change(document after, std::string change_token, std::string operator_name,
                       const std::vector<change>& changes);

    /// Returns the document of an earlier version. Fails with not_found when the history does not
    /// reach back to it.
    std::optional<document> document_at(std::uint64_t earlier_version, base::error& reason) const;
};

/// The object's value. The member "configuration" is the document in the form of to_json().
Json::Value to_json(const stored_configuration& value);

/// Reads the object's value. Fails with protocol or invalid_argument.
std::optional<stored_configuration> stored_configuration_from_json(const Json::Value& value,
                                                                   std::uint64_t version,
                                                                   base::error& reason);
/// Reads the object's text.
std::optional<stored_configuration>
stored_configuration_from_text(const std::string& text, std::uint64_t version, base::error& reason);

} // namespace ospreystair::configuration

#endif
