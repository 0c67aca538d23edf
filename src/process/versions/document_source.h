#ifndef PROCESS_VERSIONS_DOCUMENT_SOURCE_H_
#define PROCESS_VERSIONS_DOCUMENT_SOURCE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace mangodoor {

/** What the configuration service answered to a read. */
struct DocumentAnswer {
  enum class Kind {
    /** The service still has the version that the reader named. */
    kNotModified,
    kDocument,
    /** No answer, or one that is not understood. */
    kUnavailable,
  };
  Kind kind = Kind::kUnavailable;
  /** The version that the service names; the text may state another one. */
  uint64_t version = 0;
  /** The document's text; it has not been checked. */
  std::string text;
  /** Why it is unavailable, for logs. */
  std::string reason;
};

/** Reads the document from the configuration service. */
class DocumentSource {
 public:
  using Callback = std::function<void(DocumentAnswer)>;

  virtual ~DocumentSource() = default;

  /**
   * Starts a read. With a `wait`, the service holds the answer back until the
   * document differs from `known_version` or the wait is over. A known version
   * of 0 always asks for the text. `done` is called once, on a worker thread,
   * never from within this call.
   */
  virtual void Read(uint64_t known_version,
                    std::chrono::seconds wait,
                    Callback done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_DOCUMENT_SOURCE_H_
