#include "process/load/io/load_caller.h"

#include <gtest/gtest.h>

#include <boost/beast/http.hpp>
#include <functional>
#include <memory>

#include "process/system_clock.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr char kAddressesTarget[] = "/.well-known/mangodoor/addresses";

// A fake instance that serves callers. Runs on the test's io_context.
class FakeInstance {
 public:
  // Fills in the response, or returns false to close the connection instead.
  using Handler = std::function<bool(const Request&, Response&)>;

  FakeInstance(asio::io_context& context, const char* address)
      : acceptor_(context, tcp::endpoint(asio::ip::make_address(address), 0)) {
    Accept();
  }

  Endpoint endpoint() const {
    return {acceptor_.local_endpoint().address().to_string(),
            acceptor_.local_endpoint().port()};
  }

  void Close() { acceptor_.close(); }

  std::vector<Endpoint> addresses;
  Handler handler = [](const Request&, Response&) { return true; };
  /** Written in place of a response, before a reset. */
  std::string part;
  std::vector<Request> requests;
  int address_requests = 0;
  int connections = 0;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error)
            return;
          ++connections;
          auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
          asio::spawn(acceptor_.get_executor(),
                      [this, stream](asio::yield_context yield) {
                        try {
                          Serve(*stream, yield);
                        } catch (const boost::system::system_error&) {
                          // The caller closed the connection.
                        }
                      });
          Accept();
        });
  }

  void Serve(beast::tcp_stream& stream, asio::yield_context yield) {
    beast::flat_buffer buffer;
    for (;;) {
      Request request;
      http::async_read(stream, buffer, request, yield);
      Response response(http::status::ok, 11);
      if (request.target() == kAddressesTarget) {
        ++address_requests;
        response.body() = AddressesBody();
      } else {
        requests.push_back(request);
        if (!handler(request, response))
          return;
        if (!part.empty())
          return WriteAndReset(stream.socket(), yield);
      }
      response.prepare_payload();
      http::async_write(stream, response, yield);
    }
  }

  void WriteAndReset(tcp::socket& socket, asio::yield_context yield) {
    asio::async_write(socket, asio::buffer(part), yield);
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  std::string AddressesBody() const {
    std::string list;
    for (const Endpoint& address : addresses)
      list += (list.empty() ? "\"" : ",\"") + ToString(address) + "\"";
    return "{\"addresses\":[" + list + "],\"keep_ms\":60000}";
  }

  tcp::acceptor acceptor_;
};

class LoadCallerTest : public ::testing::Test {
 protected:
  LoadCallerTest() {
    options_.bootstrap = {first_.endpoint()};
    options_.key = "open-sesame";
    first_.addresses = {first_.endpoint(), second_.endpoint()};
    second_.addresses = first_.addresses;
  }

  // Sends one request with a new caller.
  RequestResult SendRequest() {
    RequestResult result;
    asio::spawn(context_, [&](asio::yield_context yield) {
      LoadCaller caller(context_, clock_, options_, 0);
      result = caller.SendRequest(clock_.Now(), yield);
      context_.stop();
    });
    context_.run();
    context_.restart();
    return result;
  }

  // Sends `count` requests with one caller, then stops the instances.
  std::vector<RequestResult> SendRequests(int count,
                                          size_t address_offset = 0) {
    std::vector<RequestResult> results;
    asio::spawn(context_, [&](asio::yield_context yield) {
      LoadCaller caller(context_, clock_, options_, address_offset);
      for (int i = 0; i < count; ++i)
        results.push_back(caller.SendRequest(clock_.Now(), yield));
      first_.Close();
      second_.Close();
    });
    context_.run();
    return results;
  }

  asio::io_context context_;
  SystemClock clock_;
  CallerOptions options_;
  FakeInstance first_{context_, "127.0.0.1"};
  FakeInstance second_{context_, "127.0.0.2"};
};

// Guards against a caller that connects or asks for addresses again for each
// request.
TEST_F(LoadCallerTest, ReusesAddressesAndConnection) {
  const auto results = SendRequests(5);
  for (const RequestResult& result : results)
    EXPECT_TRUE(IsServed(result.last));
  EXPECT_EQ(first_.address_requests, 1);
  EXPECT_EQ(first_.connections, 1);
  EXPECT_EQ(first_.requests.size(), 5U);
  EXPECT_EQ(first_.requests[0]["Authorization"], "Bearer open-sesame");
}

// Guards against callers that all send their requests to the instance that they
// asked for addresses.
TEST_F(LoadCallerTest, OffsetSpreadsCallers) {
  SendRequests(1, 1);
  EXPECT_EQ(first_.address_requests, 1);
  EXPECT_EQ(second_.requests.size(), 1U);
}

// Guards against a request that fails although another instance is reachable.
TEST_F(LoadCallerTest, FailsOverToAnotherAddress) {
  options_.bootstrap = {{"127.0.0.3", first_.endpoint().port},
                        second_.endpoint()};
  second_.addresses = {{"127.0.0.3", first_.endpoint().port},
                       second_.endpoint()};
  const auto results = SendRequests(2);
  EXPECT_TRUE(IsServed(results[0].last));
  EXPECT_TRUE(IsServed(results[1].last));
  EXPECT_EQ(second_.requests.size(), 2U);
}

// Guards against retrying a request that is not idempotent and may have run.
TEST_F(LoadCallerTest, BrokenPostIsNotRetried) {
  options_.method = "POST";
  options_.body = "order";
  first_.handler = [](const Request&, Response&) { return false; };
  const auto results = SendRequests(1);
  EXPECT_EQ(results[0].attempts, 1);
  EXPECT_EQ(results[0].last.end, RequestAttempt::End::kBroken);
  EXPECT_EQ(first_.requests.size() + second_.requests.size(), 1U);
}

// Guards against a broken connection that fails an idempotent request.
TEST_F(LoadCallerTest, BrokenGetIsRetriedElsewhere) {
  first_.handler = [](const Request&, Response&) { return false; };
  const auto results = SendRequests(1);
  EXPECT_EQ(results[0].attempts, 2);
  EXPECT_TRUE(IsServed(results[0].last));
  EXPECT_EQ(second_.requests.size(), 1U);
}

// Guards against not retrying a refused request that did not run, and against
// retrying it without a limit.
TEST_F(LoadCallerTest, RefusalIsRetriedUpToTheLimit) {
  options_.method = "POST";
  options_.max_attempts = 3;
  int refusals_left = 4;
  first_.handler = [&refusals_left](const Request&, Response& response) {
    if (refusals_left-- <= 0)
      return true;
    response.result(429);
    response.set("Mangodoor-Error", "rate_exceeded");
    response.set("Mangodoor-Outcome", "not-run");
    return true;
  };
  const auto results = SendRequests(2);
  EXPECT_EQ(results[0].attempts, 3);
  EXPECT_TRUE(IsRefusal(results[0].last));
  EXPECT_EQ(results[1].attempts, 2);
  EXPECT_TRUE(IsServed(results[1].last));
}

// Guards against a measured success for bytes that are no response, and against
// a connection that is used again behind an interim one.
TEST_F(LoadCallerTest, StatusThatIsNotFinalIsNoResponse) {
  options_.max_attempts = 1;
  for (const unsigned status : {0U, 99U, 103U, 600U, 999U}) {
    SCOPED_TRACE(status);
    first_.handler = [status](const Request&, Response& response) {
      response.result(status);
      return true;
    };
    EXPECT_EQ(SendRequest().last.end, RequestAttempt::End::kBroken);
  }
}

// Guards against a part of a response that is measured as a success.
TEST_F(LoadCallerTest, ResetIsNoEndOfTheResponse) {
  options_.max_attempts = 1;
  first_.part = "HTTP/1.1 200 OK\r\n\r\npart";
  EXPECT_EQ(SendRequest().last.end, RequestAttempt::End::kBroken);
}

}  // namespace
}  // namespace mangodoor
