// Which entries an agent attaches to, alone and in a deployment of many entries.
#include "bamboowing/besteffort/entry_selection.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "bamboowing/besteffort/agent_demand.h"
#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kDomains = 4;

bool AllReachable(const std::string& /*address*/) { return true; }

std::string Address(std::size_t number) { return "10.0.0." + std::to_string(number) + ":7000"; }

std::vector<entry_endpoint> Places(std::size_t count) {
  std::vector<entry_endpoint> places;
  for (std::size_t i = 0; i < count; ++i) {
    places.push_back({Address(i), "domain-" + std::to_string(i % kDomains), false});
  }
  return places;
}

std::vector<std::string> SelectionOf(const std::string& agent, const std::vector<entry_endpoint>& places) {
  entry_selection selection(agent);
  selection.SetEntries(places);
  return selection.Select(AllReachable);
}

// Guards against an entry of a small deployment that can't use all targets.
TEST(entry_selection, FewEntriesAreAllSelected) {
  EXPECT_EQ(SelectionOf("agent", Places(1)).size(), 1U);
  EXPECT_EQ(SelectionOf("agent", Places(6)).size(), 6U);
  EXPECT_TRUE(SelectionOf("agent", {}).empty());
}

// Guards against sessions in number of agents times entries, and against callers of one failure domain that reach only
// a part of the targets.
TEST(entry_selection, ManyEntriesArePartlySelectedFromEachDomain) {
  const std::vector<entry_endpoint> places = Places(12);
  std::map<std::string, int> agents_of;
  for (int agent = 0; agent < 66; ++agent) {
    const std::vector<std::string> selected = SelectionOf("agent-" + std::to_string(agent), places);
    EXPECT_EQ(selected.size(), kDomains);
    std::set<std::string> domains;
    for (const std::string& address : selected) {
      ++agents_of[address];
      for (const entry_endpoint& place : places) {
        if (place.address == address) {
          domains.insert(place.failure_domain);
        }
      }
    }
    EXPECT_EQ(domains.size(), kDomains);
  }
  for (const entry_endpoint& place : places) {
    EXPECT_GE(agents_of[place.address], 11) << place.address << " has less than half of its share";
  }
}

// Guards against agents that all change their sessions when one entry is lost.
TEST(entry_selection, AnUnreachableEntryIsReplacedWithinItsDomain) {
  const std::vector<entry_endpoint> places = Places(12);
  entry_selection selection("agent");
  selection.SetEntries(places);
  const std::vector<std::string> before = selection.Select(AllReachable);
  const std::string lost = before[0];
  const std::vector<std::string> after =
      selection.Select([&lost](const std::string& address) { return address != lost; });
  ASSERT_EQ(after.size(), before.size() + 1);
  for (const std::string& address : before) {
    EXPECT_EQ(std::count(after.begin(), after.end(), address), 1) << address << " is still wanted";
  }
  const auto domain = [&places](const std::string& address) {
    for (const entry_endpoint& place : places) {
      if (place.address == address) {
        return place.failure_domain;
      }
    }
    return std::string();
  };
  EXPECT_EQ(domain(after[1]), domain(lost));
}

// Guards against an agent that stays without sessions when every entry that it prefers is gone.
TEST(entry_selection, TakesOtherDomainsWhenOneIsGone) {
  entry_selection selection("agent");
  selection.SetEntries(Places(12));
  const std::vector<std::string> selected = selection.Select([](const std::string& address) {
    return address != Address(0) && address != Address(4) && address != Address(8);  // the first domain
  });
  EXPECT_EQ(selected.size(), kDomains + 3) << "four that can be reached and three that may return";
}

// Guards against an address that is a seed and registered too, and then counts twice.
TEST(entry_selection, ASeedThatIsRegisteredCountsOnce) {
  std::vector<entry_endpoint> places = Places(3);
  places.push_back({Address(1), "", false});
  EXPECT_EQ(SelectionOf("agent", places).size(), 3U);
}

// Guards against an entry without targets where there are few agents beside many entries.
TEST(entry_selection, AddsEntriesThatWantAgents) {
  std::vector<entry_endpoint> places = Places(12);
  for (entry_endpoint& place : places) {
    place.wants_agents = true;
  }
  EXPECT_EQ(SelectionOf("agent", places).size(), 12U);
}

// Guards against requests for agents on every short cut, and against one that is never withdrawn.
TEST(agent_demand, AsksWhenAgentsStayFewAndUntilThereAreMany) {
  instant now{std::chrono::seconds(1000)};
  agent_demand demand(now);
  EXPECT_FALSE(demand.Update(11, now += std::chrono::milliseconds(4900)));
  EXPECT_FALSE(demand.Update(12, now += std::chrono::milliseconds(100)));
  EXPECT_FALSE(demand.Update(11, now += std::chrono::milliseconds(4900)));
  EXPECT_TRUE(demand.Update(11, now += std::chrono::milliseconds(100)));
  EXPECT_TRUE(demand.wanted());
  EXPECT_FALSE(demand.Update(35, now += std::chrono::seconds(20)));
  EXPECT_FALSE(demand.Update(36, now += std::chrono::seconds(9)));
  EXPECT_TRUE(demand.Update(36, now += std::chrono::seconds(1)));
  EXPECT_FALSE(demand.wanted());
}

constexpr std::size_t kEntries = 12;
constexpr std::size_t kTargets = 24;

std::size_t SessionsOfAll(const cluster_sim& sim) {
  std::size_t sessions = 0;
  for (std::size_t agent = 0; agent < kTargets; ++agent) {
    sessions += sim.SessionsOf(agent);
  }
  return sessions;
}

// The pattern of a grown deployment: many entries, of which some are lost and return while jobs go on.
TEST(attachment, ServesWhileEntriesAreLostAndReturn) {
  cluster_sim sim(kEntries, kTargets, 1);
  sim.RunFor(std::chrono::seconds(2));
  EXPECT_EQ(SessionsOfAll(sim), kTargets * kDomains);
  // Two of the three entries of a failure domain.
  sim.KillEntry(0, std::chrono::seconds(4));
  sim.KillEntry(4, std::chrono::seconds(4));
  sim.RunFor(std::chrono::milliseconds(600));
  for (int i = 0; i < 200; ++i) {
    sim.Submit(i % 2 == 0 ? 8 : static_cast<std::size_t>(i) % 4 + 8, "lost" + std::to_string(i), 3, 60);
    sim.RunFor(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(SessionsOfAll(sim), kTargets * kDomains);
  sim.RunFor(std::chrono::seconds(4));
  EXPECT_EQ(SessionsOfAll(sim), kTargets * kDomains) << "sessions that are needless are closed";
  for (int i = 0; i < 100; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % kEntries, "back" + std::to_string(i), 3, 60);
    sim.RunFor(std::chrono::milliseconds(10));
  }
  sim.RunFor(std::chrono::seconds(1));
  for (const sim_job& job : sim.jobs()) {
    EXPECT_EQ(job.verdict, job_verdict::kCompleted) << job.id;
    EXPECT_LT(job.answered - job.sent, std::chrono::milliseconds(156)) << job.id;
  }
}

// Guards against a job whose start is sent just when its agent closes the session: it would wait for the agent's lease.
TEST(attachment, NoStartIsLostWithAReleasedSession) {
  cluster_sim sim(kEntries, kTargets, 2);
  sim.RunFor(std::chrono::seconds(2));
  sim.KillEntry(0, std::chrono::milliseconds(800));
  for (int i = 0; i < 400; ++i) {
    sim.Submit(i % 2 == 0 ? 4 : 8, "job" + std::to_string(i), 2, 40);
    sim.RunFor(std::chrono::milliseconds(10));
  }
  sim.RunFor(std::chrono::seconds(1));
  for (const sim_job& job : sim.jobs()) {
    EXPECT_EQ(job.verdict, job_verdict::kCompleted) << job.id;
    EXPECT_LT(job.answered - job.sent, std::chrono::milliseconds(200)) << job.id;
  }
}

}  // namespace
}  // namespace bamboowing
