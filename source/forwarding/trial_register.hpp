// Lets one request at a time be tried of those with the same content that may crash replicas.

#ifndef OSPREYSTAIR_FORWARDING_TRIAL_REGISTER_HPP
#define OSPREYSTAIR_FORWARDING_TRIAL_REGISTER_HPP

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/fingerprint.hpp"

namespace ospreystair::forwarding
{

/// Trials of this VM. Not thread-safe.
template<class Run>
class trial_register
{
public:
    /// Returns whether `run` has the trial of its content; it is queued otherwise.
    bool start(const std::shared_ptr<Run>& run)
    {
        trial& entry = m_trials[run->fingerprint()];
        const auto holder = entry.holder.lock();
        if (holder == run)
            return true;
        if (!holder || holder->is_finished())
        {
            entry.holder = run;
            return true;
        }
        // Each part of a query asks.
        if (entry.queued.insert(run).second)
            entry.waiting.push_back(run);
        return false;
    }

    /// Returns whether `run` had a trial.
    bool end(const Run& run)
    {
        const auto found = m_trials.find(run.fingerprint());
        if (found == m_trials.end() || found->second.holder.lock().get() != &run)
            return false;
        found->second.holder.reset();
        return true;
    }

    /// Returns the requests that wait for a trial, each once, and removes them from the queue.
    std::vector<std::shared_ptr<Run>> take_waiting(const base::fingerprint& request)
    {
        std::vector<std::shared_ptr<Run>> result;
        const auto found = m_trials.find(request);
        if (found == m_trials.end())
            return result;
        found->second.queued.clear();
        for (const std::weak_ptr<Run>& each : std::exchange(found->second.waiting, {}))
            if (auto run = each.lock())
                result.push_back(std::move(run));
        if (found->second.holder.expired())
            m_trials.erase(found);
        return result;
    }

private:
    struct trial
    {
        std::weak_ptr<Run> holder;
        // In the order of their first question.
        std::vector<std::weak_ptr<Run>> waiting;
        // Invariant: the same requests as in `waiting`, each once.
        std::set<std::weak_ptr<Run>, std::owner_less<>> queued;
    };

    std::unordered_map<base::fingerprint, trial> m_trials;
};

} // namespace ospreystair::forwarding

#endif
