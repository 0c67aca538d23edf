#include "connection/fake_server.h"

#include <gtest/gtest.h>
#include <string>

namespace mangodoor {
namespace {

// Guards against a test that takes a reset for a close, and so a broken
// response for a whole one, since a write was told of the reset.
TEST(TestConnectionTest, ResetToldToAWriteIsAReset) {
  constexpr size_t kPiece = 64 * 1024;
  FakeServer server([](TestConnection& connection) {
    connection.ReadExactly(1);
    connection.Reset();
  });
  TestConnection connection(server.endpoint());
  while (connection.Write(std::string(kPiece, 'x'))) {
  }
  connection.ReadAll();
  EXPECT_TRUE(connection.reset_by_peer());
}

// Guards against a test that takes a close for a reset.
TEST(TestConnectionTest, CloseIsNoReset) {
  FakeServer server([](TestConnection& connection) { connection.ReadHead(); });
  TestConnection connection(server.endpoint());
  EXPECT_TRUE(connection.Write("GET / HTTP/1.1\r\n\r\n"));
  connection.ReadAll();
  EXPECT_FALSE(connection.reset_by_peer());
}

}  // namespace
}  // namespace mangodoor
