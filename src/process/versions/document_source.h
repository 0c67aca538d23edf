#ifndef PROCESS_VERSIONS_DOCUMENT_SOURCE_H_
#define PROCESS_VERSIONS_DOCUMENT_SOURCE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace mangodoor {

/** Result of a read of the configuration service. */
struct DocumentAnswer {
  enum class Kind {
    /** The service still has the known version. */
    kNotModified,
    kDocument,
    /** No response, or one that cannot be used. */
    kUnavailable,
  };
  Kind kind = Kind::kUnavailable;
  /**
   * Version in the ETag of the response, 0 if there is none. The text may state
   * another version.
   */
  uint64_t version = 0;
  /** The document as received, not yet checked. */
  std::string text;
  /** Why the document is unavailable. */
  std::string reason;
};

/** Reads the document from the configuration service. */
class DocumentSource {
 public:
  using Callback = std::function<void(DocumentAnswer)>;

  virtual ~DocumentSource() = default;

  /**
   * Starts a read. If `wait` is above 0, the read is a long poll: the service
   * delays its response until its version differs from `known_version` or the
   * wait has elapsed. A known version of 0 always requests the text. `done` is
   * called once, on a worker thread, never from within this call.
   */
  virtual void Read(uint64_t known_version,
                    std::chrono::seconds wait,
                    Callback done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_DOCUMENT_SOURCE_H_
