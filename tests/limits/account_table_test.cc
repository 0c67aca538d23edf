#include "process/accounts/account_table.h"

#include <gtest/gtest.h>

#include <cmath>
#include <optional>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId& Peer() {
  static const InstanceId id("b2");
  return id;
}

const ClientAccountId& Account() {
  static const ClientAccountId id("metro");
  return id;
}

/**
 * The account table of one of two instances; its share is a rate of 10 requests
 * a second and a burst of 5.
 */
class AccountTableTest : public testing::Test {
 protected:
  AccountTableTest() { Apply(20, 10); }

  void Apply(double rate_per_s, int64_t burst) {
    Document document;
    document.version = ++version_;
    DataCentre data_centre;
    data_centre.entry_addresses = {own_, {"10.0.0.2", 8080}};
    document.data_centres = {data_centre};
    ClientAccount account;
    account.id = Account();
    account.rate_per_s = rate_per_s;
    account.burst = burst;
    document.client_accounts = {account};
    ApplyVersion(table_, *MakeVersion(document, "", ""), own_, now_);
    ConfirmEntryAddresses(table_, version_, kShareOverlap, now_);
  }

  AccountActions AdvanceTime(Duration duration) {
    AccountActions all;
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += milliseconds(10);
      const AccountActions actions = TickAccounts(table_, now_);
      all.messages.insert(all.messages.end(), actions.messages.begin(),
                          actions.messages.end());
      for (const auto& callback : actions.callbacks)
        callback();
    }
    return all;
  }

  AdmissionReply Request(Duration limit = seconds(1)) {
    return RequestAdmission(table_, Account(), now_, now_ + limit,
                            [this](std::optional<ErrorKind> error) {
                              decisions_.push_back(error);
                            });
  }

  int AdmitAll() {
    int admitted = 0;
    while (Request().state == AdmissionReply::State::kAdmitted)
      ++admitted;
    return admitted;
  }

  AccountStatus Status() { return AccountStatuses(table_, now_).at(0); }

  CapacityLease Lease(MicroTokens tokens, MicroTokens rate, Duration duration) {
    return {uint64_t{7} << kExtensionBits,
            Account(),
            tokens,
            rate,
            tokens,
            duration};
  }

  AccountActions Receive(const PeerMessage& message) {
    return HandleAccountMessage(table_, Peer(), message, now_);
  }

  const Endpoint own_{"10.0.0.1", 8080};
  AccountTable table_;
  uint64_t version_ = 0;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<std::optional<ErrorKind>> decisions_;
};

// Guards against a new process using its share while leases that the previous
// process granted from it are still in use.
TEST_F(AccountTableTest, NewProcessHasNoTokensForLeaseDurationAndMargin) {
  AdvanceTime(milliseconds(1090));
  EXPECT_EQ(Status().tokens, 0);
  AdvanceTime(milliseconds(210));
  EXPECT_GE(Status().tokens, kMicroTokensPerToken);
}

// Guards against a new process that uses the share of its first version at
// once, while peers may still use larger shares of an earlier version.
TEST(ShareStateTest, UnconfirmedAddressesGiveNoShareDuringOverlap) {
  ShareState share_state = MakeShareState(TimePoint{}, InjectedLimitFaults());
  const Endpoint own{"10.0.0.1", 8080};
  AdoptEntryAddresses(share_state, {own}, own, TimePoint{},
                      InjectedLimitFaults());
  EXPECT_EQ(DivisorInForce(share_state, TimePoint{} + milliseconds(9999)), 0);
  EXPECT_EQ(DivisorInForce(share_state, TimePoint{} + seconds(10)), 1);
}

// Guards against admitting more requests than the share has tokens, and against
// admitting a request for a fraction of a token.
TEST_F(AccountTableTest, AdmitsOnlyWholeTokensOfItsShare) {
  AdvanceTime(seconds(3));
  EXPECT_EQ(AdmitAll(), 5);
  EXPECT_EQ(AdmitAll(), 0);
}

// Guards against refusals with the wrong error, and against requests that are
// decided out of order or twice.
TEST_F(AccountTableTest, WaitingRequestsAreDecidedOnceInOrder) {
  AdvanceTime(seconds(3));
  AdmitAll();
  decisions_.clear();
  EXPECT_EQ(Request(milliseconds(20)).state, AdmissionReply::State::kWaiting);
  AdvanceTime(milliseconds(200));
  ASSERT_EQ(decisions_.size(), 2U);
  EXPECT_EQ(decisions_[0], ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(decisions_[1], ErrorKind::kRateExceeded);
}

// Guards against calling back for a request that was cancelled because its
// caller disconnected.
TEST_F(AccountTableTest, CancelledRequestIsNotDecided) {
  const AdmissionReply reply = Request();
  ASSERT_EQ(reply.state, AdmissionReply::State::kWaiting);
  CancelAdmission(table_, Account(), reply.ticket);
  AdvanceTime(milliseconds(200));
  EXPECT_TRUE(decisions_.empty());
}

// Guards against a process that admits requests after a pause with tokens from
// before the pause.
TEST_F(AccountTableTest, PauseEmptiesBucketAndRefusesWaitingRequests) {
  AdvanceTime(seconds(3));
  AdmitAll();
  now_ += milliseconds(501);
  AdvanceTime(milliseconds(10));
  ASSERT_EQ(decisions_.size(), 1U);
  EXPECT_EQ(decisions_[0], ErrorKind::kRateExceeded);
  EXPECT_LT(Status().tokens, kMicroTokensPerToken);
}

// Guards against exceeding a lowered burst with tokens from before the change.
TEST_F(AccountTableTest, LowerBurstClampsAtOnce) {
  AdvanceTime(seconds(3));
  Apply(20, 2);
  EXPECT_EQ(AdmitAll(), 1);
}

// Guards against invalid requests that make the grantor lend more than it has.
TEST_F(AccountTableTest, InvalidLeaseRequestsAreIgnored) {
  AdvanceTime(seconds(3));
  const MicroTokens token = kMicroTokensPerToken;
  for (const CapacityLease& lease :
       {Lease(-token, 0, seconds(1)), Lease(INT64_MAX, 0, seconds(1)),
        Lease(token, INT64_MIN, seconds(1)), Lease(token, 0, Duration::zero()),
        Lease(token, 0, -seconds(1)), Lease(token, 0, seconds(2)),
        Lease(token, 0, Duration::max())})
    EXPECT_TRUE(Receive(LeaseRequest{lease}).messages.empty());
  EXPECT_EQ(Status().lent, 0);
  EXPECT_EQ(Status().tokens, 5 * token);
}

// Guards against using tokens from grants that were not requested, and against
// releases of unknown leases that change the account.
TEST_F(AccountTableTest, UnknownGrantsAndReleasesAreIgnored) {
  Receive(LeaseGrant{Lease(kMicroTokensPerToken, 0, seconds(1))});
  Receive(LeaseRelease{uint64_t{7} << kExtensionBits});
  EXPECT_EQ(Status().tokens, 0);
  EXPECT_EQ(Status().borrowed, 0);
}

// Guards against a grantor that uses lent capacity before the borrower stops.
TEST_F(AccountTableTest,
       LentCapacityReturnsWithoutTokensAfterDurationAndMargin) {
  AdvanceTime(seconds(3));
  const MicroTokens lent = 4 * kMicroTokensPerToken;
  EXPECT_EQ(
      Receive(LeaseRequest{Lease(lent, 0, milliseconds(200))}).messages.size(),
      1U);
  EXPECT_TRUE(Receive(LeaseRequest{Lease(lent, 0, milliseconds(200))})
                  .messages.empty());
  AdvanceTime(milliseconds(290));
  EXPECT_EQ(Status().burst, kMicroTokensPerToken);
  AdvanceTime(milliseconds(10));
  EXPECT_EQ(Status().burst, 5 * kMicroTokensPerToken);
  EXPECT_EQ(Status().tokens, kMicroTokensPerToken);
}

// Guards against leases granted by an instance that is leaving or fenced.
TEST_F(AccountTableTest, LendsNothingWhenStoppedOrFenced) {
  AdvanceTime(seconds(3));
  EXPECT_EQ(ListSpareTokens(table_, now_).size(), 1U);
  SetFenced(table_, true, now_);
  EXPECT_TRUE(ListSpareTokens(table_, now_).empty());
  SetFenced(table_, false, now_);
  StopLending(table_);
  const AccountActions actions =
      Receive(LeaseRequest{Lease(kMicroTokensPerToken, 0, seconds(1))});
  ASSERT_EQ(actions.messages.size(), 1U);
  EXPECT_EQ(std::get<LeaseGrant>(actions.messages[0].message).granted.tokens,
            0);
  EXPECT_EQ(Status().lent, 0);
}

// Guards against lending borrowed capacity beyond the end of the lease under
// which it was borrowed.
TEST(LendableCapacityTest, BorrowedCapacityIsLentOnOnlyUntilItsOwnEnd) {
  AccountState account;
  account.own_share = {0, kMicroTokensPerToken};
  const TimePoint end = TimePoint{} + seconds(1);
  account.leases.borrowed.push_back(
      {1, 1, Peer(), {0, 3 * kMicroTokensPerToken}, end});
  EXPECT_EQ(LendableCapacity(account, end).burst, 4 * kMicroTokensPerToken);
  EXPECT_EQ(LendableCapacity(account, end + Duration(1)).burst,
            kMicroTokensPerToken);
}

// Guards against rates and bursts that overflow, are negative or are NaN.
TEST(FleetLimitTest, ExtremeRatesAreClamped) {
  ClientAccount account;
  account.rate_per_s = NAN;
  account.burst = -5;
  EXPECT_EQ(FleetLimit(account), RateAndBurst{});
  account.rate_per_s = INFINITY;
  account.burst = INT64_MAX;
  EXPECT_GT(FleetLimit(account).rate_per_s, 0);
  EXPECT_GT(FleetLimit(account).burst, 0);
}

}  // namespace
}  // namespace mangodoor
