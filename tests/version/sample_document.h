#ifndef TESTS_VERSION_SAMPLE_DOCUMENT_H_
#define TESTS_VERSION_SAMPLE_DOCUMENT_H_

#include <string>

#include "version/document.h"

namespace mangodoor {

/** A valid document with an entry in each list. */
inline Document SampleDocument() {
  using std::chrono::hours;
  const std::string digest(64, 'a');
  Document document;
  document.version = 7;
  document.data_centres = {
      {DataCentreId("east"), "oman", true, {{"10.0.0.1", 7100}}},
      {DataCentreId("west"), "oman", true, {{"10.0.1.1", 7100}}}};
  Service service;
  service.id = ServiceId("orders");
  service.servers = {{BackendServerId("o1"),
                      DataCentreId("east"),
                      {"10.0.0.9", 80},
                      3,
                      220,
                      ServerMode::kActive},
                     {BackendServerId("o2"),
                      DataCentreId("west"),
                      {"10.0.1.9", 80},
                      3,
                      220,
                      ServerMode::kDraining}};
  document.services = {service};
  Route route;
  route.path_prefix = "/orders";
  route.service = ServiceId("orders");
  document.routes = {route};
  document.client_accounts = {{ClientAccountId("shop"), 100, 50, 1}};
  document.client_accounts[0].priority = 2;
  document.keys = {{digest, ClientAccountId("shop")}};
  document.planned_changes = {
      {WallTime(hours(500000)), ChangeKind::kDataCentreOut, "west"},
      {WallTime(hours(500001)), ChangeKind::kKeyWithdraw, digest}};
  return document;
}

}  // namespace mangodoor

#endif  // TESTS_VERSION_SAMPLE_DOCUMENT_H_
