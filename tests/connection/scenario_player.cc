#include "connection/scenario_player.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace mangodoor {
namespace {

constexpr std::chrono::milliseconds kProgressLimit{200};
constexpr int kServers = 2;
constexpr int kFastResponses = 200;
// Later writes are not split, so that long bodies take no time.
constexpr size_t kMaxSplitWrites = 50;
constexpr std::chrono::microseconds kBetweenWrites{20};

RequestReceipt ReceiptOf(const std::string& head) {
  RequestReceipt receipt;
  const size_t method_end = head.find(' ');
  const size_t path_end = head.find(' ', method_end + 1);
  receipt.method = head.substr(0, method_end);
  receipt.path = head.substr(method_end + 1, path_end - method_end - 1);
  receipt.id = receipt.path.substr(receipt.path.rfind('/') + 1);
  return receipt;
}

void TakeBody(RequestReceipt& receipt, ReceivedBody body) {
  receipt.body = std::move(body.bytes);
  receipt.has_whole_body = body.is_whole;
}

void WriteSplit(TestConnection& connection,
                const std::string& bytes,
                size_t write_size) {
  size_t done = 0;
  for (size_t i = 0; i < kMaxSplitWrites && write_size > 0; ++i) {
    if (done + write_size >= bytes.size())
      break;
    connection.Write(bytes.substr(done, write_size));
    done += write_size;
    std::this_thread::sleep_for(kBetweenWrites);
  }
  connection.Write(bytes.substr(done));
}

}  // namespace

/** What the servers of a scenario share. */
class GeneratedServers {
 public:
  explicit GeneratedServers(std::vector<ServerTurn> turns)
      : turns_(std::move(turns)) {}

  /** Answers the requests of one connection. */
  void Serve(TestConnection& connection) {
    connection.SendSmallWrites();
    ServerConnectionRecord record;
    while (record.end == StreamEnd::kOpen && ServeOne(connection, record)) {
    }
    OrderedLock lock(mutex_);
    records_.push_back(std::move(record));
  }

  /** Called after the servers have ended. */
  std::vector<ServerConnectionRecord> TakeRecords() {
    OrderedLock lock(mutex_);
    return std::move(records_);
  }

 private:
  struct Turn {
    ServerTurn turn;
    size_t number = 0;
  };

  Turn NextTurn() {
    OrderedLock lock(mutex_);
    const size_t number = next_turn_++;
    return {number < turns_.size() ? turns_[number] : ServerTurn(), number};
  }

  bool ServeOne(TestConnection& connection, ServerConnectionRecord& record) {
    const std::string head = connection.ReadHead();
    if (head.empty())
      return false;
    const Turn turn = NextTurn();
    RequestReceipt receipt = ReceiptOf(head);
    if (turn.turn.before_body) {
      WritePieces(connection, turn, record, receipt);
      if (turn.turn.ends_before_body)
        End(connection, turn.turn.end, record);
      TakeBody(receipt, ReadBody(connection, head));
    } else {
      TakeBody(receipt, ReadBody(connection, head));
      WritePieces(connection, turn, record, receipt);
    }
    const bool whole = receipt.has_whole_body;
    record.receipts.push_back(std::move(receipt));
    if (record.end == StreamEnd::kOpen)
      End(connection, turn.turn.end, record);
    return whole;
  }

  void WritePieces(TestConnection& connection,
                   const Turn& turn,
                   ServerConnectionRecord& record,
                   RequestReceipt& receipt) {
    PieceContext context;
    context.own = {receipt.id, receipt.method == "HEAD"};
    context.earlier = {"none-before", false};
    if (!record.receipts.empty()) {
      const RequestReceipt& last = record.receipts.back();
      context.earlier = {last.id, last.method == "HEAD"};
    }
    for (const ServerPiece& piece : turn.turn.pieces) {
      context.tag = receipt.id + "." + std::to_string(turn.number) + "." +
                    std::to_string(receipt.pieces.size());
      std::this_thread::sleep_for(piece.pause_before);
      receipt.pieces.push_back(record.bytes.size());
      const std::string bytes = Render(piece, context);
      record.bytes += bytes;
      WriteSplit(connection, bytes, static_cast<size_t>(turn.turn.write_size));
    }
  }

  static void End(TestConnection& connection,
                  ServerTurn::End end,
                  ServerConnectionRecord& record) {
    if (end == ServerTurn::End::kClose) {
      record.end = StreamEnd::kClosed;
      connection.Shutdown();
    } else if (end == ServerTurn::End::kReset) {
      record.end = StreamEnd::kReset;
      connection.Reset();
    }
  }

  const std::vector<ServerTurn> turns_;
  OrderedMutex mutex_{LockRank::kStandin};
  // Guarded by `mutex_`.
  size_t next_turn_ = 0;
  std::vector<ServerConnectionRecord> records_;
};

ScenarioPlayer::ScenarioPlayer(const Scenario& scenario,
                               Interface offered,
                               std::chrono::milliseconds time_limit)
    : scenario_(scenario),
      state_(std::make_shared<GeneratedServers>(scenario.turns)) {
  route_timeout_ = time_limit;
  limits_.body_progress = kProgressLimit;
  AllowFleetRetries();
  if (offered == Interface::kWithIdsAndSignatures) {
    http_profile_.request_id = "X-Id";
    http_profile_.signature = "X-Signed";
    http_profile_.rejects_encoded_responses = true;
    http_profile_.buffers_responses = true;
  }
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < kServers; ++i) {
    fake_servers_.push_back(std::make_unique<FakeServer>(
        [state = state_](TestConnection& connection) {
          state->Serve(connection);
        }));
    endpoints.push_back(fake_servers_.back()->endpoint());
  }
  Start(endpoints);
  if (scenario_.has_hedges)
    RecordFastResponses(kFastResponses);
}

ScenarioPlayer::~ScenarioPlayer() = default;

Transcript ScenarioPlayer::Play() {
  for (size_t next = 0; next < scenario_.requests.size();)
    next = PlayConnection(next);
  Transcript transcript;
  transcript.requests = scenario_.requests;
  transcript.has_ids = !http_profile_.request_id.empty();
  transcript.callers = std::move(callers_);
  // A server can still be reading what was sent to it.
  fake_servers_.clear();
  transcript.servers = state_->TakeRecords();
  return transcript;
}

bool ScenarioPlayer::IsIdle() const {
  return listener_->open_connections() == 0 &&
         listener_->running_requests() == 0;
}

/** Sends requests from `first` on until the connection ends. */
size_t ScenarioPlayer::PlayConnection(size_t first) {
  CallerConnectionRecord record;
  TestConnection connection = Connect();
  size_t next = first;
  size_t parsed = 0;
  bool usable = true;
  while (usable && next < scenario_.requests.size()) {
    const size_t last = SendBatch(connection, next, record);
    usable = ReadResponses(connection, next, last, parsed);
    next = last;
  }
  if (usable) {
    while (connection.ReadSome()) {
    }
  }
  record.bytes = connection.buffer();
  if (!connection.timed_out()) {
    record.end =
        connection.reset_by_peer() ? StreamEnd::kReset : StreamEnd::kClosed;
  }
  callers_.push_back(std::move(record));
  return next;
}

/** Sends a request and those that do not wait for its response. */
size_t ScenarioPlayer::SendBatch(TestConnection& connection,
                                 size_t first,
                                 CallerConnectionRecord& record) {
  const std::vector<CallerRequest>& requests = scenario_.requests;
  size_t next = first;
  std::string bytes;
  do {
    bytes +=
        Render(requests[next], RequestIdOf(next), next + 1 == requests.size());
    record.requests.push_back(next++);
  } while (next < requests.size() && requests[next].is_pipelined);
  connection.Write(bytes);
  return next;
}

/** False if the connection has ended, or its bytes are no response. */
bool ScenarioPlayer::ReadResponses(TestConnection& connection,
                                   size_t first,
                                   size_t last,
                                   size_t& parsed) {
  for (size_t i = first; i < last; ++i) {
    const bool is_head =
        scenario_.requests[i].method == CallerRequest::Method::kHead;
    for (;;) {
      const ParsedResponse response =
          ParseResponse(std::string_view(connection.buffer()).substr(parsed),
                        is_head, StreamEnd::kOpen);
      if (response.state == ParsedResponse::State::kComplete) {
        parsed += response.size;
        break;
      }
      if (response.state == ParsedResponse::State::kMalformed ||
          !connection.ReadSome())
        return false;
    }
  }
  return true;
}

}  // namespace mangodoor
