#ifndef CONNECTION_SENT_REQUESTS_H_
#define CONNECTION_SENT_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace mangodoor {

/**
 * A connection to a backend server is not reused after this many requests, so
 * that the ids of all of them can be remembered.
 */
constexpr size_t kMaxRequestsPerConnection = 512;

struct SentRequest {
  /** Hash of the request id. */
  uint64_t id_hash = 0;
  bool is_head = false;
};

/** The requests with an id that were sent on one connection. */
struct SentRequests {
  std::vector<SentRequest> requests;
};

/** Adds a request; does nothing if `id` is empty. */
void Add(SentRequests& sent, std::string_view id, bool is_head);

/**
 * Null if no request with this id was sent. Two ids with the same hash count as
 * one: at worst a connection is not reused, or a response that is not forwarded
 * anyway is skipped.
 */
const SentRequest* Find(const SentRequests& sent, std::string_view id);

bool IsFull(const SentRequests& sent);

}  // namespace mangodoor

#endif  // CONNECTION_SENT_REQUESTS_H_
