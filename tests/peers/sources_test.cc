#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <thread>

#include "peers/test_connection_manager.h"
#include "process/membership/io/instance_list_source.h"
#include "process/versions/io/document_source.h"
#include "standins/http_standin.h"

namespace mangodoor {
namespace {

namespace http = boost::beast::http;

class SourcesTest : public testing::Test {
 protected:
  SourcesTest()
      : server_(endpoint_,
                [this](const StandinRequest& request,
                       const boost::asio::yield_context&) {
                  std::lock_guard<std::mutex> lock(mutex_);
                  request_ = request;
                  return response_;
                }),
        thread_([this] { server_.Run(); }) {
    pool_.Start();
  }

  ~SourcesTest() override {
    server_.context().stop();
    thread_.join();
    pool_.Stop();
  }

  DocumentAnswer Read(uint64_t known, std::chrono::seconds wait) {
    std::promise<DocumentAnswer> promise;
    source_.Read(known, wait, [&](const DocumentAnswer& answer) {
      promise.set_value(answer);
    });
    return promise.get_future().get();
  }

  void SetResponse(StandinResponse response) {
    std::lock_guard<std::mutex> lock(mutex_);
    response_ = std::move(response);
  }

  StandinRequest LastRequest() {
    std::lock_guard<std::mutex> lock(mutex_);
    return request_;
  }

  Endpoint endpoint_ = LoopbackEndpoint(50);
  std::mutex mutex_;
  std::optional<StandinResponse> response_;
  StandinRequest request_;
  HttpStandin server_;
  std::thread thread_;
  WorkerPool pool_{1};
  Counters counters_;
  HttpDocumentSource source_{pool_.context(), endpoint_, counters_};
};

// Guards against requests that do not follow the protocol of the configuration
// service.
TEST_F(SourcesTest, SendsConditionalReads) {
  StandinResponse response = MakeStandinResponse(http::status::ok, "text");
  response.set(http::field::etag, "\"12\"");
  SetResponse(response);
  const DocumentAnswer document = Read(0, std::chrono::seconds(0));
  EXPECT_EQ(document.kind, DocumentAnswer::Kind::kDocument);
  EXPECT_EQ(document.text, "text");
  EXPECT_EQ(document.version, 12u);
  EXPECT_EQ(LastRequest().target(), "/document");
  EXPECT_EQ(LastRequest().count(http::field::if_none_match), 0u);
  SetResponse(MakeStandinResponse(http::status::not_modified));
  EXPECT_EQ(Read(12, std::chrono::seconds(20)).kind,
            DocumentAnswer::Kind::kNotModified);
  EXPECT_EQ(LastRequest()[http::field::if_none_match], "\"12\"");
  EXPECT_EQ(LastRequest()[http::field::prefer], "wait=20");
  EXPECT_EQ(counters_.configuration_reads, 2u);
}

// Guards against a failed read that is reported as a document or not at all.
TEST_F(SourcesTest, FailuresAreUnavailable) {
  using Kind = DocumentAnswer::Kind;
  EXPECT_EQ(Read(0, std::chrono::seconds(0)).kind, Kind::kUnavailable);
  SetResponse(MakeStandinResponse(http::status::internal_server_error, "x"));
  EXPECT_EQ(Read(0, std::chrono::seconds(0)).kind, Kind::kUnavailable);
  SetResponse(MakeStandinResponse(http::status::not_modified));
  EXPECT_EQ(Read(0, std::chrono::seconds(0)).kind, Kind::kUnavailable);
  SetResponse(
      MakeStandinResponse(http::status::ok, std::string(3 * 1024 * 1024, 'x')));
  EXPECT_EQ(Read(0, std::chrono::seconds(0)).kind, Kind::kUnavailable);
}

// Guards against a document in bytes whose status is none of HTTP.
TEST_F(SourcesTest, InvalidStatusIsUnavailable) {
  for (const unsigned status : {0U, 99U, 600U, 999U}) {
    StandinResponse response = MakeStandinResponse(http::status::ok, "text");
    response.set(http::field::etag, "\"12\"");
    response.result(status);
    SetResponse(response);
    EXPECT_EQ(Read(0, std::chrono::seconds(0)).kind,
              DocumentAnswer::Kind::kUnavailable);
  }
}

// Guards against a reader that waits for ever when no service is listening.
TEST_F(SourcesTest, AbsentServiceIsUnavailable) {
  HttpDocumentSource source(pool_.context(), LoopbackEndpoint(51), counters_);
  std::promise<DocumentAnswer> promise;
  source.Read(0, std::chrono::seconds(0),
              [&](const DocumentAnswer& answer) { promise.set_value(answer); });
  EXPECT_EQ(promise.get_future().get().kind,
            DocumentAnswer::Kind::kUnavailable);
}

// Guards against using the valid part of an invalid list.
TEST(InstanceListTest, RejectsInvalidLists) {
  const InstanceList list = DecodeInstanceList(
      R"({"revision":7,"instances":[{"id":"a1","data_centre":"muscat-1",
          "caller":"10.0.0.1:80","peer":"10.0.0.1:81","state":"leaving"}]})");
  EXPECT_EQ(list.revision, 7u);
  EXPECT_TRUE(list.instances.at(0).leaving);
  EXPECT_EQ(list.instances.at(0).peer_endpoint.port, 81);
  for (const char* bad :
       {"", "[]", R"({"revision":-1,"instances":[]})",
        R"({"revision":1,"instances":[{"id":"a"}]})",
        R"({"revision":1,"instances":[{"id":"a","data_centre":"d",
            "caller":"1.1.1.1:1","peer":"1.1.1.1:2","state":"gone"}]})"})
    EXPECT_THROW(DecodeInstanceList(bad), std::runtime_error) << bad;
}

}  // namespace
}  // namespace mangodoor
