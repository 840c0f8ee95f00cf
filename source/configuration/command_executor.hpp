// Executes operators' commands by conditional writes of platform objects. A change is reported as
// accepted only if its write is known to have been applied.

#ifndef OSPREYSTAIR_CONFIGURATION_COMMAND_EXECUTOR_HPP
#define OSPREYSTAIR_CONFIGURATION_COMMAND_EXECUTOR_HPP

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <json/json.h>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/identifier.hpp"
#include "configuration/command.hpp"
#include "configuration/command_output.hpp"
#include "configuration/document_change.hpp"
#include "configuration/index_publication.hpp"
#include "configuration/stored_configuration.hpp"
#include "configuration/view.hpp"
#include "http/asio.hpp"
#include "objects/object_store.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::configuration
{

/// The operator who sent a command, and the view of the VM that executes it.
struct execution_context
{
    // The declared constructor prevents an aggregate: GCC 12 copies aggregates in coroutine frames
    // bytewise, which corrupts strings that are stored inline.
    execution_context() = default;

    /// Recorded in the configuration history.
    std::string operator_name;
    /// Source of most inquiries, so that they work while the platform is unreachable.
    view current_view;
};

/// Executes operators' commands. Thread-safe. `store` and `tokens` must outlive the executor and
/// its calls.
template<objects::object_store Store>
class command_executor
{
public:
    /// Delay between attempts to determine the outcome of a write whose answer was lost. The calls
    /// of each attempt count towards the platform's rate limit.
    static constexpr std::chrono::milliseconds resolve_interval{50};
    /// Timeout of one store call. Shorter than that of a whole command, so that time remains to
    /// determine the outcome after a lost answer.
    static constexpr std::chrono::milliseconds store_call_timeout{2'000};

    /// `tokens` generates the unique token of each change.
    command_executor(Store& store, base::identifier_factory& tokens)
        : m_store(store), m_tokens(tokens)
    {
    }

    /// Executes the text of a command before `deadline`. The result is `{"results":[…]}`, each a
    /// table or an accepted change (command_output.hpp). Fails with invalid_argument or not_found
    /// if the command is malformed or does not fit the current state, conflict if another change
    /// was made to the object first, unreachable, timeout or overloaded if nothing was written, and
    /// outcome_unknown if the write may or may not have been applied. `text` and `context` must
    /// outlive the call and must not be temporaries: GCC 12 can destroy a temporary argument of a
    /// co_await expression twice.
    http::awaitable<std::optional<Json::Value>> execute(const std::string& text,
                                                        const execution_context& context,
                                                        base::time_point deadline,
                                                        base::error& reason)
    {
        const auto parsed = parse_command(text, reason);
        if (!parsed)
            co_return std::nullopt;
        Json::Value result;
        result["results"] = Json::arrayValue;
        if (const auto* const changes = std::get_if<change_set>(&*parsed))
        {
            auto accepted =
                co_await apply_changes(*changes, context.operator_name, deadline, reason);
            if (!accepted)
                co_return std::nullopt;
            result["results"].append(std::move(*accepted));
        }
        else if (const auto* const publication = std::get_if<publish_index>(&*parsed))
        {
            auto accepted = co_await apply_publication(*publication, deadline, reason);
            if (!accepted)
                co_return std::nullopt;
            result["results"].append(std::move(*accepted));
        }
        else
        {
            for (const inquiry& item : std::get<std::vector<inquiry>>(*parsed))
            {
                auto table = co_await execute_inquiry(item, context.current_view, deadline, reason);
                if (!table)
                    co_return std::nullopt;
                result["results"].append(std::move(*table));
            }
        }
        co_return result;
    }

private:
    /// The outcome of a write as determined by reading the object back.
    enum class resolution
    {
        applied,     ///< The object contains the write.
        not_applied, ///< The object contains another change instead; the write can no longer apply.
        pending,     ///< The object is unchanged; the write may still be in flight.
        unknown      ///< The object could not be read, or its history is too short.
    };

    /// A conditional write of one object, and what identifies it when the object is read back.
    struct planned_write
    {
        // Prevents an aggregate, for the same reason as in execution_context.
        planned_write() = default;

        std::string key;
        std::string value;
        std::uint64_t expected_version = 0;
        /// Identifies a write of the configuration, whose history contains the token.
        std::string token;
        /// Identifies a write of an index; empty for the configuration.
        std::optional<publish_index> publication;
    };

    static base::time_point call_deadline(base::time_point deadline)
    {
        return std::min(deadline, std::chrono::steady_clock::now() + store_call_timeout);
    }

    static http::awaitable<void> wait_before_retry()
    {
        http::asio::steady_timer timer(co_await http::asio::this_coro::executor, resolve_interval);
        co_await timer.async_wait(http::asio::use_awaitable);
    }

    http::awaitable<std::optional<stored_configuration>>
    read_configuration(base::time_point deadline, base::error& reason)
    {
        // A named variable, because GCC 12 can destroy a temporary argument of a co_await
        // expression twice.
        const std::string key = configuration_key;
        const auto object = co_await m_store.read(key, call_deadline(deadline), reason);
        if (object)
            co_return stored_configuration_from_text(object->value, object->version, reason);
        if (reason.kind == base::error_kind::not_found)
            co_return stored_configuration{};
        co_return std::nullopt;
    }

    http::awaitable<std::optional<Json::Value>> apply_changes(const change_set& changes,
                                                              const std::string& operator_name,
                                                              base::time_point deadline,
                                                              base::error& reason)
    {
        auto stored = co_await read_configuration(deadline, reason);
        if (!stored)
        {
            reason.message += "; nothing was written";
            co_return std::nullopt;
        }
        const std::uint64_t version = stored->version;
        if (changes.expected_version && *changes.expected_version != version)
            co_return conflict(configuration_key, *changes.expected_version, version, reason);
        auto after = apply(changes.changes, stored->configuration, reason);
        if (!after)
            co_return std::nullopt;
        planned_write plan;
        plan.key = configuration_key;
        plan.expected_version = version;
        plan.token = m_tokens.next();
        stored->record_change(std::move(*after), plan.token, operator_name, changes.changes);
        plan.value = rpc::to_text(to_json(*stored));
        co_return co_await write(plan, deadline, reason);
    }

    http::awaitable<std::optional<Json::Value>> apply_publication(const publish_index& statement,
                                                                  base::time_point deadline,
                                                                  base::error& reason)
    {
        planned_write plan;
        plan.key = "index/" + statement.service;
        plan.publication = statement;
        std::optional<index_state> before;
        const auto object = co_await m_store.read(plan.key, call_deadline(deadline), reason);
        if (object)
        {
            before = read_index(object->value, reason);
            if (!before)
                co_return std::nullopt;
            plan.expected_version = object->version;
        }
        else if (reason.kind != base::error_kind::not_found)
        {
            reason.message += "; nothing was written";
            co_return std::nullopt;
        }
        const auto after = publish(statement, before, reason);
        if (!after)
            co_return std::nullopt;
        plan.value = rpc::to_text(to_json(*after));
        co_return co_await write(plan, deadline, reason);
    }

    static std::optional<index_state> read_index(const std::string& text, base::error& reason)
    {
        const auto value = rpc::parse_json(text, reason);
        return value ? index_state_from_json(*value, reason) : std::nullopt;
    }

    // Repeats the write until its outcome is known or the deadline passes. Each attempt expects the
    // same version, so that the write is applied at most once.
    http::awaitable<std::optional<Json::Value>>
    write(const planned_write& plan, base::time_point deadline, base::error& reason)
    {
        if (plan.value.size() > objects::max_value_bytes)
            co_return base::fail(reason, base::error_kind::invalid_argument,
                                 fmt::format("object \"{}\" would have {} bytes, more than the {} "
                                             "that the platform stores; drop something first",
                                             plan.key, plan.value.size(),
                                             objects::max_value_bytes));
        bool may_have_applied = false;
        while (std::chrono::steady_clock::now() < deadline)
        {
            std::uint64_t new_version = 0;
            const objects::write_status status =
                co_await m_store.write(plan.key, plan.value, plan.expected_version,
                                       call_deadline(deadline), new_version, reason);
            if (status == objects::write_status::applied)
                co_return make_accepted(new_version, plan.expected_version);
            if (status == objects::write_status::refused && !may_have_applied)
            {
                reason.message += "; nothing was written";
                co_return std::nullopt;
            }
            may_have_applied = may_have_applied || status == objects::write_status::unknown;
            std::uint64_t version = 0;
            switch (co_await resolve(plan, deadline, version))
            {
            case resolution::applied:
                if (may_have_applied)
                    co_return make_accepted(version, plan.expected_version);
                // The object contains the same publication, made by another command.
                co_return conflict(plan.key, plan.expected_version, version, reason);
            case resolution::not_applied:
                co_return conflict(plan.key, plan.expected_version, version, reason);
            case resolution::pending:
            case resolution::unknown:
                break;
            }
            if (status == objects::write_status::conflict && !may_have_applied)
            {
                // The write was not applied, whatever the object contains now.
                reason.kind = base::error_kind::conflict;
                reason.message = fmt::format("object \"{}\" is no longer at version {}, and its "
                                             "present version cannot be read; nothing was written, "
                                             "read it and decide again",
                                             plan.key, plan.expected_version);
                co_return std::nullopt;
            }
            co_await wait_before_retry();
        }
        if (!may_have_applied)
            co_return base::fail(reason, base::error_kind::timeout,
                                 "the deadline passed before the write; nothing was written");
        co_return base::fail(
            reason, base::error_kind::outcome_unknown,
            plan.publication
                ? fmt::format(
                      "the write of object \"{}\" to version {} was not confirmed; see show "
                      "indexes before you repeat it",
                      plan.key, plan.expected_version)
                : fmt::format("the change to configuration version {} was not confirmed; look for "
                              "token {} in show history before you repeat it",
                              plan.expected_version, plan.token));
    }

    // Reads the object back. Sets `version` to the version that the write produced if the history
    // contains it, otherwise to the object's version.
    http::awaitable<resolution> resolve(const planned_write& plan, base::time_point deadline,
                                        std::uint64_t& version)
    {
        base::error ignored;
        const auto object = co_await m_store.read(plan.key, call_deadline(deadline), ignored);
        if (!object)
            co_return ignored.kind == base::error_kind::not_found&& plan.expected_version == 0
                ? resolution::pending
                : resolution::unknown;
        version = object->version;
        if (object->version == plan.expected_version)
            co_return resolution::pending;
        if (plan.publication)
        {
            const auto state = read_index(object->value, ignored);
            if (!state)
                co_return resolution::unknown;
            if (is_published(*plan.publication, *state))
                co_return resolution::applied;
            // A version below the lowest one in the object may have been published and then
            // removed.
            co_return state->versions.begin()->first > plan.publication->version
                ? resolution::unknown
                : resolution::not_applied;
        }
        const auto stored = stored_configuration_from_text(object->value, version, ignored);
        if (!stored)
            co_return resolution::unknown;
        for (const change_record& record : stored->history)
        {
            if (record.token == plan.token)
            {
                version = record.version;
                co_return resolution::applied;
            }
            // Exactly one change is applied to each version, and here it is another one.
            if (record.base_version == plan.expected_version)
                co_return resolution::not_applied;
        }
        co_return resolution::unknown;
    }

    static std::nullopt_t conflict(const std::string& key, std::uint64_t expected,
                                   std::uint64_t actual, base::error& reason)
    {
        return base::fail(
            reason, base::error_kind::conflict,
            fmt::format("the change was made for version {} of object \"{}\", which is "
                        "at version {} now; nothing was written, compare the versions "
                        "and send the change again if it still applies",
                        expected, key, actual));
    }

    http::awaitable<std::optional<Json::Value>> execute_inquiry(const inquiry& item,
                                                                const view& current_view,
                                                                base::time_point deadline,
                                                                base::error& reason)
    {
        const auto* const show_statement = std::get_if<show>(&item);
        if (show_statement != nullptr && show_statement->topic != show_topic::history)
            co_return show_view(show_statement->topic, current_view);
        const auto stored = co_await read_configuration(deadline, reason);
        if (!stored)
            co_return std::nullopt;
        if (show_statement != nullptr)
            co_return show_history(*stored);
        if (const auto* const version_statement = std::get_if<show_version>(&item))
        {
            const auto found = stored->document_at(version_statement->version, reason);
            if (!found)
                co_return std::nullopt;
            co_return show_document(*found, version_statement->version);
        }
        if (const auto* const comparison = std::get_if<compare_versions>(&item))
            co_return execute_comparison(*comparison, *stored, reason);
        co_return validate_changes(std::get<check_changes>(item), *stored, reason);
    }

    static std::optional<Json::Value> execute_comparison(const compare_versions& comparison,
                                                         const stored_configuration& stored,
                                                         base::error& reason)
    {
        const auto from = stored.document_at(comparison.from, reason);
        if (!from)
            return std::nullopt;
        const auto to = stored.document_at(comparison.to, reason);
        if (!to)
            return std::nullopt;
        return show_statements(
            fmt::format("changes from version {} to version {}", comparison.from, comparison.to),
            changes_between(*from, *to));
    }

    static std::optional<Json::Value> validate_changes(const check_changes& statement,
                                                       const stored_configuration& stored,
                                                       base::error& reason)
    {
        const auto after = apply(statement.changes, stored.configuration, reason);
        if (!after)
            return std::nullopt;
        Json::Value result;
        result["valid"] = true;
        result["checked_against_version"] = Json::UInt64{stored.version};
        result["statements"] = Json::UInt64{statement.changes.size()};
        return result;
    }

    Store& m_store;
    base::identifier_factory& m_tokens;
};

} // namespace ospreystair::configuration

#endif
