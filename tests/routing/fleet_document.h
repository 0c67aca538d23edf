#ifndef TESTS_ROUTING_FLEET_DOCUMENT_H_
#define TESTS_ROUTING_FLEET_DOCUMENT_H_

#include <string>

#include "version/version.h"

namespace mangodoor {

inline Endpoint EntryAddress(int index) {
  return {"10.0.0." + std::to_string(index + 1), 8000};
}

inline BackendServerId ServerName(int index) {
  return BackendServerId("s" + std::to_string(index));
}

inline const ServiceId test_service{"counts"};
inline const DataCentreId first_data_centre{"dc0"};

/** One service over two data centres; servers and addresses alternate. */
inline Document FleetDocument(int servers, int instances) {
  Document document;
  document.version = 1;
  document.data_centres.resize(2);
  for (int i = 0; i < 2; ++i)
    document.data_centres[i].id = DataCentreId("dc" + std::to_string(i));
  for (int i = 0; i < instances; ++i)
    document.data_centres[i % 2].entry_addresses.push_back(EntryAddress(i));
  Service service;
  service.id = test_service;
  for (int i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = ServerName(i);
    server.data_centre = DataCentreId("dc" + std::to_string(i % 2));
    server.endpoint = {"10.0.1." + std::to_string(i + 1), 80};
    service.servers.push_back(server);
  }
  document.services.push_back(service);
  return document;
}

inline VersionPtr ToVersion(const Document& document) {
  return MakeVersion(document, "", "");
}

}  // namespace mangodoor

#endif  // TESTS_ROUTING_FLEET_DOCUMENT_H_
