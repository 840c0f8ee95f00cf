// A stand-in for the object store of the users' platform, for tests that run without the platform.

#ifndef OSPREYSTAIR_STANDINS_USERS_PLATFORM_STORE_STANDIN_HPP
#define OSPREYSTAIR_STANDINS_USERS_PLATFORM_STORE_STANDIN_HPP

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "http/server.hpp"

namespace ospreystair::standins
{

/// How the store answers calls.
enum class store_mode
{
    serving,
    refusing, ///< Answers 503 without executing the call.
    limiting, ///< Answers 429 to every call.
    silent    ///< Never answers.
};

/// Stores objects by kind and name with one revision counter, and supports paged lists, watches and
/// conditional writes. Runs on the context's thread; the public members may be called from any
/// thread.
class store_standin
{
public:
    static constexpr std::size_t default_page_size = 50;
    /// Maximum number of events in one answer to a watch; the next watch returns more.
    static constexpr std::size_t max_events = 500;

    static std::optional<std::unique_ptr<store_standin>>
    create(http::asio::io_context& context, http::tcp::endpoint address, base::error& reason);

    http::tcp::endpoint address() const { return m_server->address(); }

    /// Serves the objects at a further address; `edit` changes the text of each answer. Used to
    /// show each VM other addresses of the replicas.
    std::optional<http::tcp::endpoint> serve_edited(std::function<void(std::string&)> edit,
                                                    base::error& reason);
    /// Delays the answers at an address of `serve_edited`, beside the delay of all answers.
    void delay_answers_at(const http::tcp::endpoint& address, std::chrono::milliseconds delay);

    /// Writes without a condition, as the platform itself does. Returns the revision.
    std::uint64_t put(const std::string& kind, const std::string& name, Json::Value content);
    void remove(const std::string& kind, const std::string& name);
    std::optional<Json::Value> find(const std::string& kind, const std::string& name) const;

    /// Sets the maximum number of items in one answer to a list.
    void set_page_size(std::size_t items);
    void set_mode(store_mode mode);
    void set_delay(std::chrono::milliseconds delay);
    /// Loses the answers of writes: the change is made, but the call is never answered.
    void set_losing_answers(bool is_losing);
    /// Drops the history: watches from an earlier revision get 410.
    void drop_history();
    /// Keeps a copy of all objects for `restore_copy`.
    void keep_copy();
    /// Comes back from the copy: loses what was written since, gives out the revisions since then
    /// again, and raises the era. Closes all connections.
    void restore_copy();
    std::uint64_t era() const;
    /// Ends waiting watches and closes all connections.
    void cut_connections();

    std::uint64_t call_count() const;

private:
    struct object
    {
        std::string name;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        Json::Value content;
        Json::Value status;
    };

    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        object state;
        bool is_deleted = false;
    };

    explicit store_standin(http::asio::io_context& context) : m_context(context) {}

    http::awaitable<http::response> answer(const http::request& message,
                                           std::shared_ptr<http::exchange_context> peer);
    http::awaitable<http::response> answer_call(const http::request& message,
                                                std::shared_ptr<http::exchange_context> peer);
    http::awaitable<void> wait(std::chrono::milliseconds time);
    std::chrono::milliseconds delay_at(const http::tcp::endpoint& address) const;
    http::awaitable<http::response> answer_watch(std::string kind, std::uint64_t revision,
                                                 std::chrono::milliseconds wait_time,
                                                 std::shared_ptr<http::exchange_context> peer);
    http::response answer_list(const std::string& kind, const std::string& after);
    http::response answer_change(const http::request& message, const std::string& kind,
                                 const std::string& name);
    // The following members require that m_mutex is held.
    std::uint64_t write(const std::string& kind, const std::string& name, Json::Value content);
    void erase(const std::string& kind, const std::string& name);
    std::optional<http::response> find_changes(const std::string& kind, std::uint64_t revision);
    static Json::Value to_json(const object& item);

    http::asio::io_context& m_context;
    std::shared_ptr<http::server> m_server;
    std::vector<std::shared_ptr<http::server>> m_edited_servers;
    mutable std::mutex m_mutex;
    // This and all following members are guarded by m_mutex.
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::deque<change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_history_start = 0;
    std::map<std::string, std::map<std::string, object>> m_copy;
    std::uint64_t m_copy_revision = 1;
    std::uint64_t m_era = 1;
    std::size_t m_page_size = default_page_size;
    store_mode m_mode = store_mode::serving;
    std::chrono::milliseconds m_delay{0};
    std::map<http::tcp::endpoint, std::chrono::milliseconds> m_delays_by_address;
    bool m_is_losing_answers = false;
    std::uint64_t m_calls = 0;
    // Number of calls of cut_connections.
    std::uint64_t m_cuts = 0;
};

} // namespace ospreystair::standins

#endif
