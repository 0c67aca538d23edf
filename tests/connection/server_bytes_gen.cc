#include "connection/server_bytes_gen.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace mangodoor {
namespace {

template <typename T>
struct Choice {
  size_t weight;
  T value;
};

/** Shrinks towards the first choice, unlike rc::gen::weightedElement. */
template <typename T>
rc::Gen<T> GenChoice(std::vector<Choice<T>> choices) {
  size_t total = 0;
  for (const Choice<T>& choice : choices)
    total += choice.weight;
  return rc::gen::map(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, total)),
      [choices = std::move(choices)](size_t index) {
        for (const Choice<T>& choice : choices) {
          if (index < choice.weight)
            return choice.value;
          index -= choice.weight;
        }
        return choices.front().value;
      });
}

/** True once in `count` times. */
rc::Gen<bool> GenRarely(size_t count) {
  return GenChoice<bool>({{count - 1, false}, {1, true}});
}

rc::Gen<std::chrono::milliseconds> GenPause() {
  using std::chrono::milliseconds;
  return GenChoice<milliseconds>(
      {{16, milliseconds(0)}, {2, milliseconds(1)}, {1, milliseconds(4)}});
}

rc::Gen<Garbage> GenGarbage() {
  return GenChoice<Garbage>({{300, Garbage::kNone},
                             {1, Garbage::kLine},
                             {1, Garbage::kBinary},
                             {1, Garbage::kNulBytes},
                             {1, Garbage::kLineFeeds},
                             {1, Garbage::kEmptyLine},
                             {1, Garbage::kStatusLineOnly},
                             {1, Garbage::kUnfinishedField},
                             {1, Garbage::kChunk},
                             {1, Garbage::kRequest},
                             {1, Garbage::kLongLine}});
}

rc::Gen<StatedId> GenStatedId() {
  return GenChoice<StatedId>({{55, StatedId::kOwn},
                              {30, StatedId::kEarlier},
                              {5, StatedId::kNone},
                              {5, StatedId::kForeign},
                              {3, StatedId::kOwnAndForeign}});
}

rc::Gen<int> GenStatus() {
  return GenChoice<int>({{40, 200},
                         {4, 201},
                         {6, 204},
                         {5, 304},
                         {6, 404},
                         {6, 500},
                         {8, 502},
                         {12, 503},
                         {8, 504},
                         {3, 100},
                         {3, 103},
                         {1, 101},
                         {1, 421},
                         {1, 999},
                         {1, 0},
                         {1, 99},
                         {1, 600}});
}

rc::Gen<BodyEnd> GenBodyEnd() {
  return GenChoice<BodyEnd>({{120, BodyEnd::kLength},
                             {80, BodyEnd::kChunked},
                             {15, BodyEnd::kUntilClose},
                             {1, BodyEnd::kPaddedLength},
                             {1, BodyEnd::kSameLengthTwice},
                             {1, BodyEnd::kTwoLengths},
                             {1, BodyEnd::kLengthAndChunked},
                             {1, BodyEnd::kChunkedUpperCase},
                             {1, BodyEnd::kChunkedTwice},
                             {1, BodyEnd::kGzip},
                             {1, BodyEnd::kGzipChunked},
                             {1, BodyEnd::kSignedLength},
                             {1, BodyEnd::kHugeLength},
                             {1, BodyEnd::kOverflowingLength}});
}

rc::Gen<ChunkForm> GenChunkForm() {
  return GenChoice<ChunkForm>({{24, ChunkForm::kPlain},
                               {2, ChunkForm::kExtension},
                               {2, ChunkForm::kTrailer},
                               {2, ChunkForm::kTrailerWithId},
                               {1, ChunkForm::kUpperCaseSize},
                               {1, ChunkForm::kLeadingZeros},
                               {1, ChunkForm::kBadSize},
                               {1, ChunkForm::kHugeSize},
                               {1, ChunkForm::kOverflowingSize},
                               {1, ChunkForm::kMissingLineBreak},
                               {1, ChunkForm::kNoLastChunk}});
}

rc::Gen<HeadForm> GenHeadForm() {
  return GenChoice<HeadForm>({{200, HeadForm::kPlain},
                              {1, HeadForm::kBareLineFeed},
                              {1, HeadForm::kNulByte},
                              {1, HeadForm::kFoldedLine},
                              {1, HeadForm::kSpaceBeforeColon},
                              {1, HeadForm::kTooLarge},
                              {2, HeadForm::kEncodedContent},
                              {2, HeadForm::kForgedOutcome},
                              {1, HeadForm::kOtherVersion},
                              {1, HeadForm::kNoReason}});
}

/** Around the sizes of the buffers for bodies and of a read. */
rc::Gen<int> GenBodySize() {
  return GenChoice<int>({{20, 12},
                         {4, 0},
                         {4, 1},
                         {4, 700},
                         {2, 16 * 1024},
                         {1, 64 * 1024},
                         {2, 64 * 1024 + 1},
                         {2, 70 * 1000},
                         {1, 80 * 1024 - 1},
                         {2, 150 * 1024}});
}

rc::Gen<int> GenCut() {
  return GenChoice<int>(
      {{120, 0}, {2, 1}, {2, 2}, {2, 5}, {1, 12}, {1, 30}, {1, 100}});
}

rc::Gen<ServerPiece> GenPiece() {
  return rc::gen::build<ServerPiece>(
      rc::gen::set(&ServerPiece::pause_before, GenPause()),
      rc::gen::set(&ServerPiece::garbage, GenGarbage()),
      rc::gen::set(&ServerPiece::id, GenStatedId()),
      rc::gen::set(&ServerPiece::status, GenStatus()),
      rc::gen::set(&ServerPiece::body_end, GenBodyEnd()),
      rc::gen::set(&ServerPiece::chunks, GenChunkForm()),
      rc::gen::set(&ServerPiece::head, GenHeadForm()),
      rc::gen::set(&ServerPiece::body_size, GenBodySize()),
      rc::gen::set(&ServerPiece::body_is_response, GenRarely(5)),
      rc::gen::set(&ServerPiece::is_signed,
                   GenChoice<bool>({{30, true}, {1, false}})),
      rc::gen::set(&ServerPiece::refuses, GenRarely(12)),
      rc::gen::set(&ServerPiece::is_http_10, GenRarely(25)),
      rc::gen::set(&ServerPiece::says_close, GenRarely(25)),
      rc::gen::set(&ServerPiece::has_forbidden_body, GenRarely(20)),
      rc::gen::set(&ServerPiece::cut, GenCut()));
}

/** Up to `max` values. */
template <typename T>
rc::Gen<std::vector<T>> GenList(int max, const rc::Gen<T>& gen) {
  return rc::gen::resize(max, rc::gen::container<std::vector<T>>(gen));
}

rc::Gen<ServerTurn> GenTurn() {
  using End = ServerTurn::End;
  return rc::gen::build<ServerTurn>(
      rc::gen::set(&ServerTurn::pieces, GenList(4, GenPiece())),
      rc::gen::set(&ServerTurn::end,
                   GenChoice<End>(
                       {{24, End::kKeep}, {4, End::kClose}, {2, End::kReset}})),
      rc::gen::set(&ServerTurn::write_size,
                   GenChoice<int>({{8, 0}, {1, 1}, {1, 7}, {1, 150}})),
      rc::gen::set(&ServerTurn::before_body, GenRarely(8)),
      rc::gen::set(&ServerTurn::ends_before_body, GenRarely(2)));
}

rc::Gen<CallerRequest> GenRequest() {
  using Method = CallerRequest::Method;
  return rc::gen::build<CallerRequest>(
      rc::gen::set(
          &CallerRequest::method,
          GenChoice<Method>(
              {{3, Method::kGet}, {4, Method::kPost}, {2, Method::kHead}})),
      rc::gen::set(&CallerRequest::on_idempotent_route, GenRarely(4)),
      rc::gen::set(
          &CallerRequest::body_size,
          GenChoice<int>({{4, 0}, {4, 3}, {2, 3000}, {1, 150 * 1024}})),
      rc::gen::set(&CallerRequest::body_is_chunked, GenRarely(4)),
      rc::gen::set(&CallerRequest::is_http_10, GenRarely(12)),
      rc::gen::set(&CallerRequest::is_pipelined, GenRarely(5)));
}

/** An upload of more than the buffers of the sockets hold. */
rc::Gen<CallerRequest> GenLongUpload() {
  constexpr int kSize = 6 * 1024 * 1024;
  return rc::gen::build<CallerRequest>(
      rc::gen::set(&CallerRequest::method,
                   rc::gen::just(CallerRequest::Method::kPost)),
      rc::gen::set(&CallerRequest::on_idempotent_route, GenRarely(4)),
      rc::gen::set(&CallerRequest::body_size, rc::gen::just(kSize)),
      rc::gen::set(&CallerRequest::body_is_chunked, GenRarely(4)),
      rc::gen::set(&CallerRequest::is_http_10, GenRarely(4)));
}

/** A whole response whose end is mostly that of its connection. */
rc::Gen<ServerPiece> GenUnendedPiece() {
  return rc::gen::build<ServerPiece>(
      rc::gen::set(&ServerPiece::pause_before, GenPause()),
      rc::gen::set(&ServerPiece::body_end,
                   GenChoice<BodyEnd>({{4, BodyEnd::kUntilClose},
                                       {1, BodyEnd::kLength},
                                       {1, BodyEnd::kChunked}})),
      rc::gen::set(&ServerPiece::body_size, GenBodySize()),
      rc::gen::set(&ServerPiece::is_http_10, GenRarely(4)));
}

rc::Gen<ServerTurn> GenEarlyTurn() {
  using End = ServerTurn::End;
  return rc::gen::build<ServerTurn>(
      rc::gen::set(
          &ServerTurn::pieces,
          rc::gen::container<std::vector<ServerPiece>>(1, GenUnendedPiece())),
      rc::gen::set(&ServerTurn::end,
                   GenChoice<End>({{3, End::kReset}, {1, End::kClose}})),
      rc::gen::set(&ServerTurn::before_body, rc::gen::just(true)),
      rc::gen::set(&ServerTurn::ends_before_body,
                   GenChoice<bool>({{3, true}, {1, false}})));
}

}  // namespace

rc::Gen<Scenario> GenScenario() {
  return rc::gen::build<Scenario>(
      rc::gen::set(&Scenario::requests, GenList(5, GenRequest())),
      rc::gen::set(&Scenario::turns, GenList(6, GenTurn())),
      rc::gen::set(&Scenario::has_hedges, GenRarely(6)));
}

rc::Gen<Scenario> GenEarlyEndScenario() {
  return rc::gen::build<Scenario>(
      rc::gen::set(
          &Scenario::requests,
          rc::gen::container<std::vector<CallerRequest>>(1, GenLongUpload())),
      rc::gen::set(&Scenario::turns, GenList(2, GenEarlyTurn())));
}

}  // namespace mangodoor
