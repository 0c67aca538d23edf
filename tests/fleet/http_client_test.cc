#include "fleet/harness/http_client.h"

#include <gtest/gtest.h>

#include <string>

#include "process/one_response_server.h"

namespace mangodoor {
namespace {

// More than the buffers of the sockets hold.
constexpr size_t kUploadSize = 6 * 1024 * 1024;

/** The response of `server` to an upload of `size` bytes. */
ClientResponse Upload(const OneResponseServer& server, size_t size) {
  ClientRequest request;
  request.method = "POST";
  request.body = std::string(size, 'u');
  return CallOnce(server.endpoint(), request);
}

// Guards against a fault of an instance that its callers in tests do not see: a
// status that HTTP does not have counted as no response.
TEST(HttpClientFleetTest, InvalidStatusIsMalformed) {
  for (const char* status : {"000", "099", "600", "999"}) {
    SCOPED_TRACE(status);
    OneResponseServer server({std::string("HTTP/1.1 ") + status +
                                  " Status\r\nContent-Length: 0\r\n\r\n",
                              false});
    const ClientResponse response = Upload(server, 0);
    EXPECT_EQ(response.status, 0);
    EXPECT_NE(response.malformed, "");
  }
}

// Guards against an early answer that is not seen because its sender does not
// read the request.
TEST(HttpClientFleetTest, EarlyAnswerIsRead) {
  OneResponseServer server(
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true});
  EXPECT_EQ(Upload(server, kUploadSize).body, "ok");
}

// Guards against a reset that is taken for the end of an early answer.
TEST(HttpClientFleetTest, ResetIsNoEndOfAnEarlyAnswer) {
  OneResponseServer server({"HTTP/1.1 200 OK\r\n\r\nok", true});
  EXPECT_EQ(Upload(server, kUploadSize).status, 0);
}

TEST(HttpClientFleetTest, CloseEndsAnAnswer) {
  OneResponseServer server({"HTTP/1.1 200 OK\r\n\r\nok", false});
  EXPECT_EQ(Upload(server, 0).body, "ok");
}

}  // namespace
}  // namespace mangodoor
