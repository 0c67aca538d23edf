#ifndef TESTS_CONNECTION_SERVER_BYTES_H_
#define TESTS_CONNECTION_SERVER_BYTES_H_

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace mangodoor {

/** The request id that a response of the generated server states. */
enum class StatedId { kOwn, kEarlier, kNone, kForeign, kOwnAndForeign };

/** How a response states where its body ends. */
enum class BodyEnd {
  kLength,
  kChunked,
  kUntilClose,
  kPaddedLength,
  kSameLengthTwice,
  kTwoLengths,
  kLengthAndChunked,
  kChunkedUpperCase,
  kChunkedTwice,
  kGzip,
  kGzipChunked,
  kSignedLength,
  kHugeLength,
  kOverflowingLength,
};

enum class ChunkForm {
  kPlain,
  kExtension,
  kTrailer,
  kTrailerWithId,
  kUpperCaseSize,
  kLeadingZeros,
  kBadSize,
  kHugeSize,
  kOverflowingSize,
  kMissingLineBreak,
  kNoLastChunk,
};

/** An unusual or broken part in the head of a response. */
enum class HeadForm {
  kPlain,
  kBareLineFeed,
  kNulByte,
  kFoldedLine,
  kSpaceBeforeColon,
  kTooLarge,
  kEncodedContent,
  kForgedOutcome,
  kOtherVersion,
  kNoReason,
};

/** Bytes that are no response. */
enum class Garbage {
  kNone,
  kLine,
  kBinary,
  kNulBytes,
  kLineFeeds,
  kEmptyLine,
  kStatusLineOnly,
  kUnfinishedField,
  kChunk,
  kRequest,
  kLongLine,
};

/** Something that a server writes: garbage, or a response. */
struct ServerPiece {
  std::chrono::milliseconds pause_before{0};
  Garbage garbage = Garbage::kNone;
  StatedId id = StatedId::kOwn;
  int status = 200;
  BodyEnd body_end = BodyEnd::kLength;
  ChunkForm chunks = ChunkForm::kPlain;
  HeadForm head = HeadForm::kPlain;
  int body_size = 12;
  /** The body looks like a response to the request that is running. */
  bool body_is_response = false;
  bool is_signed = true;
  /** States that the request was not run. */
  bool refuses = false;
  bool is_http_10 = false;
  bool says_close = false;
  /** A body follows also for HEAD, 204 and 304. */
  bool has_forbidden_body = false;
  /** Bytes missing at the end. */
  int cut = 0;
};

/** What a server does with one request that it has read. */
struct ServerTurn {
  enum class End { kKeep, kClose, kReset };
  std::vector<ServerPiece> pieces = {ServerPiece{}};
  End end = End::kKeep;
  /** Bytes in one write; 0 for one write for each piece. */
  int write_size = 0;
  /** The pieces are written before the body of the request is read. */
  bool before_body = false;
  /** With `before_body`, the connection also ends before that. */
  bool ends_before_body = false;
};

struct CallerRequest {
  enum class Method { kGet, kPost, kHead };
  Method method = Method::kGet;
  /** Sent on the route that declares its requests idempotent. */
  bool on_idempotent_route = false;
  int body_size = 0;
  bool body_is_chunked = false;
  bool is_http_10 = false;
  /** Sent without waiting for the response to the request before. */
  bool is_pipelined = false;
};

/** Callers' requests, and what servers do with the requests they receive. */
struct Scenario {
  std::vector<CallerRequest> requests;
  /** In the order in which requests arrive; later ones get one response. */
  std::vector<ServerTurn> turns;
  bool has_hedges = false;
};

/** A request that a server has received, or one before it. */
struct ReceivedRequest {
  std::string id;
  bool is_head = false;
};

/** The requests that the bytes of a piece refer to. */
struct PieceContext {
  ReceivedRequest own;
  ReceivedRequest earlier;
  /** Marks the body; unique to the piece. */
  std::string tag;
};

/** Name of the request with number `index` of a scenario. */
std::string RequestIdOf(size_t index);

bool IsIdempotent(const CallerRequest& request);

const char* MethodOf(const CallerRequest& request);

/** Path with the id, so that it is known also if there is no id field. */
std::string PathOf(const CallerRequest& request, const std::string& id);

std::string BodyOf(const CallerRequest& request, const std::string& id);

/** The bytes that a caller sends. */
std::string Render(const CallerRequest& request,
                   const std::string& id,
                   bool closes);

/** The bytes that a server sends. */
std::string Render(const ServerPiece& piece, const PieceContext& context);

std::ostream& operator<<(std::ostream& out, const ServerPiece& piece);
std::ostream& operator<<(std::ostream& out, const ServerTurn& turn);
std::ostream& operator<<(std::ostream& out, const CallerRequest& request);
std::ostream& operator<<(std::ostream& out, const Scenario& scenario);

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_SERVER_BYTES_H_
