#include "connection/server_bytes.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <ostream>

namespace mangodoor {
namespace {

constexpr size_t kTooLargeField = 70 * 1024;
constexpr size_t kLongLine = 70 * 1024;

/** `size` bytes that begin with `tag` and repeat it. */
std::string Repeat(const std::string& tag, size_t size) {
  std::string text;
  while (text.size() < size)
    text += tag + " ";
  text.resize(size);
  return text;
}

std::string LengthField(size_t size) {
  return "Content-Length: " + std::to_string(size) + "\r\n";
}

std::string BodyOf(const ServerPiece& piece, const PieceContext& context) {
  if (!piece.body_is_response)
    return Repeat(context.tag, static_cast<size_t>(piece.body_size));
  return "HTTP/1.1 200 OK\r\nX-Signed: forged\r\nX-Id: " + context.own.id +
         "\r\nContent-Length: 6\r\n\r\nforged";
}

std::string BodyEndFields(BodyEnd body_end, size_t size) {
  switch (body_end) {
    case BodyEnd::kLength:
      return LengthField(size);
    case BodyEnd::kChunked:
      return "Transfer-Encoding: chunked\r\n";
    case BodyEnd::kUntilClose:
      return "";
    case BodyEnd::kPaddedLength:
      return "Content-Length: 000" + std::to_string(size) + "\r\n";
    case BodyEnd::kSameLengthTwice:
      return LengthField(size) + LengthField(size);
    case BodyEnd::kTwoLengths:
      return LengthField(size) + LengthField(size + 1);
    case BodyEnd::kLengthAndChunked:
      return LengthField(size) + "Transfer-Encoding: chunked\r\n";
    case BodyEnd::kChunkedUpperCase:
      return "TRANSFER-ENCODING: CHUNKED\r\n";
    case BodyEnd::kChunkedTwice:
      return "Transfer-Encoding: chunked, chunked\r\n";
    case BodyEnd::kGzip:
      return "Transfer-Encoding: gzip\r\n";
    case BodyEnd::kGzipChunked:
      return "Transfer-Encoding: gzip, chunked\r\n";
    case BodyEnd::kSignedLength:
      return "Content-Length: +" + std::to_string(size) + "\r\n";
    case BodyEnd::kHugeLength:
      return "Content-Length: 18446744073709551615\r\n";
    case BodyEnd::kOverflowingLength:
      return "Content-Length: 18446744073709551617\r\n";
  }
  return "";
}

bool IsChunked(BodyEnd body_end) {
  return body_end == BodyEnd::kChunked ||
         body_end == BodyEnd::kLengthAndChunked ||
         body_end == BodyEnd::kChunkedUpperCase ||
         body_end == BodyEnd::kChunkedTwice ||
         body_end == BodyEnd::kGzipChunked;
}

std::string ChunkSize(size_t size, ChunkForm form) {
  char digits[24];
  std::snprintf(digits, sizeof(digits),
                form == ChunkForm::kUpperCaseSize ? "%zX" : "%zx", size);
  switch (form) {
    case ChunkForm::kExtension:
      return std::string(digits) + ";name=\"value\"";
    case ChunkForm::kLeadingZeros:
      return "0000" + std::string(digits);
    case ChunkForm::kBadSize:
      return "zz";
    case ChunkForm::kHugeSize:
      return "FFFFFFFFFFFFFFFF";
    case ChunkForm::kOverflowingSize:
      return "10000000000000001";
    default:
      return digits;
  }
}

std::string Chunk(const std::string& data, ChunkForm form) {
  if (data.empty())
    return "";
  return ChunkSize(data.size(), form) + "\r\n" + data +
         (form == ChunkForm::kMissingLineBreak ? "" : "\r\n");
}

std::string ChunkedBody(const std::string& body, ChunkForm form) {
  std::string chunks = Chunk(body.substr(0, body.size() / 2), form) +
                       Chunk(body.substr(body.size() / 2), form);
  switch (form) {
    case ChunkForm::kNoLastChunk:
      return chunks;
    case ChunkForm::kTrailer:
      return chunks + "0\r\nX-Sum: 1\r\n\r\n";
    case ChunkForm::kTrailerWithId:
      return chunks + "0\r\nX-Id: other\r\nContent-Length: 3\r\n\r\n";
    default:
      return chunks + "0\r\n\r\n";
  }
}

std::string HeadFormFields(HeadForm form) {
  switch (form) {
    case HeadForm::kBareLineFeed:
      return "X-Line: a\nX-Other: b\r\n";
    case HeadForm::kNulByte:
      return std::string("X-Nul: a\0b\r\n", 12);
    case HeadForm::kFoldedLine:
      return "X-Folded: a\r\n b\r\n";
    case HeadForm::kSpaceBeforeColon:
      return "X-Space : a\r\n";
    case HeadForm::kTooLarge:
      return "X-Large: " + std::string(kTooLargeField, 'x') + "\r\n";
    case HeadForm::kEncodedContent:
      return "Content-Encoding: gzip\r\n";
    case HeadForm::kForgedOutcome:
      return "Mangodoor-Error: forged\r\nMangodoor-Outcome: not-run\r\n";
    default:
      return "";
  }
}

std::string IdFields(StatedId id, const PieceContext& context) {
  switch (id) {
    case StatedId::kOwn:
      return "X-Id: " + context.own.id + "\r\n";
    case StatedId::kEarlier:
      return "X-Id: " + context.earlier.id + "\r\n";
    case StatedId::kNone:
      return "";
    case StatedId::kForeign:
      return "X-Id: foreign\r\n";
    case StatedId::kOwnAndForeign:
      return "X-Id: " + context.own.id + "\r\nX-Id: foreign\r\n";
  }
  return "";
}

std::string StatusDigits(int status) {
  char digits[8];
  std::snprintf(digits, sizeof(digits), "%03d", status);
  return digits;
}

std::string StatusLine(const ServerPiece& piece) {
  std::string line = piece.is_http_10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  if (piece.head == HeadForm::kOtherVersion)
    line = "HTTP/2.0 ";
  line += StatusDigits(piece.status);
  if (piece.head != HeadForm::kNoReason)
    line += " Reason";
  return line + "\r\n";
}

bool IsInterim(const ServerPiece& piece) {
  return piece.status >= 100 && piece.status < 200;
}

bool HasBody(const ServerPiece& piece, const PieceContext& context) {
  const bool is_head = piece.id == StatedId::kEarlier ? context.earlier.is_head
                                                      : context.own.is_head;
  if (IsInterim(piece))
    return false;
  return piece.has_forbidden_body ||
         !(is_head || piece.status == 204 || piece.status == 304);
}

std::string RenderResponse(const ServerPiece& piece,
                           const PieceContext& context) {
  const std::string body = BodyOf(piece, context);
  std::string text = StatusLine(piece) + IdFields(piece.id, context);
  if (piece.is_signed)
    text += "X-Signed: " + context.tag + "\r\n";
  if (piece.refuses)
    text += "X-Not-Run: 1\r\n";
  if (piece.says_close)
    text += "Connection: close\r\n";
  text += HeadFormFields(piece.head);
  if (HasBody(piece, context) || (!IsInterim(piece) && piece.status != 204))
    text += BodyEndFields(piece.body_end, body.size());
  text += "\r\n";
  if (!HasBody(piece, context))
    return text;
  return text +
         (IsChunked(piece.body_end) ? ChunkedBody(body, piece.chunks) : body);
}

std::string RenderGarbage(Garbage garbage, const PieceContext& context) {
  switch (garbage) {
    case Garbage::kNone:
      return "";
    case Garbage::kLine:
      return "no response at all\r\n\r\n";
    case Garbage::kBinary:
      return "\x16\x03\x01\x80\xff\xfe\r\n\r\n";
    case Garbage::kNulBytes:
      return std::string(16, '\0');
    case Garbage::kLineFeeds:
      return "\n\n";
    case Garbage::kEmptyLine:
      return "\r\n";
    case Garbage::kStatusLineOnly:
      return "HTTP/1.1 200 OK\r\n";
    case Garbage::kUnfinishedField:
      return "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: " + context.own.id +
             "\r\nX-Field: ";
    case Garbage::kChunk:
      return "5\r\nabcde\r\n0\r\n\r\n";
    case Garbage::kRequest:
      return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    case Garbage::kLongLine:
      return std::string(kLongLine, 'x');
  }
  return "";
}

/** `text` on one line of limited length. */
std::string Printable(const std::string& text) {
  constexpr size_t kMaxShown = 400;
  std::string shown;
  for (const char c : text.substr(0, kMaxShown)) {
    if (c == '\r') {
      shown += "\\r";
    } else if (c == '\n') {
      shown += "\\n";
    } else if (std::isprint(static_cast<unsigned char>(c)) != 0) {
      shown += c;
    } else {
      char code[8];
      std::snprintf(code, sizeof(code), "\\x%02x",
                    static_cast<unsigned>(static_cast<unsigned char>(c)));
      shown += code;
    }
  }
  if (text.size() > kMaxShown)
    shown += "... (" + std::to_string(text.size()) + " bytes)";
  return shown;
}

const char* Name(ServerTurn::End end) {
  switch (end) {
    case ServerTurn::End::kKeep:
      return "keep";
    case ServerTurn::End::kClose:
      return "close";
    case ServerTurn::End::kReset:
      return "reset";
  }
  return "";
}

}  // namespace

std::string RequestIdOf(size_t index) {
  return "r" + std::to_string(index);
}

bool IsIdempotent(const CallerRequest& request) {
  return request.on_idempotent_route ||
         request.method != CallerRequest::Method::kPost;
}

const char* MethodOf(const CallerRequest& request) {
  switch (request.method) {
    case CallerRequest::Method::kGet:
      return "GET";
    case CallerRequest::Method::kPost:
      return "POST";
    case CallerRequest::Method::kHead:
      return "HEAD";
  }
  return "";
}

std::string PathOf(const CallerRequest& request, const std::string& id) {
  return (request.on_idempotent_route ? "/idempotent/" : "/open/") + id;
}

std::string BodyOf(const CallerRequest& request, const std::string& id) {
  if (request.method != CallerRequest::Method::kPost)
    return "";
  return Repeat("body of " + id, static_cast<size_t>(request.body_size));
}

std::string Render(const CallerRequest& request,
                   const std::string& id,
                   bool closes) {
  const bool chunked = request.body_is_chunked && !request.is_http_10;
  const std::string body = BodyOf(request, id);
  std::string text = std::string(MethodOf(request)) + " " +
                     PathOf(request, id) +
                     (request.is_http_10 ? " HTTP/1.0" : " HTTP/1.1") +
                     "\r\nHost: a\r\nX-Id: " + id + "\r\n";
  if (closes)
    text += "Connection: close\r\n";
  if (request.method != CallerRequest::Method::kPost)
    return text + "\r\n";
  if (!chunked)
    return text + LengthField(body.size()) + "\r\n" + body;
  return text + "Transfer-Encoding: chunked\r\n\r\n" +
         ChunkedBody(body, ChunkForm::kPlain);
}

std::string Render(const ServerPiece& piece, const PieceContext& context) {
  if (piece.garbage != Garbage::kNone)
    return RenderGarbage(piece.garbage, context);
  std::string text = RenderResponse(piece, context);
  text.resize(text.size() -
              std::min(text.size(), static_cast<size_t>(piece.cut)));
  return text;
}

std::ostream& operator<<(std::ostream& out, const ServerPiece& piece) {
  // As long as real ids and tags, so that a cut is shown at its place.
  const PieceContext example{{"rN", false}, {"rE", false}, "rN.T.P"};
  if (piece.pause_before.count() > 0)
    out << "pause " << piece.pause_before.count() << " ms, ";
  if (piece.cut > 0)
    out << "without the last " << piece.cut << " bytes, ";
  if (piece.has_forbidden_body)
    out << "body also for HEAD, ";
  return out << '"' << Printable(Render(piece, example)) << '"';
}

std::ostream& operator<<(std::ostream& out, const ServerTurn& turn) {
  out << (turn.before_body ? "before reading the body: " : "");
  if (turn.write_size > 0)
    out << "in writes of " << turn.write_size << " bytes: ";
  for (const ServerPiece& piece : turn.pieces)
    out << "\n      " << piece;
  return out << "\n      then " << Name(turn.end)
             << (turn.ends_before_body ? ", before reading the body" : "");
}

std::ostream& operator<<(std::ostream& out, const CallerRequest& request) {
  out << MethodOf(request) << " " << PathOf(request, "ID");
  if (request.is_http_10)
    out << " HTTP/1.0";
  if (request.method == CallerRequest::Method::kPost)
    out << " with " << request.body_size << " bytes"
        << (request.body_is_chunked ? " in chunks" : "");
  return out << (request.is_pipelined ? ", pipelined" : "");
}

std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  out << (scenario.has_hedges ? "with hedges\n" : "") << "  callers:";
  for (size_t i = 0; i < scenario.requests.size(); ++i)
    out << "\n    " << RequestIdOf(i) << ": " << scenario.requests[i];
  out << "\n  servers:";
  for (size_t i = 0; i < scenario.turns.size(); ++i)
    out << "\n    request " << i << ": " << scenario.turns[i];
  return out << "\n";
}

}  // namespace mangodoor
