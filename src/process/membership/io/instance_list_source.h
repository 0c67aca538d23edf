#ifndef PROCESS_MEMBERSHIP_IO_INSTANCE_LIST_SOURCE_H_
#define PROCESS_MEMBERSHIP_IO_INSTANCE_LIST_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <string>

#include "process/membership/instance_list_source.h"

namespace mangodoor {

/** Reads the list with GET /instances over HTTP/1.1. */
class HttpInstanceListSource : public InstanceListSource {
 public:
  HttpInstanceListSource(boost::asio::io_context& context, Endpoint service);

  void Read(Callback done) override;

 private:
  boost::asio::io_context& context_;
  Endpoint service_;
};

/** Decodes the JSON of GET /instances. Throws std::runtime_error. */
InstanceList DecodeInstanceList(const std::string& text);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_IO_INSTANCE_LIST_SOURCE_H_
