#ifndef TESTS_CONNECTION_RESPONSE_PARSER_H_
#define TESTS_CONNECTION_RESPONSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace mangodoor {

/** How a stream of bytes ended. */
enum class StreamEnd { kOpen, kClosed, kReset };

struct ResponseField {
  std::string name;
  std::string value;
};

/** A response as a strict client reads it. */
struct ParsedResponse {
  enum class State { kComplete, kIncomplete, kMalformed };
  State state = State::kMalformed;
  /** True if the fields below up to `fields` are set. */
  bool has_head = false;
  /** True if the head also says clearly where the body ends. */
  bool has_framing = false;
  bool is_http_10 = false;
  int status = 0;
  std::vector<ResponseField> fields;
  /** The decoded body, as far as it has arrived. */
  std::string body;
  bool is_chunked = false;
  /** Bytes of a complete response. */
  size_t size = 0;
};

/**
 * Parses the response at the start of `bytes`. `is_head` says that its request
 * is a HEAD request. Refuses all that RFC 9112 lets a client refuse, so that it
 * shares no leniency with the parser under test.
 */
ParsedResponse ParseResponse(std::string_view bytes,
                             bool is_head,
                             StreamEnd end);

/** Values of all fields named `name`, which is compared without case. */
std::vector<std::string> ValuesOf(const ParsedResponse& response,
                                  std::string_view name);

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_RESPONSE_PARSER_H_
