#ifndef VERSION_IO_DOCUMENT_CODEC_H_
#define VERSION_IO_DOCUMENT_CODEC_H_

#include <stdexcept>
#include <string>
#include <vector>

#include "version/fault.h"
#include "version/version.h"

namespace mangodoor {

/** Thrown for a document that cannot come into force, with its faults. */
class DocumentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
  explicit DocumentError(std::vector<Fault> faults);

  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

/**
 * Decodes and checks JSON with comments. Throws DocumentError with all faults,
 * up to 1,000. After a syntax error, the content is not checked; the limit does
 * not apply to duplicate fields found before the error.
 */
Document DecodeDocument(const std::string& text);

/** Decodes, checks and indexes a document. Throws DocumentError. */
VersionPtr DecodeVersion(const std::string& text);

/** Encodes a document as JSON, with every field. */
std::string EncodeDocument(const Document& document);

}  // namespace mangodoor

#endif  // VERSION_IO_DOCUMENT_CODEC_H_
