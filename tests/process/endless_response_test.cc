#include <gtest/gtest.h>

#include <stdexcept>

#include "process/endless_server.h"
#include "process/io/blocking_get.h"
#include "process/io/http_get.h"

namespace mangodoor {
namespace {

constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::chrono::milliseconds kTimeout(1000);

class EndlessResponseTest : public ::testing::TestWithParam<EndlessResponse> {
 protected:
  EndlessServer server_{GetParam(), kResponse};
};

HttpResult GetOnce(const Endpoint& endpoint) {
  boost::asio::io_context context;
  HttpResult result;
  SendGet(context, endpoint, MakeGet(endpoint, "/"), kTimeout,
          [&result](HttpResult got) { result = std::move(got); });
  context.run();
  return result;
}

// Guards against memory that grows as long as a faulty server goes on writing.
TEST_P(EndlessResponseTest, EndsHttpGet) {
  EXPECT_NE(GetOnce(server_.endpoint()).error, "");
  EXPECT_LT(server_.bytes_sent(), kMaxEndlessBytes);
  EXPECT_EQ(GetOnce(server_.endpoint()).response.body(), "ok");
}

// Guards against the same in the programs for operators.
TEST_P(EndlessResponseTest, EndsBlockingGet) {
  EXPECT_THROW(BlockingGet(server_.endpoint(), "/", kTimeout),
               std::runtime_error);
  EXPECT_LT(server_.bytes_sent(), kMaxEndlessBytes);
  EXPECT_EQ(BlockingGet(server_.endpoint(), "/", kTimeout).body, "ok");
}

INSTANTIATE_TEST_SUITE_P(Parts,
                         EndlessResponseTest,
                         ::testing::ValuesIn(EndlessResponses()),
                         [](const auto& info) {
                           std::string name = info.param.name;
                           name.replace(name.find(' '), 1, "_");
                           return name;
                         });

}  // namespace
}  // namespace mangodoor
