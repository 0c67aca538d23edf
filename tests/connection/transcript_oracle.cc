#include "connection/transcript_oracle.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace mangodoor {
namespace {

using State = ParsedResponse::State;

constexpr int kFirstFinalStatus = 200;
constexpr int kFirstNoSuccess = 300;

// Errors of a proper request behind servers that may be faulty in any way.
const std::set<std::string>& AllowedErrors() {
  static const std::set<std::string> errors = {
      "backend_broken",      "backend_refused",   "backend_timeout",
      "backend_unreachable", "deadline_exceeded", "no_server",
      "queue_full",          "request_timeout",
  };
  return errors;
}

bool IsHead(const CallerRequest& request) {
  return request.method == CallerRequest::Method::kHead;
}

bool IsFinal(const ParsedResponse& response) {
  return response.has_head && response.status >= kFirstFinalStatus;
}

bool Refuses(const ParsedResponse& response) {
  return ValuesOf(response, "X-Not-Run") == std::vector<std::string>{"1"};
}

/** The final responses that a server may have meant for one request. */
struct Answers {
  /** Of each receipt, the first one; all if responses have no ids. */
  std::vector<ParsedResponse> responses;
  int receipts = 0;
  /** Receipts of which the server said that they were not run. */
  int refusals = 0;
};

class Oracle {
 public:
  explicit Oracle(const Transcript& transcript) : transcript_(transcript) {}

  std::vector<std::string> Run() {
    for (const CallerConnectionRecord& caller : transcript_.callers)
      CheckCaller(caller);
    for (const ServerConnectionRecord& server : transcript_.servers) {
      for (const RequestReceipt& receipt : server.receipts)
        CheckReceipt(receipt);
    }
    for (size_t i = 0; i < transcript_.requests.size(); ++i)
      CheckReceivedOnce(i);
    return std::move(violations_);
  }

  int forwarded() const { return forwarded_; }

 private:
  void Add(const std::string& id, const std::string& what) {
    violations_.push_back(id + ": " + what);
  }

  /** Responses at the starts of pieces of `receipt`. */
  std::vector<ParsedResponse> ResponsesOf(const ServerConnectionRecord& server,
                                          const RequestReceipt& receipt,
                                          bool is_head) const {
    std::vector<ParsedResponse> responses;
    for (const size_t piece : receipt.pieces) {
      ParsedResponse response = ParseResponse(
          std::string_view(server.bytes).substr(piece), is_head, server.end);
      if (IsFinal(response))
        responses.push_back(std::move(response));
    }
    return responses;
  }

  /** The first of `responses` with the id. */
  static void AddOwn(const std::vector<ParsedResponse>& responses,
                     const std::string& id,
                     Answers& answers) {
    for (const ParsedResponse& response : responses) {
      if (ValuesOf(response, "X-Id") != std::vector<std::string>{id})
        continue;
      answers.refusals += Refuses(response) ? 1 : 0;
      answers.responses.push_back(response);
      return;
    }
  }

  /** Counts a refusal that one of `responses` may be. */
  static void AddRefusal(const std::vector<ParsedResponse>& responses,
                         Answers& answers) {
    if (std::any_of(responses.begin(), responses.end(), Refuses))
      ++answers.refusals;
  }

  // Without ids, a late response cannot be told from the one that is due, so
  // each request can get any response of a server, but only a whole one. A
  // server need not have received the request.
  Answers AnswersWithoutIds(size_t index) const {
    const bool is_head = IsHead(transcript_.requests[index]);
    Answers answers;
    for (const ServerConnectionRecord& server : transcript_.servers) {
      std::vector<ParsedResponse> written;
      for (const RequestReceipt& receipt : server.receipts) {
        const auto responses = ResponsesOf(server, receipt, is_head);
        written.insert(written.end(), responses.begin(), responses.end());
        if (receipt.id != RequestIdOf(index))
          continue;
        ++answers.receipts;
        AddRefusal(written, answers);
      }
      answers.responses.insert(answers.responses.end(), written.begin(),
                               written.end());
    }
    return answers;
  }

  Answers AnswersTo(size_t index) const {
    if (!transcript_.has_ids)
      return AnswersWithoutIds(index);
    const std::string id = RequestIdOf(index);
    const bool is_head = IsHead(transcript_.requests[index]);
    Answers answers;
    for (const ServerConnectionRecord& server : transcript_.servers) {
      for (const RequestReceipt& receipt : server.receipts) {
        if (receipt.id != id)
          continue;
        ++answers.receipts;
        AddOwn(ResponsesOf(server, receipt, is_head), id, answers);
      }
    }
    return answers;
  }

  void CheckCaller(const CallerConnectionRecord& caller) {
    std::string_view rest = caller.bytes;
    for (const size_t index : caller.requests) {
      const std::string id = RequestIdOf(index);
      const CallerRequest& request = transcript_.requests[index];
      const ParsedResponse response =
          ParseResponse(rest, IsHead(request), caller.end);
      if (response.state == State::kMalformed)
        return Add(id, "the caller reads bytes that are no response");
      if (response.state == State::kIncomplete)
        return CheckIncomplete(index, response, caller.end);
      CheckComplete(index, response);
      rest.remove_prefix(response.size);
    }
    if (!rest.empty())
      Add("last request", "bytes behind the response");
  }

  void CheckIncomplete(size_t index,
                       const ParsedResponse& response,
                       StreamEnd end) {
    const std::string id = RequestIdOf(index);
    if (end == StreamEnd::kOpen)
      Add(id, "no whole response and no end of the connection in time");
    if (response.has_head && !IsStatedError(response))
      CheckForwarded(index, response, false);
  }

  void CheckComplete(size_t index, const ParsedResponse& response) {
    if (transcript_.requests[index].is_http_10 && response.is_chunked)
      Add(RequestIdOf(index), "chunks for an HTTP/1.0 caller");
    if (IsStatedError(response))
      return CheckStatedError(index, response);
    CheckForwarded(index, response, true);
    ++forwarded_;
  }

  static bool IsStatedError(const ParsedResponse& response) {
    return !ValuesOf(response, "Mangodoor-Error").empty();
  }

  void CheckStatedError(size_t index, const ParsedResponse& response) {
    const std::string id = RequestIdOf(index);
    const std::string error = ValuesOf(response, "Mangodoor-Error").front();
    const auto outcome = ValuesOf(response, "Mangodoor-Outcome");
    if (AllowedErrors().count(error) == 0)
      Add(id, "unexpected error " + error);
    if (!ValuesOf(response, "X-Signed").empty())
      Add(id, "an error of the instance with the signature of a server");
    if (!IsHead(transcript_.requests[index]) && response.body != error + "\n")
      Add(id, "an error with another body");
    const Answers answers = AnswersTo(index);
    if (outcome == std::vector<std::string>{"not-run"}) {
      if (answers.refusals < answers.receipts)
        Add(id, "\"not run\" for a request that a server has received");
    } else if (outcome != std::vector<std::string>{"unknown"}) {
      Add(id, "an error without an outcome");
    }
  }

  /** True if `response` is `answer`, or its start if not `complete`. */
  static bool Matches(const ParsedResponse& answer,
                      const ParsedResponse& response,
                      bool complete) {
    if (!answer.has_framing || Refuses(answer) ||
        answer.status != response.status ||
        ValuesOf(answer, "X-Signed") != ValuesOf(response, "X-Signed"))
      return false;
    if (complete)
      return answer.state == State::kComplete && answer.body == response.body;
    return answer.body.compare(0, response.body.size(), response.body) == 0;
  }

  void CheckForwarded(size_t index,
                      const ParsedResponse& response,
                      bool complete) {
    const std::string id = RequestIdOf(index);
    const Answers answers = AnswersTo(index);
    if (std::none_of(answers.responses.begin(), answers.responses.end(),
                     [&](const ParsedResponse& answer) {
                       return Matches(answer, response, complete);
                     }))
      Add(id, "a response " + std::to_string(response.status) +
                  " that no server wrote for it, with " +
                  std::to_string(response.body.size()) +
                  " bytes: " + response.body.substr(0, 40));
    if (!ValuesOf(response, "Mangodoor-Outcome").empty())
      Add(id, "a server's response with an outcome of the instance");
    if (!transcript_.has_ids)
      return;
    if (ValuesOf(response, "X-Id") != std::vector<std::string>{id})
      Add(id, "a response without its id");
    if (response.status < kFirstNoSuccess &&
        ValuesOf(response, "X-Signed").size() != 1)
      Add(id, "a successful response without the server's signature");
    if (!ValuesOf(response, "Content-Encoding").empty())
      Add(id, "an encoded response");
  }

  void CheckReceipt(const RequestReceipt& receipt) {
    for (size_t i = 0; i < transcript_.requests.size(); ++i) {
      if (RequestIdOf(i) == receipt.id)
        return CheckReceipt(receipt, transcript_.requests[i]);
    }
    Add(receipt.id, "a server received a request that no caller sent");
  }

  void CheckReceipt(const RequestReceipt& receipt,
                    const CallerRequest& request) {
    const std::string body = BodyOf(request, receipt.id);
    if (receipt.path != PathOf(request, receipt.id) ||
        receipt.method != MethodOf(request))
      Add(receipt.id, "a server received another method or path");
    if (receipt.has_whole_body
            ? receipt.body != body
            : body.compare(0, receipt.body.size(), receipt.body) != 0)
      Add(receipt.id, "a server received another body");
  }

  void CheckReceivedOnce(size_t index) {
    if (IsIdempotent(transcript_.requests[index]))
      return;
    const Answers answers = AnswersTo(index);
    if (answers.receipts - answers.refusals > 1)
      Add(RequestIdOf(index),
          "a request that is not idempotent ran " +
              std::to_string(answers.receipts - answers.refusals) + " times");
  }

  const Transcript& transcript_;
  std::vector<std::string> violations_;
  int forwarded_ = 0;
};

}  // namespace

std::vector<std::string> FindViolations(const Transcript& transcript) {
  return Oracle(transcript).Run();
}

int ForwardedResponses(const Transcript& transcript) {
  Oracle oracle(transcript);
  oracle.Run();
  return oracle.forwarded();
}

}  // namespace mangodoor
