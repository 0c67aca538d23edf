#ifndef REQUEST_IO_BODY_READER_H_
#define REQUEST_IO_BODY_READER_H_

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <string>
#include <string_view>

namespace mangodoor {

/** Maximum number of bytes of a body that are buffered, in each direction. */
constexpr size_t kMaxBufferedBody = 64 * 1024;

/**
 * Maximum size of what frames a body, in bytes: the line of a chunk's size with
 * its extensions, or the trailer. The parser needs each of them as a whole.
 */
constexpr size_t kMaxBodyFraming = 16 * 1024;

/**
 * Bodies are streamed, so their size has no limit. Beast 1.74 treats
 * boost::none as a limit of zero.
 */
constexpr uint64_t kNoBodyLimit = std::numeric_limits<uint64_t>::max();

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using ResponseParser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/**
 * Decodes the part of a body that is in `buffer` and appends it to `out`, up to
 * `max` bytes in `out`. On return without an error, the body is complete, `out`
 * is full, or more bytes must be read into `buffer`. Fails if the buffer cannot
 * be decoded and has kMaxBodyFraming bytes or more.
 */
template <typename Parser>
boost::system::error_code DecodeBody(Parser& parser,
                                     boost::beast::flat_buffer& buffer,
                                     std::string& out,
                                     size_t max) {
  namespace http = boost::beast::http;
  while (!parser.is_done() && buffer.size() > 0 && out.size() < max) {
    auto& body = parser.get().body();
    // Decoded data is never longer than its encoding, so this room is enough.
    const size_t room = std::min(buffer.size(), max - out.size());
    const size_t start = out.size();
    out.resize(start + room);
    body.data = &out[start];
    body.size = room;
    body.more = true;
    boost::system::error_code error;
    const size_t used = parser.put(buffer.cdata(), error);
    buffer.consume(used);
    const size_t produced = room - body.size;
    out.resize(start + produced);
    if (error == http::error::need_buffer)
      error = {};
    if (error == http::error::need_more ||
        (!error && used == 0 && produced == 0)) {
      if (buffer.size() >= kMaxBodyFraming)
        return http::error::buffer_overflow;
      return {};
    }
    if (error)
      return error;
  }
  return {};
}

/** Appends `data` as one chunk; does nothing if it is empty. */
inline void AppendChunk(std::string& out, std::string_view data) {
  if (data.empty())
    return;
  std::array<char, 24> size{};
  const int digits =
      std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  out.append(size.data(), static_cast<size_t>(digits));
  out.append(data);
  out.append("\r\n");
}

}  // namespace mangodoor

#endif  // REQUEST_IO_BODY_READER_H_
