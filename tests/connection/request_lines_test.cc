#include <nlohmann/json.hpp>

#include "connection/data_path_fixture.h"
#include "process/io/log.h"

namespace mangodoor {
namespace {

using testing::HasSubstr;
using testing::Not;

class RequestLinesTest : public DataPathTest {
 protected:
  RequestLinesTest() {
    ConfigureLog(LogLevel::kInfo);
    http_profile_.request_id = "X-Id";
    request_log_ = &log_;
  }

  /** Returns the log line of one request. */
  nlohmann::json LogLineOf(const std::string& request) {
    testing::internal::CaptureStdout();
    Exchange(request);
    listener_.reset();
    const std::string text = testing::internal::GetCapturedStdout();
    return nlohmann::json::parse(text.substr(0, text.find('\n')));
  }

 private:
  RequestLog log_{clock_};
};

constexpr char kRequest[] =
    "GET /open HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n"
    "Connection: close\r\n\r\n";

// Guards against a request that is logged without its id because it failed
// before the instance had its first configuration version.
TEST_F(RequestLinesTest, RequestWithoutDocumentIsLoggedWithId) {
  has_initial_version_ = false;
  StartWith(RespondToAll("ok"));
  const auto line = LogLineOf(kRequest);
  EXPECT_EQ(line["id"], "r-1");
  EXPECT_EQ(line["error"], "configuration_missing");
  EXPECT_EQ(line["route"], "a");
}

// Guards against a log line with the status 200 for a server that closed the
// connection without a response.
TEST_F(RequestLinesTest, LostConnectionHasNoStatus) {
  StartWith([](TestConnection& connection) { connection.ReadMessage(); });
  const auto line = LogLineOf(kRequest);
  EXPECT_EQ(line["id"], "r-1");
  const std::string attempts = line["attempts"];
  EXPECT_THAT(attempts, HasSubstr("connection_lost"));
  EXPECT_THAT(attempts, Not(HasSubstr("200")));
}

}  // namespace
}  // namespace mangodoor
