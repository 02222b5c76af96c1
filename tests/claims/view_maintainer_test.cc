#include "bamboowing/claims/view_maintainer.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "bamboowing/claims/registrar_quorum.h"

namespace bamboowing {
namespace {

constexpr duration kTick = std::chrono::milliseconds(50);

std::string Address(int entry) { return "10.0.0." + std::to_string(entry) + ":7000"; }

std::vector<std::string> Addresses(std::initializer_list<int> entries) {
  std::vector<std::string> addresses;
  for (const int entry : entries) {
    addresses.push_back(Address(entry));
  }
  return addresses;
}

/// Entry 1 and a key-value service. The other entries answer no requests unless they are set reachable.
class view_maintainer_test : public testing::Test {
 protected:
  view_maintainer_test() { Restart(); }

  void Restart() {
    job_claims_settings settings;
    settings.address = Address(1);
    settings.own_incarnation = ++process;
    claims = std::make_unique<job_claims>(settings, process, now);
    claims->OnRegistered(now, instant::max());
    view_maintainer_settings view;
    view.address = Address(1);
    view.change_limit = settings.view_change_limit();
    maintainer = std::make_unique<view_maintainer>(view);
  }

  void List(std::initializer_list<int> entries) {
    claims->OnPeers(Addresses(entries), now);
    maintainer->OnListed(Addresses(entries), now);
  }

  void RunFor(duration time) {
    for (const instant end = now + time; now < end;) {
      now += kTick;
      claims->Advance(now);
      for (const claim_action& action : claims->TakeActions()) {
        Execute(action);
      }
      if (const std::optional<view_call> call = maintainer->NextCall(*claims, now); call) {
        const view_result shown = maintainer->OnResult(Call(*call), now);
        errors += shown.error.empty() ? 0 : 1;
        absent = absent || shown.absent;
        if (shown.view) {
          claims->OnView(shown.view->view, shown.view->confirmed_at, now);
        }
      }
    }
  }

  /// Entries that answer do so at once.
  void Execute(const claim_action& action) {
    const send_claim_request* const sent = std::get_if<send_claim_request>(&action);
    if (sent == nullptr) {
      return;
    }
    claim_reply reply;
    reply.incarnation = 100;
    const bool answers = std::find(reachable.begin(), reachable.end(), sent->address) != reachable.end();
    claims->OnReply(sent->exchange, answers ? std::optional<claim_reply>(reply) : std::nullopt, now);
  }

  store_result Call(const view_call& call) {
    store_result result;
    if (!answers_calls) {
      return result;
    }
    result.outcome = store_outcome::kOk;
    if (const store_swap* const swap = std::get_if<store_swap>(&call); swap != nullptr) {
      ++writes;
      if (swap->expected == version) {
        stored = swap->value;
        ++version;
      } else {
        result.outcome = store_outcome::kConflict;
      }
    } else {
      ++reads;
      result.value = stored;
    }
    result.version = version;
    return result;
  }

  void Store(const registrar_view& view) {
    stored = FormatRegistrarView(view);
    ++version;
  }
  registrar_view Stored() const { return stored ? *ParseRegistrarView(*stored) : registrar_view(); }

  instant now{std::chrono::seconds(1000)};
  std::unique_ptr<job_claims> claims;
  std::unique_ptr<view_maintainer> maintainer;
  std::vector<std::string> reachable;
  std::optional<std::string> stored;
  store_version version = 0;
  incarnation_id process = 0;
  bool answers_calls = true;
  bool absent = false;
  int errors = 0;
  int reads = 0;
  int writes = 0;
};

// Guards against a new deployment without registrars, and against one whose first view lacks entries that start a
// moment later than the first one.
TEST_F(view_maintainer_test, FirstViewHasAllEntriesThatStartTogether) {
  List({1});
  RunFor(std::chrono::milliseconds(300));
  EXPECT_TRUE(absent);
  List({1, 2, 3});
  RunFor(std::chrono::milliseconds(300));
  EXPECT_EQ(writes, 0);
  RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(Stored().number, 1U);
  EXPECT_EQ(Stored().members, Addresses({1, 2, 3}));
  EXPECT_EQ(claims->view().number, 1U);
}

// Guards against two entries that each write a first view.
TEST_F(view_maintainer_test, ViewOfAnotherEntryIsAdopted) {
  List({1, 2, 3});
  RunFor(std::chrono::milliseconds(600));
  Store({1, Addresses({1, 2, 3}), {}});
  RunFor(std::chrono::seconds(1));
  EXPECT_EQ(version, 1U);
  EXPECT_EQ(claims->view().number, 1U);
}

// Guards against a member that stays one for ever after it has gone, against one that is removed while it is only cut
// off from the key-value service, and against a change that ends before claims of the previous members must have ended.
TEST_F(view_maintainer_test, LostMemberIsRemovedInTwoSteps) {
  Store({1, Addresses({1, 2, 3, 4}), {}});
  reachable = Addresses({2, 3});
  List({1, 2, 4});
  RunFor(std::chrono::seconds(8));
  EXPECT_EQ(Stored().number, 1U) << "entry 3 answers, entry 4 is listed";
  List({1, 2});
  RunFor(std::chrono::seconds(2));
  EXPECT_EQ(Stored().number, 1U);
  RunFor(std::chrono::milliseconds(1500));
  EXPECT_EQ(Stored().number, 2U);
  EXPECT_EQ(Stored().members, Addresses({1, 2, 3}));
  EXPECT_EQ(Stored().previous, Addresses({1, 2, 3, 4}));
  RunFor(claims->settings().view_change_limit() - std::chrono::seconds(1));
  EXPECT_EQ(Stored().number, 2U);
  RunFor(std::chrono::seconds(2));
  EXPECT_EQ(Stored().number, 3U);
  EXPECT_EQ(Stored().members, Addresses({1, 2, 3}));
  EXPECT_TRUE(Stored().previous.empty());
}

// Guards against new entries that never share the work of the registrars.
TEST_F(view_maintainer_test, NewEntryBecomesMember) {
  Store({1, Addresses({1, 2, 3}), {}});
  reachable = Addresses({2, 3, 5});
  List({1, 2, 3, 5});
  RunFor(std::chrono::seconds(1));
  EXPECT_EQ(Stored().number, 1U);
  RunFor(std::chrono::seconds(2));
  EXPECT_EQ(Stored().members, Addresses({1, 2, 3, 5}));
  EXPECT_EQ(Stored().previous, Addresses({1, 2, 3}));
}

// Guards against a new entry that takes the members for lost because it can't reach them, and against a deployment that
// never recovers from the loss of all members.
TEST_F(view_maintainer_test, EntryThatIsNoMemberTakesOverOnlyAfterLossOfAll) {
  Store({1, Addresses({2, 3, 4}), {}});
  List({1, 2});
  RunFor(std::chrono::seconds(30));
  EXPECT_EQ(Stored().number, 1U) << "entry 2 is listed";
  List({1});
  RunFor(std::chrono::seconds(2) - kTick * 2);
  EXPECT_EQ(Stored().number, 1U) << "they may be listed again after an outage";
  RunFor(kTick * 10);
  EXPECT_EQ(Stored().number, 2U);
  EXPECT_EQ(Stored().members, Addresses({1}));
  EXPECT_EQ(Stored().previous, Addresses({2, 3, 4})) << "runs may rest on claims that lost members have granted";
  RunFor(claims->settings().claim_end_limit() + std::chrono::seconds(1));
  EXPECT_EQ(Stored().number, 2U) << "the list is older than the change";
  claims->OnListedView(2);
  RunFor(claims->settings().claim_end_limit() - kTick * 2);
  EXPECT_EQ(Stored().number, 2U);
  RunFor(kTick * 10);
  EXPECT_EQ(Stored().number, 3U);
  EXPECT_TRUE(Stored().previous.empty()) << "no claim needs the grants of lost members";
}

// Guards against calls that stop after one without an answer, and against calls without pause meanwhile.
TEST_F(view_maintainer_test, ReadsAgainAfterCallsWithoutAnswer) {
  Store({1, Addresses({1, 2, 3}), {}});
  answers_calls = false;
  List({1, 2, 3});
  RunFor(std::chrono::seconds(5));
  EXPECT_EQ(claims->view().number, 0U);
  answers_calls = true;
  RunFor(std::chrono::seconds(1));
  EXPECT_EQ(claims->view().number, 1U);
  reads = 0;
  RunFor(std::chrono::seconds(20));
  EXPECT_GE(reads, 6) << "the view is confirmed before registrars may no longer decide";
  EXPECT_LE(reads, 10);
}

// Guards against a value of another writer that is overwritten or ends the process.
TEST_F(view_maintainer_test, MalformedViewIsReportedAndKept) {
  for (const char* value :
       {"", "{}", "[1]", "{\"number\":1,\"members\":[]}", "{\"number\":0,\"members\":[\"1.2.3.4:5\"]}",
        "{\"number\":2,\"members\":[\"1.2.3.4:0\"]}", "{\"number\":2,\"members\":[7]}"}) {
    Restart();
    stored = value;
    version = 7;
    errors = 0;
    List({1, 2, 3});
    RunFor(std::chrono::seconds(3));
    EXPECT_GT(errors, 0) << value;
    EXPECT_EQ(stored, value);
    EXPECT_EQ(claims->view().number, 0U);
  }
}

}  // namespace
}  // namespace bamboowing
