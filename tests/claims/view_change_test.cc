// Changes of the view of registrars: when one may end, and what the new members must know then.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdlib>
#include <initializer_list>
#include <string>
#include <vector>

#include "bamboowing/claims/job_claims.h"
#include "claiming_entries.h"

namespace bamboowing {
namespace {

constexpr duration kSoon = std::chrono::milliseconds(100);

class view_change_test : public job_claims_test {
 protected:
  static std::vector<std::string> AddressesOf(std::initializer_list<std::size_t> entries) {
    std::vector<std::string> addresses;
    for (const std::size_t entry : entries) {
      addresses.push_back(Address(entry));
    }
    return addresses;
  }

  /// Starts entries of which the first ones are members.
  void StartWithMembers(std::size_t entries, std::initializer_list<std::size_t> members) {
    StartEntries(entries);
    view.members = AddressesOf(members);
    for (std::size_t i = 0; i < entries; ++i) {
      Start(i);
      nodes[i].core->OnNoView();
    }
    RunFor(kSoon);
  }

  /// Tells the entries that run of a view.
  void TellAll(const registrar_view& told) {
    for (node& each : nodes) {
      if (!each.paused) {
        each.core->OnView(told, now, now);
      }
    }
  }

  void BeginChange(std::initializer_list<std::size_t> members) {
    TellAll({view.number + 1, AddressesOf(members), view.members});
  }

  /// Stops the process of an entry, which answers nothing.
  void Stop(std::size_t entry) {
    nodes[entry].paused = true;
    nodes[entry].silent = true;
  }

  bool CanAnyEndChange() const {
    for (const node& each : nodes) {
      if (!each.paused && each.core->CanEndChange(now)) {
        return true;
      }
    }
    return false;
  }

  /// An entry is granted the job when the runs of a holder that was last heard of at @p heard_at must have ended.
  void ExpectGrantedWhenRunsHaveEnded(std::size_t entry, instant heard_at) {
    Claim(entry);
    const duration may_run = nodes[entry].core->settings().claim_end_limit();
    while (!Granted(entry) && now - heard_at < may_run * 3) {
      RunFor(kTick);
    }
    EXPECT_GE((now - heard_at).count(), may_run.count());
    EXPECT_TRUE(Granted(entry)) << "denied for ever";
  }

  /// How long it takes until an entry can end the change, at most @p limit.
  duration TimeUntilEnd(duration limit) {
    const instant begin = now;
    while (!CanAnyEndChange() && now - begin < limit) {
      RunFor(kTick);
    }
    return now - begin;
  }
};

// Guards against a change that lasts long although all entries that exist have heard of it: jobs need the previous
// members meanwhile.
TEST_F(view_change_test, EndsWhenAllMembersKnowClaims) {
  StartWithMembers(6, {0, 1, 2});
  BeginChange({3, 4, 5});
  EXPECT_FALSE(CanAnyEndChange());
  EXPECT_LT(TimeUntilEnd(std::chrono::seconds(5)).count(), kSoon.count());
}

// Guards against a new member that grants a job whose holder has not heard of the change.
TEST_F(view_change_test, ClaimOfHolderThatDoesNotHearOfChangeIsDeniedByNewMembers) {
  StartWithMembers(7, {0, 1, 2});
  Claim(6);
  RunFor(kTick * 2);
  ASSERT_TRUE(Granted(6));
  const instant heard_at = now;
  Stop(6);
  BeginChange({3, 4, 5});
  ASSERT_LT(TimeUntilEnd(std::chrono::seconds(5)).count(), kSoon.count());
  TellAll({3, AddressesOf({3, 4, 5}), {}});
  ExpectGrantedWhenRunsHaveEnded(3, heard_at);
}

// As above, but the new members have granted the claim of another entry when the holder's is handed over. That entry
// gives up, as the previous members deny its claim.
TEST_F(view_change_test, ClaimIsHandedOverBesideThatOfDeniedEntry) {
  StartWithMembers(7, {0, 1, 2});
  Claim(6);
  RunFor(kTick * 2);
  ASSERT_TRUE(Granted(6));
  const instant heard_at = now;
  Stop(6);
  BeginChange({3, 4, 5});
  for (const std::size_t registrar : {3U, 4U, 5U}) {
    EXPECT_EQ(ClaimAtOnly(2, registrar).verdict, claim_verdict::kGranted);
  }
  ASSERT_LT(TimeUntilEnd(std::chrono::seconds(5)).count(), kSoon.count());
  TellAll({3, AddressesOf({3, 4, 5}), {}});
  for (const std::size_t registrar : {3U, 4U, 5U}) {
    const claim_release release{"job", 1000, claim_end::kReleased, kHold};
    nodes[registrar].core->OnRequest({Address(2), nodes[2].process, {release}, {}, false, {}, {}, {}}, now);
  }
  ExpectGrantedWhenRunsHaveEnded(3, heard_at);
}

// Guards against running jobs that are stopped since a change has ended before their holder has heard of it, or before
// the new members have answered it.
TEST_F(view_change_test, ClaimOutlivesChangeThatEndsBeforeNewMembersAnswer) {
  for (const bool hears_of_change : {true, false}) {
    StartWithMembers(7, {0, 1, 2});
    Claim(6);
    RunFor(kSoon);
    ASSERT_TRUE(Granted(6));
    for (const std::size_t added : {3U, 4U, 5U}) {
      nodes[added].silent = true;
    }
    if (hears_of_change) {
      nodes[6].core->OnView({2, AddressesOf({3, 4, 5}), view.members}, now, now);
      RunFor(kTick * 2);
    }
    nodes[6].core->OnView({3, AddressesOf({3, 4, 5}), {}}, now, now);
    RunFor(std::chrono::milliseconds(300));
    EXPECT_TRUE(nodes[6].lapsed.empty());
    for (const std::size_t added : {3U, 4U, 5U}) {
      nodes[added].silent = false;
    }
    RunFor(std::chrono::seconds(3));
    EXPECT_TRUE(nodes[6].lapsed.empty());
    EXPECT_EQ(ClaimAtOnly(2, 3).verdict, claim_verdict::kHeld);
  }
}

// Guards against a holder that goes on for longer than its previous registrars have confirmed its claim.
TEST_F(view_change_test, ClaimLapsesWithItsLeaseIfNewMembersDoNotAnswer) {
  StartWithMembers(7, {0, 1, 2});
  Claim(6);
  RunFor(kSoon);
  ASSERT_TRUE(Granted(6));
  for (std::size_t other = 0; other < 6; ++other) {
    nodes[other].silent = true;
  }
  const duration lease = nodes[6].core->settings().lease;
  RunFor(lease / 2);
  nodes[6].core->OnView({3, AddressesOf({3, 4, 5}), {}}, now, now);
  RunFor(lease / 2 + kTick * 4);
  EXPECT_EQ(nodes[6].lapsed.count("job"), 1U);
}

// Guards against a change that ends while registrars that have not heard of it can grant a job by the previous view.
TEST_F(view_change_test, TwoSilentPreviousMembersHoldUpChange) {
  StartWithMembers(5, {0, 1, 2, 3, 4});
  Stop(3);
  Stop(4);
  BeginChange({0, 1, 2});
  const duration limit = std::chrono::seconds(20);
  EXPECT_EQ(TimeUntilEnd(limit).count(), limit.count());
}

// Guards against a change that waits for a single lost member, without which no job has a majority by the previous
// view.
TEST_F(view_change_test, OneSilentPreviousMemberDoesNotHoldUpChange) {
  StartWithMembers(4, {0, 1, 2, 3});
  Stop(3);
  BeginChange({0, 1, 2});
  EXPECT_LT(TimeUntilEnd(std::chrono::seconds(5)).count(), kSoon.count());
}

// As above, but one member of two is the only registrar of some jobs.
TEST_F(view_change_test, OneSilentMemberOfTwoHoldsUpChange) {
  StartWithMembers(2, {0, 1});
  Stop(1);
  BeginChange({0});
  const duration limit = std::chrono::seconds(20);
  EXPECT_EQ(TimeUntilEnd(limit).count(), limit.count());
}

// Guards against a change that ends before runs have ended that rest on lost members, and against one that waits for
// lost members although nothing can rest on them any more.
TEST_F(view_change_test, LostMembersHoldUpChangeUntilTheirClaimsHaveEnded) {
  StartWithMembers(3, {0, 1, 2});
  const job_claims_settings& settings = nodes[0].core->settings();
  Stop(1);
  Stop(2);
  const instant stopped_at = now;
  RunFor(std::chrono::seconds(5));
  BeginChange({0});
  nodes[0].core->OnPeers({}, now);
  RunFor(std::chrono::seconds(5));
  EXPECT_FALSE(CanAnyEndChange()) << "the list of entries may be older than the change";
  nodes[0].core->OnListedView(2);
  const instant listed_at = now;
  TimeUntilEnd(std::chrono::seconds(20));
  EXPECT_GE((now - listed_at).count(), settings.claim_end_limit().count());
  EXPECT_LT((now - listed_at).count(), (settings.claim_end_limit() + kSoon).count());
  EXPECT_GE((now - stopped_at).count(), (settings.member_freshness + settings.claim_end_limit()).count());
}

// Guards against refused callers that are told to come back long before or after jobs can be served again.
TEST_F(view_change_test, RefusedCallersAreToldWhenChangeEnds) {
  StartWithMembers(3, {0, 1, 2});
  EXPECT_EQ(nodes[0].core->RetryAfter(now), nodes[0].core->settings().min_retry_after);
  Stop(1);
  Stop(2);
  RunFor(std::chrono::seconds(5));
  nodes[0].core->OnPeers({}, now);
  BeginChange({0});
  nodes[0].core->OnListedView(2);
  RunFor(kSoon);
  const duration told = nodes[0].core->RetryAfter(now);
  const duration waited = TimeUntilEnd(std::chrono::seconds(20));
  EXPECT_GT(waited, std::chrono::seconds(1));
  EXPECT_LE(std::abs((waited - told).count()), kTick.count() * 2);
}

// Guards against lost members that are taken as such although this entry has answered them a moment ago: without the
// key-value service they decide as long as all members answer.
TEST_F(view_change_test, MembersThatWereAnsweredHoldUpChangeLonger) {
  StartWithMembers(3, {0, 1, 2});
  const job_claims_settings& settings = nodes[0].core->settings();
  nodes[0].core->OnPeers({}, now);
  BeginChange({0});
  nodes[0].core->OnListedView(2);
  nodes[1].silent = true;
  nodes[2].silent = true;
  RunFor(std::chrono::seconds(6));
  EXPECT_FALSE(CanAnyEndChange()) << "they send requests";
  Stop(1);
  Stop(2);
  const instant stopped_at = now;
  TimeUntilEnd(std::chrono::seconds(20));
  // The last request of each may have been answered up to a contact interval before.
  EXPECT_GE((now - stopped_at).count(),
            (settings.member_freshness + settings.claim_end_limit() - settings.contact_interval).count());
}

// Guards against a previous member that has restarted and hands over nothing, as it has forgotten what it granted.
TEST_F(view_change_test, RestartedPreviousMembersHoldUpChangeUntilTheyKnowClaims) {
  StartWithMembers(6, {0, 1, 2});
  Start(1);
  Start(2);
  BeginChange({3, 4, 5});
  EXPECT_GE(TimeUntilEnd(std::chrono::seconds(20)).count(), nodes[1].core->settings().run_end_limit.count());
  EXPECT_TRUE(CanAnyEndChange());
}

// Guards against a registrar that decides while it is not listed: the others may have changed the view without it.
TEST_F(view_change_test, UnlistedRegistrarDoesNotDecide) {
  StartWithMembers(3, {0, 1, 2});
  Stop(1);
  Stop(2);
  RunFor(nodes[0].core->settings().member_freshness);
  nodes[0].core->OnView(view, now, now);
  EXPECT_EQ(ClaimAtOnly(1, 0).verdict, claim_verdict::kGranted);
  nodes[0].core->OnRegistered(now, now);
  EXPECT_EQ(ClaimAtOnly(1, 0, 1001).verdict, claim_verdict::kUndecided);
  now += kTick;
  nodes[0].core->OnRegistered(now, now + std::chrono::seconds(5));
  EXPECT_EQ(ClaimAtOnly(1, 0, 1002).verdict, claim_verdict::kUndecided) << "it has read the view before it was listed";
  nodes[0].core->OnView(view, now, now);
  EXPECT_EQ(ClaimAtOnly(1, 0, 1003).verdict, claim_verdict::kGranted);
}

// Guards against a draining entry of which the others do not know that it leaves, and which decides after they may have
// changed the view.
TEST_F(view_change_test, DrainingEntryTellsOthersThatItLeaves) {
  StartWithMembers(3, {0, 1, 2});
  EXPECT_FALSE(nodes[1].core->IsLeaving(Address(0)));
  nodes[0].core->OnDrain();
  RunFor(kSoon);
  EXPECT_TRUE(nodes[1].core->IsLeaving(Address(0)));
  EXPECT_FALSE(nodes[1].core->CanJoin(Address(0)));
  Start(0);
  RunFor(kSoon);
  EXPECT_FALSE(nodes[1].core->IsLeaving(Address(0))) << "a new process runs";
}

// Guards against the last member of a view, whose hand-over nobody collects when it leaves.
TEST_F(view_change_test, LeavingMemberEndsChangeIfNoOtherOneCan) {
  StartWithMembers(2, {0});
  nodes[0].core->OnDrain();
  BeginChange({1});
  EXPECT_LT(TimeUntilEnd(std::chrono::seconds(5)).count(), kSoon.count());
}

}  // namespace
}  // namespace bamboowing
