#include "connection/io/backend_connection_pool.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <boost/asio/write.hpp>
#include <list>

#include "connection/fake_server.h"
#include "process/fake_clock.h"

namespace mangodoor {
namespace {

using tcp = boost::asio::ip::tcp;
using testing::_;

class MockBackendTransport : public BackendTransport {
 public:
  MOCK_METHOD(void,
              Connect,
              (const Endpoint&, Duration, ConnectCallback),
              (override));
};

class BackendConnectionPoolTest : public testing::Test {
 protected:
  BackendConnectionPoolTest() {
    ON_CALL(transport_, Connect)
        .WillByDefault([this](const Endpoint&, Duration,
                              BackendTransport::ConnectCallback done) {
          pending_connects_.push_back(std::move(done));
        });
  }

  uint64_t Open() {
    return pool_.Open(chosen_, [this](boost::system::error_code error,
                                      BackendConnectionPtr connection) {
      if (error)
        ++failures_;
      else
        ready_.push_back(std::move(connection));
    });
  }

  /** Completes the oldest pending connect. */
  void CompleteConnect(boost::system::error_code error = {}) {
    std::shared_ptr<BackendSocket> socket;
    if (!error) {
      socket = std::make_shared<BackendSocket>(io_);
      socket->connect({boost::asio::ip::make_address("127.0.0.1"),
                       server_.endpoint().port});
    }
    const auto done = std::move(pending_connects_.front());
    pending_connects_.pop_front();
    done(error, socket);
  }

  FakeServer server_{[](TestConnection& connection) {
    if (!connection.ReadHead().empty())
      connection.Write("late");
  }};
  ChosenServer chosen_{BackendServerId("b"), server_.endpoint(), 3};
  boost::asio::io_context io_;
  testing::NiceMock<MockBackendTransport> transport_;
  FakeClock clock_;
  Counters counters_;
  BackendConnectionLimits limits_{2, std::chrono::seconds(1),
                                  std::chrono::seconds(30)};
  BackendConnectionPool pool_{transport_, clock_, counters_, limits_};
  std::list<BackendTransport::ConnectCallback> pending_connects_;
  std::vector<BackendConnectionPtr> ready_;
  int failures_ = 0;
};

// Guards against more parallel opens or connections than the limits allow.
TEST_F(BackendConnectionPoolTest, LimitsOpensAndConnections) {
  for (int i = 0; i < 5; ++i)
    Open();
  EXPECT_EQ(pending_connects_.size(), 2);
  CompleteConnect();
  EXPECT_EQ(pending_connects_.size(), 2);
  CompleteConnect();
  CompleteConnect();
  EXPECT_EQ(pending_connects_.size(), 0);
  EXPECT_EQ(ready_.size(), 3);
  pool_.Return(ready_[0]);
  EXPECT_EQ(ready_.size(), 4);
  EXPECT_TRUE(ready_[3]->reused);
  pool_.Discard(ready_[1]);
  EXPECT_EQ(pending_connects_.size(), 1);
}

// Guards against failed opens that still count against the limit.
TEST_F(BackendConnectionPoolTest, FailedOpenDoesNotCountAgainstLimit) {
  for (int i = 0; i < 4; ++i)
    Open();
  for (int i = 0; i < 4; ++i)
    CompleteConnect(boost::asio::error::connection_refused);
  EXPECT_EQ(failures_, 4);
  Open();
  CompleteConnect();
  EXPECT_EQ(ready_.size(), 1);
}

// Guards against a connection that is given to a cancelled request.
TEST_F(BackendConnectionPoolTest, CancelledOpenBecomesIdleConnection) {
  const uint64_t ticket = Open();
  pool_.CancelOpen(chosen_, ticket);
  CompleteConnect();
  EXPECT_TRUE(ready_.empty());
  EXPECT_TRUE(pool_.TakeIdle(chosen_));
}

// Guards against a late response that the next request takes for its own.
TEST_F(BackendConnectionPoolTest, IdleConnectionWithBytesIsNotReused) {
  Open();
  CompleteConnect();
  BackendSocket& socket = *ready_[0]->socket;
  boost::asio::write(socket, boost::asio::buffer("x\r\n\r\n", 5));
  pool_.Return(ready_[0]);
  socket.wait(tcp::socket::wait_read);
  EXPECT_FALSE(pool_.TakeIdle(chosen_));
  EXPECT_FALSE(socket.is_open());
}

// Guards against a late response that a waiting request takes for its own.
TEST_F(BackendConnectionPoolTest, ReturnedConnectionWithBytesReachesNoWaiter) {
  chosen_.connection_limit = 1;
  Open();
  CompleteConnect();
  Open();
  BackendSocket& socket = *ready_[0]->socket;
  boost::asio::write(socket, boost::asio::buffer("x\r\n\r\n", 5));
  socket.wait(tcp::socket::wait_read);
  pool_.Return(ready_[0]);
  EXPECT_FALSE(socket.is_open());
  ASSERT_EQ(pending_connects_.size(), 1);
  CompleteConnect();
  ASSERT_EQ(ready_.size(), 2);
  EXPECT_FALSE(ready_[1]->reused);
}

// Guards against idle connections that use up a server's limit.
TEST_F(BackendConnectionPoolTest, OldIdleConnectionsAreClosed) {
  Open();
  CompleteConnect();
  pool_.Return(ready_[0]);
  clock_.Advance(std::chrono::seconds(29));
  pool_.CloseIdle(clock_.Now());
  EXPECT_TRUE(ready_[0]->socket->is_open());
  clock_.Advance(std::chrono::seconds(1));
  pool_.CloseIdle(clock_.Now());
  EXPECT_FALSE(ready_[0]->socket->is_open());
}

}  // namespace
}  // namespace mangodoor
