#include "connection/io/backend_transport.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

// Guards against an address that cannot be parsed and whose exception ends the
// process.
TEST(BackendTransportTest, ReportsInvalidAddresses) {
  boost::asio::io_context io;
  TcpBackendTransport transport(io);
  for (const char* address : {"999.1.1.1", "", "host.example"}) {
    boost::system::error_code reported;
    bool done = false;
    transport.Connect({address, 80}, std::chrono::seconds(1),
                      [&](boost::system::error_code error, const auto& socket) {
                        done = true;
                        reported = error;
                        EXPECT_FALSE(socket);
                      });
    // The callback must not run before Connect returns: callers may hold locks.
    EXPECT_FALSE(done);
    io.run();
    io.restart();
    EXPECT_TRUE(done);
    EXPECT_TRUE(reported);
  }
}

}  // namespace
}  // namespace mangodoor
