#include "request/io/body_upload.h"

#include <algorithm>
#include <utility>

#include "process/clock.h"

namespace mangodoor {

namespace asio = boost::asio;

BodyUpload::BodyUpload(const SessionContext& context,
                       CallerStream& stream,
                       RequestParser& parser)
    : context_(context), stream_(stream), parser_(parser) {}

std::optional<ErrorKind> BodyUpload::BufferBody(YieldContext yield,
                                                TimePoint until) {
  for (;;) {
    if (DecodeBody(parser_, stream_.buffer(), buffered_, kMaxBufferedBody))
      return ErrorKind::kMalformedRequest;
    if (parser_.is_done() || buffered_.size() >= kMaxBufferedBody)
      return std::nullopt;
    if (auto error = ReadMore(yield, until))
      return error;
  }
}

std::optional<ErrorKind> BodyUpload::ReadMore(YieldContext yield,
                                              TimePoint until) {
  stream_.LimitReads(
      std::min(context_.clock.Now() + context_.limits.body_progress, until));
  const boost::system::error_code error = stream_.ReadSome(yield);
  const bool too_slow = stream_.read_limit_passed();
  stream_.ClearReadLimit();
  if (!error)
    return std::nullopt;
  return too_slow ? ErrorKind::kRequestTimeout : ErrorKind::kMalformedRequest;
}

Framing BodyUpload::framing() const {
  if (!parser_.is_done()) {
    if (parser_.content_length())
      return {Framing::Kind::kLength, *parser_.content_length()};
    return {Framing::Kind::kChunked, 0};
  }
  // Only trailers are left in the message: its header was moved out.
  const Fields& trailers = parser_.get();
  if (trailers.begin() != trailers.end())
    return {Framing::Kind::kChunked, 0};
  if (parser_.content_length() || parser_.chunked())
    return {Framing::Kind::kLength, buffered_.size()};
  return {Framing::Kind::kNone, 0};
}

std::string BodyUpload::EncodeBuffered() const {
  if (framing().kind != Framing::Kind::kChunked)
    return buffered_;
  std::string out;
  AppendChunk(out, buffered_);
  if (parser_.is_done())
    out += "0\r\n" + ForwardedTrailers(parser_.get(), context_.http_profile);
  return out;
}

void BodyUpload::Start(const std::shared_ptr<BackendAttempt>& attempt,
                       std::function<void()> on_received) {
  if (parser_.is_done())
    return;
  streaming_ = true;
  // Set if an earlier attempt ended before its upload was started.
  stopping_ = false;
  attempt->report().body_dropped = true;
  buffered_ = std::string();
  // Stop() is always called and waits, so `this` outlives the coroutine.
  asio::spawn(stream_.executor(),
              [this, attempt,
               on_received = std::move(on_received)](YieldContext yield) {
                try {
                  StreamBody(*attempt, yield);
                } catch (const std::exception&) {
                  attempt->Abort(AttemptReport::End::kCallerFault);
                }
                if (complete() && !stopping_)
                  on_received();
                streaming_ = false;
                ended_.NotifySoon(stream_.executor());
              });
}

void BodyUpload::StreamBody(BackendAttempt& attempt, YieldContext yield) {
  const bool chunked = !parser_.content_length();
  std::string decoded;
  std::string out;
  while (!parser_.is_done() && !stopping_) {
    decoded.clear();
    if (DecodeBody(parser_, stream_.buffer(), decoded, kMaxBufferedBody)) {
      attempt.Abort(AttemptReport::End::kCallerFault,
                    ErrorKind::kMalformedRequest);
      return;
    }
    out.clear();
    if (chunked)
      AppendChunk(out, decoded);
    else
      out.swap(decoded);
    if (chunked && parser_.is_done())
      out += "0\r\n" + ForwardedTrailers(parser_.get(), context_.http_profile);
    // A server may respond early and stop reading, so a failed write does not
    // end the attempt. How the attempt ends depends on what is read from the
    // server.
    if (!out.empty() && attempt.Write(out, yield))
      return;
    if (parser_.is_done() || stopping_)
      return;
    if (stream_.buffer().size() > 0 && !out.empty())
      continue;
    if (auto error = ReadMore(yield)) {
      const bool caller_gone = *error != ErrorKind::kRequestTimeout;
      if (!stopping_)
        attempt.Abort(caller_gone ? AttemptReport::End::kCallerGone
                                  : AttemptReport::End::kCallerFault,
                      *error);
      return;
    }
  }
}

void BodyUpload::Stop(YieldContext yield) {
  stopping_ = true;
  if (!streaming_)
    return;
  stream_.InterruptReads();
  while (streaming_)
    ended_.Wait(yield);
}

}  // namespace mangodoor
