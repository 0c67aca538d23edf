#include "connection/io/backend_connection.h"

#include <gtest/gtest.h>
#include <boost/asio/error.hpp>
#include <boost/asio/strand.hpp>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "connection/fake_server.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;

constexpr char kPart[] = "part of a body";
constexpr size_t kReadSize = 1024;
// Long enough for a segment to arrive.
constexpr std::chrono::milliseconds kArrival{20};

/** A connection to a server that has done something before it is used. */
class BackendConnectionTest : public testing::Test {
 protected:
  BackendConnection ConnectTo(const FakeServer& server) {
    const Endpoint endpoint = server.endpoint();
    BackendConnection connection;
    connection.socket = std::make_shared<BackendSocket>(io_);
    connection.socket->connect(
        {asio::ip::make_address(endpoint.address), endpoint.port});
    connection.socket->non_blocking(true);
    return connection;
  }

  /** Runs `use` on the strand of a connection, once `script` has run. */
  template <typename Use>
  void Run(FakeServer::Script script, Use use) {
    std::promise<void> played;
    FakeServer server([&](TestConnection& connection) {
      connection.Write(kPart);
      script(connection);
      std::this_thread::sleep_for(kArrival);
      played.set_value();
    });
    BackendConnection connection = ConnectTo(server);
    played.get_future().wait();
    asio::spawn(asio::make_strand(io_),
                [&](YieldContext yield) { use(connection, yield); });
    io_.run();
  }

  static void ReadPart(BackendConnection& connection, YieldContext yield) {
    EXPECT_FALSE(ReadSome(connection, kReadSize, yield));
    EXPECT_EQ(connection.buffer.size(), std::string(kPart).size());
  }

  asio::io_context io_{1};
};

// Guards against a read that takes a reset for the end of the stream, since a
// write was told of it.
TEST_F(BackendConnectionTest, ResetToldToAWriteIsNoEnd) {
  Run([](TestConnection& server) { server.Reset(); },
      [](BackendConnection& connection, YieldContext yield) {
        EXPECT_EQ(Write(connection, "x", yield), asio::error::connection_reset);
        EXPECT_EQ(Write(connection, "x", yield), asio::error::broken_pipe);
        ReadPart(connection, yield);
        EXPECT_EQ(ReadSome(connection, kReadSize, yield),
                  asio::error::connection_reset);
      });
}

TEST_F(BackendConnectionTest, ResetToldToTheReadIsNoEnd) {
  Run([](TestConnection& server) { server.Reset(); },
      [](BackendConnection& connection, YieldContext yield) {
        ReadPart(connection, yield);
        EXPECT_EQ(ReadSome(connection, kReadSize, yield),
                  asio::error::connection_reset);
      });
}

// Guards against a stream without an end because its server has reset the
// connection after it.
TEST_F(BackendConnectionTest, EndBeforeAResetIsAnEnd) {
  Run(
      [](TestConnection& server) {
        server.ShutdownSend();
        EXPECT_TRUE(server.WaitUntilAcknowledged());
        server.Reset();
      },
      [](BackendConnection& connection, YieldContext yield) {
        EXPECT_EQ(Write(connection, "x", yield), asio::error::broken_pipe);
        ReadPart(connection, yield);
        EXPECT_EQ(ReadSome(connection, kReadSize, yield), asio::error::eof);
      });
}

TEST_F(BackendConnectionTest, EndLeavesTheOtherDirection) {
  Run([](TestConnection& server) { server.ShutdownSend(); },
      [](BackendConnection& connection, YieldContext yield) {
        ReadPart(connection, yield);
        EXPECT_EQ(ReadSome(connection, kReadSize, yield), asio::error::eof);
        EXPECT_FALSE(Write(connection, "x", yield));
      });
}

// Guards against a write that is not finished if the server reads late.
TEST_F(BackendConnectionTest, WriteWaitsForTheServer) {
  constexpr size_t kSize = 8 * 1024 * 1024;
  std::promise<size_t> received;
  FakeServer server([&](TestConnection& connection) {
    std::this_thread::sleep_for(kArrival);
    received.set_value(connection.ReadExactly(kSize).size());
  });
  BackendConnection connection = ConnectTo(server);
  asio::spawn(asio::make_strand(io_), [&](YieldContext yield) {
    EXPECT_FALSE(Write(connection, std::string(kSize, 'x'), yield));
  });
  io_.run();
  EXPECT_EQ(received.get_future().get(), kSize);
}

}  // namespace
}  // namespace mangodoor
