#include <gtest/gtest.h>

#include <set>
#include <thread>

#include "bamboowing/base/error.h"
#include "bamboowing/base/event.h"
#include "bamboowing/base/random.h"
#include "bamboowing/base/ring.h"

namespace bamboowing {
namespace {

// Guards against an error kind whose row is at the wrong position in the table.
TEST(ErrorTable, RowsAreInTheOrderOfTheEnumeration) {
  std::set<std::string_view> names;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const error_row& row = ErrorRow(static_cast<error_kind>(i));
    EXPECT_EQ(static_cast<int>(row.kind), i);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_EQ(ErrorKindFromName(row.name), row.kind);
  }
  EXPECT_FALSE(ErrorKindFromName("no_such_kind").has_value());
}

// Guards against two event kinds with the same name in event logs.
TEST(EventName, IsUniqueForEachKind) {
  std::set<std::string_view> names;
  for (int i = 0; i < kEventKindCount; ++i) {
    EXPECT_TRUE(names.insert(EventName(static_cast<event_kind>(i))).second);
  }
}

// Guards against an unbounded queue between threads: a full ring rejects new elements.
TEST(BoundedRing, RefusesWhenFullAndKeepsOrder) {
  bounded_ring<int> ring(2);
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.TryPop(), 1);
  EXPECT_TRUE(ring.TryPush(3));
  EXPECT_EQ(ring.TryPop(), 2);
  EXPECT_EQ(ring.TryPop(), 3);
  EXPECT_FALSE(ring.TryPop().has_value());
}

// Guards against a consumer that waits forever, or loses elements, when the daemon shuts down.
TEST(BoundedRing, CloseWakesTheConsumerAndKeepsElements) {
  bounded_ring<int> ring(4);
  ASSERT_TRUE(ring.TryPush(7));
  std::thread closer([&ring] { ring.Close(); });
  closer.join();
  EXPECT_FALSE(ring.TryPush(8));
  EXPECT_EQ(ring.PopFor(std::chrono::hours(1)), 7);
  EXPECT_FALSE(ring.PopFor(std::chrono::hours(1)).has_value());
}

// Guards against a run that cannot be reproduced from its seed.
TEST(SeededRandom, RepeatsFromItsSeed) {
  seeded_random a(42);
  seeded_random b(42);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(a.Next(), b.Next());
    EXPECT_LT(a.Below(10), 10U);
    b.Below(10);
    const double unit = a.Unit();
    EXPECT_GE(unit, 0.0);
    EXPECT_LT(unit, 1.0);
    b.Unit();
  }
}

}  // namespace
}  // namespace bamboowing
