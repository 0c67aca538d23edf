#include "version/version.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace mangodoor {
namespace {

Document DocumentWithRoutes(const std::vector<std::string>& prefixes) {
  Document document;
  for (const std::string& prefix : prefixes) {
    Route route;
    route.path_prefix = prefix;
    document.routes.push_back(route);
  }
  return document;
}

// Guards against a short prefix hiding a longer one listed after it.
TEST(VersionTest, LongestPrefixWins) {
  const VersionPtr version = MakeVersion(
      DocumentWithRoutes({"/", "/orders", "/orders/urgent"}), "", "");
  EXPECT_EQ(FindRoute(*version, "", "/orders/urgent/7")->path_prefix,
            "/orders/urgent");
  EXPECT_EQ(FindRoute(*version, "", "/orders?x=1")->path_prefix, "/orders");
}

// Guards against a prefix that matches only a part of a segment.
TEST(VersionTest, PrefixEndsAtSegment) {
  const VersionPtr version =
      MakeVersion(DocumentWithRoutes({"/orders"}), "", "");
  EXPECT_EQ(FindRoute(*version, "", "/ordersheet"), nullptr);
}

// Guards against a route of one host that serves another host, and against
// routes that are not found because the Host header has a port or capitals.
TEST(VersionTest, RoutesOfTheHostTakePrecedence) {
  Document document = DocumentWithRoutes({"/", "/a/"});
  document.routes[0].host = "one.example";
  const VersionPtr version = MakeVersion(document, "", "");
  EXPECT_EQ(FindRoute(*version, "ONE.example:8080", "/a/1")->host,
            "one.example");
  EXPECT_EQ(FindRoute(*version, "two.example", "/a/1")->path_prefix, "/a/");
  EXPECT_EQ(FindRoute(*version, "two.example", "/b/1"), nullptr);
}

}  // namespace
}  // namespace mangodoor
