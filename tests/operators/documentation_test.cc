#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>

#include "connection/response_fault.h"
#include "operators/repository.h"
#include "process/counters.h"
#include "process/io/settings.h"
#include "process/status/instance_status.h"
#include "process/status/io/metrics.h"
#include "version/document_limits.h"
#include "version/io/document_codec.h"
#include "version/sample_document.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
using ::testing::ElementsAreArray;
using ::testing::HasSubstr;

// Guards against example documents that are invalid.
TEST(ExamplesTest, DocumentsAreValid) {
  const auto check = [](const char* path, size_t servers, size_t addresses) {
    SCOPED_TRACE(path);
    const VersionPtr version = DecodeVersion(RepositoryFile(path));
    size_t found = 0;
    for (const Service& service : version->document.services)
      found += service.servers.size();
    EXPECT_EQ(found, servers);
    EXPECT_EQ(version->entry_addresses.size(), addresses);
  };
  check("examples/association.json", 36, 17);
  check("examples/crate-exchange.json", 44, 17);
  check("examples/run/document.json", 4, 3);
}

// Guards against settings of the example run that do not match its document.
TEST(ExamplesTest, SettingsAreValidAndMatchTheDocument) {
  const VersionPtr version =
      DecodeVersion(RepositoryFile("examples/run/document.json"));
  const auto path = [](const char* name) {
    return (RepositoryRoot() / "examples" / name).string();
  };
  EXPECT_NO_THROW(LoadSettings(path("settings.json")));
  for (const char* name :
       {"run/east-1.json", "run/east-2.json", "run/west-1.json"}) {
    const Settings settings = LoadSettings(path(name));
    EXPECT_THAT(version->entry_addresses,
                ::testing::Contains(settings.self.caller_endpoint));
    EXPECT_EQ(version->data_centres_by_id.count(settings.self.data_centre), 1U);
  }
}

// Guards against an error kind that is missing on the operators' page or
// differs from its description there.
TEST(DocumentationTest, ErrorKindsMatchTheTable) {
  std::vector<std::string> expected;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    expected.push_back("| `" + std::string(answer.name) + "` | " +
                       std::to_string(answer.http_status) + " | " +
                       OutcomeName(answer.outcome) + " | " +
                       (answer.caller_may_retry ? "yes" : "no") + " |");
  }
  std::vector<std::string> listed;
  std::istringstream page(RepositoryFile("docs/operators.md"));
  const std::regex row(R"(^(\| `\w+` \| \d+ \| [\w-]+ \| \w+ \|).*)");
  std::smatch match;
  for (std::string line; std::getline(page, line);) {
    if (std::regex_match(line, match, row))
      listed.push_back(match[1]);
  }
  EXPECT_THAT(listed, ElementsAreArray(expected));
}

// Guards against a metric that is missing on the operators' page, and against
// one on the page that does not exist.
TEST(DocumentationTest, MetricsMatchThePage) {
  InstanceStatus status;
  status.servers.emplace_back();
  status.accounts.emplace_back();
  status.fleet.emplace();
  status.fleet->store_age = Duration::zero();
  status.fleet->members.emplace_back();
  const std::string text = MetricsText(Counters(), status);
  const std::string page = RepositoryFile("docs/operators.md");
  const auto names_in = [](const std::string& source, const char* pattern) {
    std::set<std::string> names;
    const std::regex name(pattern);
    for (std::sregex_iterator it(source.begin(), source.end(), name), end;
         it != end; ++it)
      names.insert((*it)[1]);
    return names;
  };
  EXPECT_EQ(names_in(page, R"(\| `(mangodoor_\w+)` \|)"),
            names_in(text, R"(# HELP (mangodoor_\w+) )"));
}

// Guards against a fault in logs and metrics that the operators' page does not
// explain.
TEST(DocumentationTest, ResponseFaultsMatchThePage) {
  std::vector<std::string> expected;
  for (size_t i = 0; i < kResponseFaultCount; ++i)
    expected.emplace_back(Name(static_cast<ResponseFault>(i)));
  const std::string page = RepositoryFile("docs/operators.md");
  const size_t table = page.find("| fault | what the backend server sent |");
  std::istringstream rows(page.substr(std::min(table, page.size())));
  const std::regex row(R"(^\| `(\w+)` \| .*)");
  std::vector<std::string> listed;
  std::smatch match;
  for (std::string line; std::getline(rows, line) && !line.empty();) {
    if (std::regex_match(line, match, row))
      listed.push_back(match[1]);
  }
  EXPECT_THAT(listed, ElementsAreArray(expected));
}

// Guards against a histogram that does not follow the Prometheus format: its
// buckets are cumulative, and the last one counts all observations.
TEST(MetricsTest, DurationsAreCumulativeBuckets) {
  Counters counters;
  for (const int ms : {1, 3, 150, 9000})
    Observe(counters.request_times, std::chrono::milliseconds(ms));
  const std::string text = MetricsText(counters, InstanceStatus());
  const std::string bucket = "mangodoor_request_seconds_bucket{le=";
  EXPECT_THAT(text, HasSubstr(bucket + "\"0.001\"} 1\n"));
  EXPECT_THAT(text, HasSubstr(bucket + "\"0.005\"} 2\n"));
  EXPECT_THAT(text, HasSubstr(bucket + "\"0.2\"} 3\n"));
  EXPECT_THAT(text, HasSubstr(bucket + "\"5\"} 3\n"));
  EXPECT_THAT(text, HasSubstr(bucket + "\"+Inf\"} 4\n"));
  EXPECT_THAT(text, HasSubstr("mangodoor_request_seconds_count 4\n"));
  EXPECT_THAT(text, HasSubstr("mangodoor_request_seconds_sum 9.154\n"));
}

// Guards against metrics of cold servers that differ from the status.
TEST(MetricsTest, ColdServersAreShown) {
  InstanceStatus status;
  status.fleet.emplace().cold_servers = {3, 14, 0.25, {24, 4, 72, true}};
  const std::string text = MetricsText(Counters(), status);
  EXPECT_THAT(text, HasSubstr("\nmangodoor_cold_servers 3\n"));
  EXPECT_THAT(text, HasSubstr("\nmangodoor_cold_requests_total 14\n"));
  EXPECT_THAT(text, HasSubstr("\nmangodoor_cold_share 0.25\n"));
}

void ExpectFields(const Json& schema, const Json& value, const char* what) {
  SCOPED_TRACE(what);
  std::set<std::string> in_schema;
  std::set<std::string> in_codec;
  for (const auto& item : schema.at("properties").items())
    in_schema.insert(item.key());
  for (const auto& item : value.items())
    in_codec.insert(item.key());
  EXPECT_EQ(in_schema, in_codec);
  EXPECT_EQ(schema.at("additionalProperties"), false);
  const std::string page = RepositoryFile("docs/document.md");
  for (const std::string& name : in_codec)
    EXPECT_THAT(page, HasSubstr("`" + name + "`"));
}

// Guards against a field of the codec that is missing in the schema or on the
// page about the document.
TEST(DocumentationTest, SchemaAndPageNameEveryField) {
  const Json schema = Json::parse(RepositoryFile("docs/document.schema.json"));
  const Json json = Json::parse(EncodeDocument(SampleDocument()));
  ExpectFields(schema, json, "document");
  const Json& parts = schema.at("$defs");
  ExpectFields(parts.at("data_centre"), json["data_centres"][0], "data centre");
  ExpectFields(parts.at("service"), json["services"][0], "service");
  ExpectFields(parts.at("server"), json["services"][0]["servers"][0], "server");
  ExpectFields(parts.at("route"), json["routes"][0], "route");
  ExpectFields(parts.at("caller_limits"), json["caller_limits"], "limits");
  ExpectFields(parts.at("client_account"), json["client_accounts"][0],
               "client account");
  ExpectFields(parts.at("key"), json["keys"][0], "key");
  ExpectFields(parts.at("planned_change"), json["planned_changes"][0],
               "planned change");
}

template <typename Number>
void ExpectRange(const Json& schema,
                 const char* part,
                 const char* field,
                 const Range<Number>& range,
                 Number default_value) {
  SCOPED_TRACE(field);
  const Json& property =
      *part == '\0' ? schema.at("properties").at(field)
                    : schema.at("$defs").at(part).at("properties").at(field);
  EXPECT_EQ(property.at("minimum").get<Number>(), range.lowest);
  EXPECT_EQ(property.at("maximum").get<Number>(), range.highest);
  if (default_value != Number{}) {
    EXPECT_EQ(property.at("default").get<Number>(), default_value);
  }
}

// Guards against a schema whose ranges or defaults differ from those of the
// document checker.
TEST(DocumentationTest, SchemaHasTheRangesOfTheChecker) {
  const Json schema = Json::parse(RepositoryFile("docs/document.schema.json"));
  const Service service;
  const BackendServer server;
  const auto check = [&](const char* part, const char* field,
                         const Range<int64_t>& range, int64_t value) {
    ExpectRange<int64_t>(schema, part, field, range, value);
  };
  check("", "version", kVersionRange, 0);
  check("", "admission_wait_ms", kAdmissionWaitRangeMs,
        Document().admission_wait.count());
  check("", "address_keep_ms", kAddressKeepRangeMs,
        Document().address_keep.count());
  check("service", "cold_concurrency", kColdConcurrencyRange,
        service.cold_concurrency);
  check("service", "ramp_ms", kRampRangeMs, service.ramp.count());
  check("service", "cold_max_ms", kColdMaxRangeMs, service.cold_max.count());
  check("service", "queue_limit", kQueueLimitRange, service.queue_limit);
  check("server", "slots", kSlotsRange, server.slots);
  check("server", "connection_limit", kConnectionLimitRange,
        server.connection_limit);
  check("route", "timeout_ms", kTimeoutRangeMs, Route().timeout.count());
  check("route", "target_latency_ms", kTargetLatencyRangeMs, 0);
  check("route", "max_attempts", kMaxAttemptsRange, Route().max_attempts);
  check("route", "priority", kPriorityRange, 0);
  check("part", "weight", kPartWeightRange, 0);
  check("service", "connection_limit", kConnectionLimitRange,
        service.connection_limit);
  check("service", "cold_time_ms", kColdTimeRangeMs, 0);
  check("caller_limits", "header_bytes", kHeaderBytesRange,
        static_cast<int64_t>(CallerLimits().header_bytes));
  check("caller_limits", "body_bytes", kBodyBytesRange,
        static_cast<int64_t>(CallerLimits().body_bytes));
  check("caller_limits", "header_time_ms", kHeaderTimeRangeMs,
        CallerLimits().header_time.count());
  check("caller_limits", "idle_time_ms", kIdleTimeRangeMs,
        CallerLimits().idle_time.count());
  ExpectRange<double>(schema, "service", "cold_rate_per_s", kColdRateRange, 0);
  check("client_account", "burst", kBurstRange, 0);
  check("client_account", "weight", kWeightRange, ClientAccount().weight);
  ExpectRange<double>(schema, "service", "probe_budget_per_s",
                      kProbeBudgetRange, service.probe_budget_per_s);
  ExpectRange<double>(schema, "client_account", "rate_per_s", kRateRange, 0);
}

}  // namespace
}  // namespace mangodoor
