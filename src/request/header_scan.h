#ifndef REQUEST_HEADER_SCAN_H_
#define REQUEST_HEADER_SCAN_H_

#include <cstddef>
#include <string_view>

namespace mangodoor {

/** Maximum size of the head of a request, in bytes (design 5.10). */
constexpr size_t kMaxRequestHeader = 16 * 1024;
/** Maximum size of the head of a response, in bytes. */
constexpr size_t kMaxResponseHeader = 64 * 1024;

/** State of a scan, to be continued when more bytes have arrived. */
struct HeaderScan {
  enum class State { kIncomplete, kComplete, kMalformed, kTooLarge };
  State state = State::kIncomplete;
  /** Offset of the line that is not yet complete. */
  size_t line_start = 0;
  /** Offset at which the search for the end of that line continues. */
  size_t searched = 0;
  /** Size of the head including its empty line, once complete. */
  size_t size = 0;
};

/**
 * Looks for the end of a message's head: its start line and header. Rejects
 * syntax that servers parse differently and that could be used for request
 * smuggling: folded lines, bare CR or LF, space before a colon, control
 * characters. `bytes` starts with the head.
 */
void ScanHeader(HeaderScan& scan, std::string_view bytes, size_t max_size);

}  // namespace mangodoor

#endif  // REQUEST_HEADER_SCAN_H_
