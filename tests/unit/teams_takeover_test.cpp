// New VMs that take quotas over while the lists of VMs differ.

#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.hpp"
#include "teams/keeper_takeover.hpp"

namespace ospreystair::teams
{
namespace
{

/// One VM: what it knows, and what it has answered to new VMs.
struct vm_model
{
    std::set<std::string> known;
    std::set<std::string> introduced;
    keeper_choice choice;
    keeper_takeover takeover;
};

/// An answer to a new VM, on its way.
struct told_reply
{
    std::string to;
    std::string from;
    bool is_settled = false;
    std::set<std::string> introduced;
};

/// VMs that start, read their lists, introduce themselves and answer in any order.
class takeover_model
{
public:
    explicit takeover_model(std::uint64_t seed) : m_random(seed)
    {
        const std::set<std::string> old{"old1", "old2", "old3"};
        for (const std::string& name : old)
            add(name, old);
    }

    void run_event()
    {
        constexpr std::uint64_t kinds = 5;
        switch (m_random.below(kinds))
        {
        case 0:
            return start_new();
        case 1:
            return read_list();
        case 2:
            return deliver_reply(m_random.below(4) > 0);
        default:
            return introduce();
        }
    }

    /// All introductions and replies arrive.
    void settle()
    {
        constexpr int rounds = 2'000;
        for (int round = 0; round < rounds; ++round)
        {
            introduce();
            deliver_reply(true);
        }
    }

    std::set<std::string> keepers_of(const std::string& team) const
    {
        std::set<std::string> result;
        for (const auto& [name, vm] : m_vms)
            if (vm.choice.find(team) == name && vm.takeover.may_keep(vm.choice, team))
                result.insert(name);
        return result;
    }

private:
    void add(const std::string& name, const std::set<std::string>& known)
    {
        m_vms[name].known = known;
        learn(name, {name});
    }

    void learn(const std::string& name, const std::set<std::string>& vms)
    {
        vm_model& learner = m_vms.at(name);
        learner.known.insert(vms.begin(), vms.end());
        learner.choice.adopt({learner.known.begin(), learner.known.end()});
        learner.takeover.update(name, learner.choice.vms());
    }

    const std::string& choose_vm()
    {
        return std::next(m_vms.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_vms.size())))
            ->first;
    }

    // The list that a new VM reads may be stale: some of the other new ones may be missing.
    void start_new()
    {
        constexpr std::size_t max_vms = 7;
        if (m_vms.size() == max_vms)
            return;
        std::set<std::string> known{"old1", "old2", "old3"};
        for (const auto& [name, vm] : m_vms)
            if (m_random.below(2) == 0)
                known.insert(name);
        const std::string name = "new" + std::to_string(m_vms.size());
        m_vms[name].takeover.begin();
        add(name, known);
    }

    void read_list()
    {
        std::set<std::string> all;
        for (const auto& [name, vm] : m_vms)
            all.insert(name);
        learn(choose_vm(), all);
    }

    void introduce()
    {
        const std::string sender = choose_vm();
        const vm_model& introduced = m_vms.at(sender);
        if (introduced.takeover.is_settled())
            return;
        const std::string receiver =
            *std::next(introduced.known.begin(),
                       static_cast<std::ptrdiff_t>(m_random.below(introduced.known.size())));
        if (receiver == sender)
            return;
        vm_model& told = m_vms.at(receiver);
        told_reply reply{sender, receiver, false, told.introduced};
        told.introduced.insert(sender);
        learn(receiver, {sender});
        reply.is_settled = told.takeover.is_settled();
        m_replies.push_back(reply);
    }

    void deliver_reply(bool arrives)
    {
        if (m_replies.empty())
            return;
        const auto position =
            m_replies.begin() + static_cast<std::ptrdiff_t>(m_random.below(m_replies.size()));
        const told_reply reply = *position;
        m_replies.erase(position);
        if (!arrives)
            return;
        learn(reply.to, reply.introduced);
        vm_model& receiver = m_vms.at(reply.to);
        receiver.takeover.record_told(reply.from, reply.is_settled);
        receiver.takeover.update(reply.to, receiver.choice.vms());
    }

    base::seeded_random m_random;
    std::map<std::string, vm_model> m_vms;
    std::vector<told_reply> m_replies;
};

// Guards against two VMs that grant one quota while the lists of VMs differ, and against a quota
// that nobody keeps in the end.
RC_GTEST_PROP(keeper_takeover_test, one_vm_keeps_a_quota_whatever_the_order_of_events,
              (std::uint64_t seed))
{
    takeover_model model(seed);
    constexpr int events = 120;
    constexpr int teams = 20;
    for (int event = 0; event < events; ++event)
    {
        model.run_event();
        for (int team = 0; team < teams; ++team)
            RC_ASSERT(model.keepers_of("team" + std::to_string(team)).size() <= 1U);
    }
    model.settle();
    for (int team = 0; team < teams; ++team)
        RC_ASSERT(model.keepers_of("team" + std::to_string(team)).size() == 1U);
}

} // namespace
} // namespace ospreystair::teams
