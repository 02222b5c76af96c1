// Schedules of messages, restarts and views, found by a review of the claims, in which an entry gets a job too early or
// a caller loses more than needed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bamboowing/claims/job_claims.h"
#include "cluster_sim.h"
#include "retrying_caller.h"

namespace bamboowing {
namespace {

constexpr duration kTick = std::chrono::milliseconds(5);
constexpr duration kHold = std::chrono::seconds(60);
constexpr const char* kJob = "job";

std::string Address(std::size_t entry) { return "10.0.0." + std::to_string(entry) + ":7000"; }

/// Entries that exchange claims in virtual time. Requests on a cut link wait; the others are answered within the step.
class review_claims_test : public testing::Test {
 protected:
  struct request {
    std::size_t from = 0;
    std::size_t to = 0;
    incarnation_id sender = 0;
    send_claim_request sent;
  };
  struct node {
    std::unique_ptr<job_claims> core;
    incarnation_id process = 0;
    std::map<std::string, claim_verdict> decided;  ///< by job
    std::set<std::string> lapsed;                  ///< jobs
    std::set<std::string> unavailable;             ///< jobs
  };

  /// Starts the entries of a new deployment, in which no job was claimed before.
  void StartEntries(std::size_t count) {
    nodes = std::vector<node>(count);
    view = {1, {}, {}};
    for (std::size_t i = 0; i < count; ++i) {
      view.members.push_back(Address(i));
    }
    for (std::size_t i = 0; i < count; ++i) {
      Start(i);
      nodes[i].core->OnNoView();
    }
    RunFor(kTick * 4);
    // Registrars first, so that tests can name entries by their part.
    for (const std::string& registrar : ChooseRegistrars(kJob, view.members)) {
      registrars.push_back(EntryAt(registrar));
    }
    for (std::size_t i = 0; i < count; ++i) {
      if (std::count(registrars.begin(), registrars.end(), i) == 0) {
        others.push_back(i);
      }
    }
  }

  /// Starts a new process of the entry, which reads the view. The connections of its predecessor are closed.
  void Start(std::size_t entry) {
    node& started = nodes[entry];
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [entry](const request& open) { return open.from == entry || open.to == entry; }),
                  waiting.end());
    job_claims_settings settings;
    settings.address = Address(entry);
    settings.own_incarnation = ++last_process_;
    started = node();
    started.process = last_process_;
    started.core = std::make_unique<job_claims>(settings, last_process_, now);
    started.core->OnPeers(view.members, now);
    started.core->OnRegistered(now, instant::max());
    started.core->OnView(view, now, now);
  }

  void RunFor(duration time) {
    for (const instant end = now + time; now < end;) {
      now += kTick;
      Step();
    }
  }

  void Step() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].core) {
        nodes[i].core->Advance(now);
        Collect(i);
      }
    }
    std::vector<request> later;
    for (request& open : std::exchange(waiting, {})) {
      if (IsCut(open.from, open.to) || !nodes[open.to].core) {
        later.push_back(std::move(open));
      } else {
        Deliver(open);
      }
    }
    waiting.insert(waiting.begin(), later.begin(), later.end());
  }

  /// Handles a request and returns its reply to the process that has sent it, unless that one has ended.
  claim_reply Deliver(const request& open) {
    claim_reply reply = nodes[open.to].core->OnRequest(open.sent.request, now);
    Collect(open.to);
    if (nodes[open.from].process == open.sender) {
      nodes[open.from].core->OnReply(open.sent.exchange, reply, now);
      Collect(open.from);
    }
    return reply;
  }

  void Collect(std::size_t entry) {
    for (claim_action& action : nodes[entry].core->TakeActions()) {
      if (const send_claim_request* send = std::get_if<send_claim_request>(&action); send != nullptr) {
        waiting.push_back({entry, EntryAt(send->address), nodes[entry].process, *send});
      } else if (const abandon_claim_request* given_up = std::get_if<abandon_claim_request>(&action);
                 given_up != nullptr) {
        const std::uint64_t exchange = given_up->exchange;
        waiting.erase(
            std::remove_if(waiting.begin(), waiting.end(),
                           [=](const request& open) { return open.from == entry && open.sent.exchange == exchange; }),
            waiting.end());
      } else if (const claim_decided* decided = std::get_if<claim_decided>(&action); decided != nullptr) {
        nodes[entry].decided[decided->job_id] = decided->verdict;
      } else if (const claim_lapsed* lapsed = std::get_if<claim_lapsed>(&action); lapsed != nullptr) {
        nodes[entry].lapsed.insert(lapsed->job_id);
        nodes[entry].decided.erase(lapsed->job_id);
      } else if (const claim_unavailable* missing = std::get_if<claim_unavailable>(&action); missing != nullptr) {
        nodes[entry].unavailable.insert(missing->job_id);
      }
    }
  }

  static std::size_t EntryAt(const std::string& address) {
    std::size_t entry = 0;
    while (Address(entry) != address) {
      ++entry;
    }
    return entry;
  }

  void Cut(std::size_t one, std::size_t other) { cut_.insert(std::minmax(one, other)); }
  void Join(std::size_t one, std::size_t other) { cut_.erase(std::minmax(one, other)); }
  bool IsCut(std::size_t one, std::size_t other) const { return cut_.count(std::minmax(one, other)) != 0; }

  void Claim(std::size_t entry, const std::string& job = kJob) {
    nodes[entry].core->Claim(job, kHold, now);
    Collect(entry);
  }
  void Release(std::size_t entry, claim_end end) {
    nodes[entry].core->Release(kJob, end, std::chrono::seconds(15), now);
  }
  bool Holds(std::size_t entry) const {
    return nodes[entry].decided.count(kJob) != 0 && nodes[entry].decided.at(kJob) == claim_verdict::kGranted;
  }

  instant now{std::chrono::seconds(1000)};
  registrar_view view;
  std::vector<node> nodes;
  std::vector<request> waiting;
  std::vector<std::size_t> registrars;  ///< entries that are registrars of kJob
  std::vector<std::size_t> others;      ///< the other entries

 private:
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  incarnation_id last_process_ = 0;
};

// Guards against a registrar that restarts after it has granted a claim which no other registrar has recorded yet, and
// decides about the job as soon as the others have sent it what they know. The holder has the grant of the ended
// process and the later one of another registrar.
TEST_F(review_claims_test, RestartedRegistrarDoesNotDecideBesideGrantOfItsPredecessor) {
  StartEntries(5);
  const std::size_t restarted = registrars[0];
  const std::size_t late = registrars[1];
  const std::size_t holder = others[0];
  const std::size_t second = others[1];
  Cut(holder, late);
  Cut(holder, registrars[2]);
  Claim(holder);
  RunFor(kTick);
  ASSERT_FALSE(Holds(holder)) << "only one registrar has granted it";
  Cut(holder, restarted);
  Start(restarted);
  RunFor(kTick * 4);
  Cut(second, late);  // its denial arrives after the grants of the other two
  Claim(second);
  RunFor(kTick * 2);
  Join(holder, late);
  RunFor(kTick * 2);
  EXPECT_FALSE(Holds(holder) && Holds(second)) << "two entries hold the job";
}

/// Two restarts of the holder's entry, of which a registrar learns in the wrong order.
class late_successor_test : public review_claims_test {
 protected:
  void SetUp() override {
    StartEntries(4);
    holder = others[0];
    registrar = registrars[0];
    // The first successor sends a request, e.g. at its start, that is delayed until after its end.
    Cut(holder, registrar);
    Start(holder);
    RunFor(kTick);
    const std::vector<request>::const_iterator sent =
        std::find_if(waiting.begin(), waiting.end(),
                     [this](const request& open) { return open.from == holder && open.to == registrar; });
    ASSERT_NE(sent, waiting.end());
    late = *sent;
    Start(holder);
    Join(holder, registrar);
    RunFor(std::chrono::seconds(3));
  }

  std::size_t holder = 0;
  std::size_t registrar = 0;
  request late;
};

// Guards against a late message of a process that was replaced before the registrar had heard of it: the registrar
// takes it as the newest process, and ends the claims of the running one after 1.2 s although its runs may last for 2.6
// s.
TEST_F(late_successor_test, LateMessageDoesNotEndClaimsOfRunningProcess) {
  const std::size_t second = registrars[1];
  Cut(holder, second);
  RunFor(std::chrono::seconds(1));
  Claim(holder);
  RunFor(kTick * 2);
  ASSERT_TRUE(Holds(holder)) << "by the registrar and the third one";
  Cut(second, registrars[2]);  // the second entry has the registrar and itself
  Deliver(late);
  const instant heard_at = now;
  while (!nodes[registrar]
              .core->OnRequest({Address(second), nodes[second].process, {}, {}, false, {}, {}, {}}, now)
              .decides) {
    RunFor(kTick);
  }
  Claim(second);
  while (!Holds(second) && now - heard_at < std::chrono::seconds(5)) {
    RunFor(kTick);
  }
  // Until the late message, the registrar had confirmed the claim of the running process.
  EXPECT_GE((now - heard_at).count(), job_claims_settings().claim_end_limit().count() - (kTick * 2).count());
}

// As above: the registrar takes the messages of the running process as late from then on, for ever.
TEST_F(late_successor_test, LateMessageDoesNotSilenceRunningProcess) {
  Deliver(late);
  RunFor(std::chrono::seconds(5));
  const claim_request own{Address(holder), nodes[holder].process, {}, {{kJob, 1000, kHold}}, false, {}, {}, {}};
  EXPECT_EQ(nodes[registrar].core->OnRequest(own, now).answers.size(), 1U) << "the claim is not answered";
}

// Guards against a running job that is stopped when one of three registrars falls silent: another registrar had denied
// the claim for a moment, since it had granted that of a copy, and was not asked again.
TEST_F(review_claims_test, RegistrarThatDeniedGrantedClaimIsAskedAgain) {
  StartEntries(5);
  const std::size_t holder = others[0];
  const std::size_t copy = others[1];
  // Each of the two entries reaches other registrars first.
  Cut(copy, registrars[0]);
  Cut(copy, registrars[1]);
  Cut(holder, registrars[2]);
  Claim(copy);
  Claim(holder);
  RunFor(kTick * 2);
  ASSERT_TRUE(Holds(holder));
  Join(copy, registrars[0]);
  Join(copy, registrars[1]);
  Join(holder, registrars[2]);
  RunFor(kTick * 2);
  // The copy is denied; its caller has gone.
  EXPECT_EQ(nodes[copy].core->HolderOf(kJob), Address(holder));
  Release(copy, claim_end::kReleased);
  RunFor(std::chrono::seconds(2));
  ASSERT_TRUE(Holds(holder));
  nodes[registrars[0]].core.reset();
  RunFor(std::chrono::seconds(2));
  EXPECT_TRUE(nodes[holder].lapsed.empty()) << "two of three registrars answer, and no other entry wants the job";
}

// Guards against running jobs that are all stopped when a change of the view follows another one and an entry learns of
// both at once: it gets no time for the grants of the new members.
TEST_F(review_claims_test, ClaimOutlivesTwoChangesOfViewInSuccession) {
  StartEntries(8);
  const std::vector<std::string> all = view.members;
  const std::vector<std::string> first(all.begin(), all.begin() + 7);
  for (node& each : nodes) {
    each.core->OnView({2, first, all}, now, now);
  }
  const std::size_t holder = others[0];
  Claim(holder);
  RunFor(std::chrono::seconds(2));
  ASSERT_TRUE(Holds(holder));
  // Number 3 ended the first change; the second one begins before this entry has heard of it. All registrars of the job
  // among the members before are replaced.
  std::vector<std::string> second;
  const std::vector<std::string> chosen = ChooseRegistrars(kJob, first);
  for (const std::string& address : first) {
    if (std::count(chosen.begin(), chosen.end(), address) == 0) {
      second.push_back(address);
    }
  }
  for (const std::size_t other : registrars) {
    ASSERT_NE(other, holder);
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Cut(holder, i);
  }
  nodes[holder].core->OnView({4, second, first}, now, now);
  RunFor(kTick * 8);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Join(holder, i);
  }
  RunFor(std::chrono::seconds(3));
  EXPECT_TRUE(nodes[holder].lapsed.empty()) << "all entries answer within 40 ms";
}

// Guards against callers that wait until the start limit for a job that the registrars can't grant, since they do not
// know whether their view is outdated: the job could be refused at once.
TEST_F(review_claims_test, JobWhoseRegistrarsDoNotDecideIsUnavailableAtOnce) {
  StartEntries(4);
  const std::size_t lost = others[0];
  const std::size_t entry = registrars[0];
  nodes[lost].core.reset();
  // The key-value service does not answer, so that nobody confirms the view.
  RunFor(job_claims_settings().view_freshness + std::chrono::seconds(3));
  ASSERT_FALSE(nodes[entry].core->IsServing(now));
  Claim(entry);
  RunFor(std::chrono::milliseconds(500));
  EXPECT_FALSE(Holds(entry));
  EXPECT_EQ(nodes[entry].unavailable.count(kJob), 1U) << "neither granted nor refused";
}

// Guards against a job that is started although an earlier request may still start a task, by registrars that restart
// one after the other within 15 s and send each other only the claims that are held.
TEST_F(review_claims_test, RestartedRegistrarsKnowThatJobIsNotRepeatable) {
  StartEntries(5);
  Claim(others[0]);
  RunFor(kTick * 2);
  ASSERT_TRUE(Holds(others[0]));
  Release(others[0], claim_end::kNotRepeatable);
  RunFor(std::chrono::milliseconds(300));
  for (const std::size_t restarted : {0U, 1U}) {
    Start(registrars[restarted]);
    RunFor(std::chrono::milliseconds(500));
  }
  Cut(others[1], registrars[2]);
  Claim(others[1]);
  RunFor(std::chrono::milliseconds(100));
  EXPECT_FALSE(Holds(others[1]));
}

// Guards against a registrar that drops the claim of a running holder 15 s after another entry has reported that an
// earlier request may still start a task of the job.
TEST_F(review_claims_test, HolderKeepsJobAfterRepetitionWasForbidden) {
  StartEntries(5);
  const std::size_t holder = others[0];
  Claim(holder);
  RunFor(kTick * 2);
  ASSERT_TRUE(Holds(holder));
  nodes[others[1]].core->ForbidRepetition(kJob, now);
  RunFor(std::chrono::seconds(16));
  ASSERT_TRUE(Holds(holder));
  Claim(others[1]);
  RunFor(std::chrono::seconds(1));
  EXPECT_FALSE(Holds(holder) && Holds(others[1])) << "two entries hold the job";
}

// As RestartedRegistrarDoesNotDecideBesideGrantOfItsPredecessor, with runs: both entries start the tasks.
TEST(review_cluster_test, RestartOfRegistrarDuringClaimDoesNotLetTwoEntriesStartJob) {
  constexpr std::size_t kEntries = 5;
  constexpr duration kLong = std::chrono::milliseconds(900);
  cluster_sim sim(kEntries, 4, 1);
  TraceIfWanted(sim);
  sim.RunFor(std::chrono::seconds(5));
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> rest;
  const std::vector<std::string> registrars = ChooseRegistrars(kJob, sim.entry(0)->claims().view().members);
  for (std::size_t i = 0; i < kEntries; ++i) {
    const bool is_registrar = std::count(registrars.begin(), registrars.end(), cluster_sim::Address(i)) != 0;
    (is_registrar ? chosen : rest).push_back(i);
  }
  // The holder's requests to two registrars are delayed, by 300 ms to one of them.
  sim.PartitionEntries(rest[0], chosen[1], std::chrono::milliseconds(300));
  sim.PartitionEntries(rest[0], chosen[2], kLong);
  sim.Submit(rest[0], kJob, 2, 1500);
  sim.RunFor(std::chrono::milliseconds(10));
  // The third one has granted the claim; it is killed and starts again at once.
  sim.PartitionEntries(rest[0], chosen[0], kLong);
  sim.KillEntry(chosen[0], std::chrono::milliseconds(30));
  sim.RunFor(std::chrono::milliseconds(150));
  sim.PartitionEntries(rest[1], chosen[1], std::chrono::milliseconds(200));
  sim.Submit(rest[1], kJob, 2, 1500);
  sim.RunFor(std::chrono::seconds(8));
  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
}

// Guards against a deployment whose entries were all replaced at other addresses and that refuses all jobs for longer
// than the 12 s after which new entries may write a view: the change that they begin needs a majority of the lost
// entries too.
TEST(review_cluster_test, JobsAreServedSoonAfterAllEntriesWereReplaced) {
  constexpr std::size_t kEntries = 4;
  constexpr duration kLimit = std::chrono::seconds(16);
  cluster_sim sim(kEntries, 4, 1);
  TraceIfWanted(sim);
  sim.RunFor(std::chrono::seconds(3));
  for (std::size_t i = 0; i < kEntries; ++i) {
    sim.KillEntry(i, std::chrono::hours(1));
    sim.AddEntry();
  }
  sim.ListEntriesToAgents();
  const instant replaced_at = sim.now();
  bool served = false;
  for (int i = 0; !served && sim.now() - replaced_at < std::chrono::seconds(60); ++i) {
    const std::size_t job = sim.Submit(kEntries + static_cast<std::size_t>(i) % kEntries, JobId(i), 1, 60);
    sim.RunFor(std::chrono::milliseconds(500));
    served = sim.jobs()[job].verdict == job_verdict::kCompleted;
  }
  EXPECT_TRUE(served);
  EXPECT_LT((sim.now() - replaced_at).count(), kLimit.count());
}

}  // namespace
}  // namespace bamboowing
