#include <atomic>
#include <nlohmann/json.hpp>
#include <sstream>

#include "connection/data_path_fixture.h"
#include "process/io/log.h"

namespace mangodoor {
namespace {

using testing::AllOf;
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

std::string RequestWithId(const std::string& id) {
  return "GET /open HTTP/1.1\r\nHost: a\r\nX-Id: " + id +
         "\r\nConnection: close\r\n\r\n";
}

std::string ErrorResponseTo(const std::string& id) {
  return "HTTP/1.1 500 Error\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::string Request() {
  return RequestWithId("r-1");
}

// Guards against a request that is logged without its id because it failed
// before the instance had its first configuration version.
TEST_F(RequestLinesTest, RequestWithoutDocumentIsLoggedWithId) {
  has_initial_version_ = false;
  StartWith(RespondToAll("ok"));
  const auto line = LogLineOf(Request());
  EXPECT_EQ(line["id"], "r-1");
  EXPECT_EQ(line["error"], "configuration_missing");
  EXPECT_EQ(line["route"], "a");
}

// Guards against a log line with the status 200 for a server that closed the
// connection without a response.
TEST_F(RequestLinesTest, LostConnectionHasNoStatus) {
  StartWith([](TestConnection& connection) { connection.ReadMessage(); });
  const auto line = LogLineOf(Request());
  EXPECT_EQ(line["id"], "r-1");
  const std::string attempts = line["attempts"];
  EXPECT_THAT(attempts, HasSubstr("connection_lost"));
  EXPECT_THAT(attempts, Not(HasSubstr("200")));
}

// Guards against a response to an earlier request that leaves no trace in the
// log of the request that was running.
TEST_F(RequestLinesTest, ExtraResponseIsLoggedWithItsId) {
  StartWith([](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(ErrorResponseTo("r-0"));
    connection.ReadMessage();
    connection.Write(
        ErrorResponseTo("r-0") +
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok"
        "more");
  });
  Exchange(RequestWithId("r-0"));
  const auto line = LogLineOf(Request());
  EXPECT_THAT(std::string(line["response_faults"]),
              AllOf(HasSubstr("extra_response 500 of r-0"),
                    HasSubstr("bytes_after_response 200 of r-1")));
  EXPECT_THAT(std::string(line["attempts"]),
              HasSubstr("after 1 requests on its connection"));
  EXPECT_EQ(FaultCount(ResponseFault::kExtraResponse), 1);
  EXPECT_EQ(FaultCount(ResponseFault::kBytesAfterResponse), 1);
}

// Guards against lines that do not tell which requests shared a connection of a
// caller.
TEST_F(RequestLinesTest, LinesOfOneConnectionHaveTheSameCaller) {
  http_profile_.request_id = "";
  StartWith(RespondToAll("ok"));
  testing::internal::CaptureStdout();
  TestConnection caller = Connect();
  caller.Write(kGet);
  caller.ReadMessage();
  // The line of a request is written before its connection is closed.
  caller.Write(Request());
  caller.ReadAll();
  Exchange(Request());
  listener_.reset();
  std::istringstream text(testing::internal::GetCapturedStdout());
  std::vector<std::string> callers;
  for (std::string line; std::getline(text, line);)
    callers.push_back(nlohmann::json::parse(line)["caller"]);
  ASSERT_EQ(callers.size(), 3);
  EXPECT_EQ(callers[0], callers[1]);
  EXPECT_NE(callers[0], callers[2]);
}

// Guards against a faulty server that fills the log.
TEST_F(RequestLinesTest, FaultsOfOneRequestAreBounded) {
  const std::string id(1000, 'r');
  StartWith([&id](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(ErrorResponseTo(id));
    connection.ReadMessage();
    for (int i = 0; i < 20; ++i)
      connection.Write(ErrorResponseTo(id));
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok");
    connection.ReadMessage();
  });
  Exchange(RequestWithId(id));
  const std::string faults = LogLineOf(Request())["response_faults"];
  EXPECT_THAT(faults, HasSubstr("and 14 more"));
  EXPECT_LT(faults.size(), 1024);
}

// Guards against bytes on an idle connection that leave no trace in the log.
TEST_F(RequestLinesTest, BytesWhileIdleAreLoggedWithTheLastId) {
  const auto may_write = std::make_shared<std::atomic<bool>>(false);
  const auto written = std::make_shared<std::atomic<bool>>(false);
  StartWith([may_write, written](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok");
    if (*written ||
        !Eventually([&may_write] { return may_write->exchange(false); }))
      return;
    connection.Write("late");
    *written = true;
    connection.ReadMessage();
  });
  testing::internal::CaptureStdout();
  // The connection is idle once the caller's connection is closed.
  Exchange(Request());
  *may_write = true;
  EXPECT_TRUE(Eventually([&written] { return written->load(); }));
  Exchange(Request());
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_THAT(text, HasSubstr("\"backend_connection_closed\""));
  EXPECT_THAT(text, HasSubstr("\"fault\":\"bytes_while_idle\""));
  EXPECT_THAT(text, HasSubstr("\"last_id\":\"r-1\""));
  EXPECT_EQ(FaultCount(ResponseFault::kBytesWhileIdle), 1);
}

}  // namespace
}  // namespace mangodoor
