#ifndef PROCESS_VERSIONS_IO_DOCUMENT_SOURCE_H_
#define PROCESS_VERSIONS_IO_DOCUMENT_SOURCE_H_

#include <boost/asio/io_context.hpp>

#include "process/counters.h"
#include "process/versions/document_source.h"
#include "version/endpoint.h"

namespace mangodoor {

/**
 * Reads the document with GET /document over HTTP/1.1. A wait is sent in the
 * Prefer header field.
 */
class HttpDocumentSource : public DocumentSource {
 public:
  HttpDocumentSource(boost::asio::io_context& context,
                     Endpoint service,
                     Counters& counters);

  void Read(uint64_t known_version,
            std::chrono::seconds wait,
            Callback done) override;

 private:
  boost::asio::io_context& context_;
  Endpoint service_;
  Counters& counters_;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_IO_DOCUMENT_SOURCE_H_
