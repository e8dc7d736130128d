#include "coordination/bucket_leases/bucket_owner.h"

#include <gtest/gtest.h>

namespace wagtailshore::bucket_leases {
namespace {

constexpr common::Duration kLease = common::seconds(20);
constexpr common::Duration kDrift = common::seconds(2);

common::Time At(int seconds) {
  return common::Time(common::seconds(seconds));
}

BucketOwner NewOwner(const std::string& name) {
  return BucketOwner({.row_key = "bucket/1",
                      .process = name,
                      .lease = kLease,
                      .drift_bound = kDrift,
                      .new_token = [name, number = 0]() mutable {
                        return name + std::to_string(++number);
                      }});
}

// Lets a new owner read a free bucket at `now`; returns the write by which it
// acquires the lease.
table::WriteRow AcquireFreeBucket(BucketOwner& owner, common::Time now) {
  owner.OnTick(now);
  return std::get<table::WriteRow>(owner.OnRead(table::RowRead{}, now).front());
}

TEST(BucketOwnerTest, CountsTheLeaseFromTheSendingOfTheWrite) {
  BucketOwner owner = NewOwner("a");
  AcquireFreeBucket(owner, At(0));
  owner.OnWrite(table::RowWritten{1}, At(15));
  EXPECT_TRUE(owner.Owns(At(19)));
  EXPECT_FALSE(owner.Owns(At(20)));
}

TEST(BucketOwnerTest, TakesOverOnlyAfterTheLeaseAndTheDriftBound) {
  BucketOwner first = NewOwner("a");
  const table::Row row = table::RowAfter(AcquireFreeBucket(first, At(0)));
  BucketOwner second = NewOwner("b");
  second.OnTick(At(1));
  EXPECT_TRUE(second.OnRead(table::RowRead{row}, At(1)).empty());
  second.OnTick(At(22));
  EXPECT_TRUE(second.OnRead(table::RowRead{row}, At(22)).empty());
  second.OnTick(At(24));
  const OwnerActions taken = second.OnRead(table::RowRead{row}, At(24));
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_TRUE(Parse(std::get<table::WriteRow>(taken.front()).value)->barred);
}

}  // namespace
}  // namespace wagtailshore::bucket_leases
