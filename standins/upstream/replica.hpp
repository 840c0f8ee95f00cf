// A stand-in replica: its port, its connections and the processing of its requests.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_REPLICA_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_REPLICA_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <json/json.h>

#include "base/error.hpp"
#include "base/random.hpp"
#include "http/asio.hpp"
#include "standins/upstream/behaviour.hpp"
#include "standins/upstream/counts.hpp"
#include "standins/upstream/replica_settings.hpp"
#include "standins/upstream/slot_queue.hpp"

namespace ospreystair::standin_upstream
{

/// Runs on one io_context with a single thread, so its state needs no lock. Call every member on
/// that thread, unless its comment allows others.
class replica : public std::enable_shared_from_this<replica>
{
public:
    /// Binds the replica's port and starts accepting; call it before `context` runs.
    /// Fails with address_in_use or invalid_settings.
    static std::optional<std::shared_ptr<replica>>
    create(http::asio::io_context& context, const replica_settings& settings, std::uint64_t seed,
           std::size_t record_limit, base::error& reason);

    /// May be called on any thread.
    const std::string& name() const { return m_name; }
    /// May be called on any thread.
    http::asio::io_context& context() { return m_context; }

    std::optional<bool> apply(const Json::Value& change, base::error& reason);
    void reset_counts() { m_counts = counts(m_record_limit); }
    Json::Value counts_to_json() const { return m_counts.to_json(); }

private:
    struct exchange;
    struct answer;

    replica(http::asio::io_context& context, const replica_settings& settings, std::uint64_t seed,
            std::size_t record_limit);
    bool listen(const replica_settings& settings, base::error& reason);
    http::awaitable<void> accept_connections();
    http::awaitable<void> serve(http::tcp::socket socket);
    http::awaitable<bool> serve_one(const std::shared_ptr<exchange>& current_exchange,
                                    http::beast::flat_buffer& buffer);
    http::awaitable<answer> respond(std::shared_ptr<exchange> current_exchange);
    http::awaitable<answer> process_request(std::shared_ptr<exchange> current_exchange,
                                            request_kind kind);
    http::awaitable<bool> wait_for_slot(std::shared_ptr<exchange> current_exchange,
                                        answer& refusal);
    http::awaitable<void> wait_until_unfrozen(std::shared_ptr<exchange> current_exchange);
    http::awaitable<void> wait_until(std::shared_ptr<exchange> current_exchange,
                                     base::time_point until);
    http::awaitable<bool> send_reply(exchange& current_exchange, answer result);
    void count_arrival();
    void watch_peer(const std::shared_ptr<exchange>& current_exchange);
    void release_slot();
    void wake(std::uint64_t id);
    std::optional<answer> check_request(const http::request& message, request_kind kind) const;
    http::response make_answer(const http::request& message, request_kind kind,
                               const std::optional<fault>& matching_fault);
    http::response make_refusal(std::string_view message) const;
    std::string make_load_report() const;

    const std::string m_name;
    const std::size_t m_record_limit;
    http::asio::io_context& m_context;
    http::tcp::acceptor m_acceptor;
    behaviour m_behaviour;
    slot_queue m_slots;
    counts m_counts;
    base::seeded_random m_random;
    // Start of the drain in which the newest request was counted; tells the first request of a
    // drain.
    std::optional<base::time_point> m_last_counted_drain;
    std::size_t m_connection_count = 0;
    std::uint64_t m_last_id = 0;
    // Requests that wait for a slot or for the end of a freeze, by id.
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> m_waiting_exchanges;
};

} // namespace ospreystair::standin_upstream

#endif
