#include "process/versions/io/document_source.h"

#include <boost/beast/http/field.hpp>
#include <utility>

#include "process/io/http_get.h"

namespace mangodoor {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kAnswerTimeout(2000);
constexpr size_t kMaxVersionDigits = 16;

// Returns the number in an ETag such as "42", or 0 for any other ETag. The
// quotes are part of the ETag (RFC 9110).
uint64_t ParseEtagVersion(const std::string& etag) {
  if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
    return 0;
  const std::string digits = etag.substr(1, etag.size() - 2);
  if (digits.size() > kMaxVersionDigits ||
      digits.find_first_not_of("0123456789") != std::string::npos)
    return 0;
  return std::stoull(digits);
}

DocumentAnswer ToAnswer(HttpResult result, uint64_t known_version) {
  DocumentAnswer answer;
  answer.reason = result.error;
  if (!result.error.empty())
    return answer;
  const http::status status = result.response.result();
  answer.version =
      ParseEtagVersion(std::string(result.response[http::field::etag]));
  if (status == http::status::not_modified && known_version > 0) {
    answer.kind = DocumentAnswer::Kind::kNotModified;
  } else if (status == http::status::ok) {
    answer.kind = DocumentAnswer::Kind::kDocument;
    answer.text = std::move(result.response.body());
  } else {
    answer.reason = "status " + std::to_string(result.response.result_int());
  }
  return answer;
}

}  // namespace

HttpDocumentSource::HttpDocumentSource(boost::asio::io_context& context,
                                       Endpoint service,
                                       Counters& counters)
    : context_(context), service_(std::move(service)), counters_(counters) {}

void HttpDocumentSource::Read(uint64_t known_version,
                              std::chrono::seconds wait,
                              Callback done) {
  HttpRequest request = MakeGet(service_, "/document");
  if (known_version > 0)
    request.set(http::field::if_none_match,
                "\"" + std::to_string(known_version) + "\"");
  if (wait.count() > 0)
    request.set("Prefer", "wait=" + std::to_string(wait.count()));
  counters_.configuration_reads.fetch_add(1, std::memory_order_relaxed);
  SendGet(context_, service_, std::move(request), kAnswerTimeout + wait,
          [known_version, done = std::move(done)](HttpResult result) {
            done(ToAnswer(std::move(result), known_version));
          });
}

}  // namespace mangodoor
