#include <gtest/gtest.h>

#include <stdexcept>

#include "process/http_get_once.h"
#include "process/io/blocking_get.h"
#include "process/one_response_server.h"

namespace mangodoor {
namespace {

constexpr std::chrono::milliseconds kTimeout(1000);
constexpr char kUnended[] = "HTTP/1.1 200 OK\r\n\r\nbody";

// Guards against a part of a response that is taken for the whole of it, by the
// sources of documents and instance lists, and by the programs for operators.
TEST(BrokenResponseTest, ResetIsNoEndOfTheBody) {
  OneResponseServer server({kUnended, true});
  EXPECT_NE(GetOnce(server.endpoint(), kTimeout).error, "");
  EXPECT_THROW(BlockingGet(server.endpoint(), "/", kTimeout),
               std::runtime_error);
}

TEST(BrokenResponseTest, CloseEndsTheBody) {
  OneResponseServer server({kUnended, false});
  EXPECT_EQ(GetOnce(server.endpoint(), kTimeout).response.body(), "body");
  EXPECT_EQ(BlockingGet(server.endpoint(), "/", kTimeout).body, "body");
}

// Guards against bytes that are no response and pass for a 200.
TEST(BrokenResponseTest, InvalidStatusIsNoSuccess) {
  for (const unsigned status : {0U, 99U, 600U, 999U}) {
    const std::string digits = std::to_string(1000 + status).substr(1);
    OneResponseServer server(
        {"HTTP/1.1 " + digits + " Status\r\nContent-Length: 2\r\n\r\nok",
         false});
    EXPECT_EQ(GetOnce(server.endpoint(), kTimeout).response.result_int(),
              status);
    EXPECT_EQ(BlockingGet(server.endpoint(), "/", kTimeout).http_status,
              static_cast<int>(status));
  }
}

}  // namespace
}  // namespace mangodoor
