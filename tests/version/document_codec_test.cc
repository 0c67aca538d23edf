#include "version/io/document_codec.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cctype>
#include <nlohmann/json.hpp>
#include <ostream>

#include "version/document_limits.h"
#include "version/sample_document.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
using ::testing::Contains;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;

std::vector<std::string> FaultsOf(const std::string& text) {
  std::vector<std::string> lines;
  try {
    DecodeDocument(text);
  } catch (const DocumentError& error) {
    for (const Fault& fault : error.faults())
      lines.push_back(ToString(fault));
  }
  return lines;
}

// Guards against a field that is encoded but not decoded, or the reverse.
TEST(DocumentCodecTest, RoundTripKeepsEveryField) {
  Document document = SampleDocument();
  document.admission_wait = std::chrono::milliseconds(20);
  document.address_keep = std::chrono::milliseconds(4000);
  Service& service = document.services[0];
  service.cold_concurrency = 2;
  service.ramp = std::chrono::milliseconds(100);
  service.cold_max = std::chrono::milliseconds(2000);
  service.probe_budget_per_s = 0.5;
  service.queue_limit = 9;
  document.routes[0].retry_rule = RetryRule::kAlways;
  document.routes[0].open = true;
  document.routes[0].timeout = std::chrono::milliseconds(77);
  document.routes[0].host = "shop.example";
  document.routes[0].target_latency = std::chrono::milliseconds(33);
  document.routes[0].max_attempts = 2;
  document.routes[0].priority = 5;
  Route split;
  split.path_prefix = "/split/";
  split.retry_rule = RetryRule::kNever;
  split.split = {{ServiceId("orders"), 9}, {ServiceId("orders"), 1}};
  document.routes.push_back(split);
  service.discovered = true;
  service.health_path = "/well";
  service.connection_limit = 99;
  service.cold_time = std::chrono::milliseconds(3000);
  service.cold_rate_per_s = 12.5;
  document.client_accounts[0].limited = false;
  document.client_accounts[0].priority = 4;
  document.limits = {2048, 4096, std::chrono::milliseconds(3000),
                     std::chrono::milliseconds(15000)};
  document.limit_policy = LimitPolicy::kSharedUsage;
  document.client_accounts[0].weight = 3;
  document.data_centres[1].in_service = false;
  document.data_centres[1].region = "texas";
  const std::string text = EncodeDocument(document);
  const Document decoded = DecodeDocument(text);
  EXPECT_EQ(EncodeDocument(decoded), text);
  EXPECT_EQ(decoded.services[0].servers[1].mode, ServerMode::kDraining);
  EXPECT_EQ(decoded.services[0].queue_limit, 9);
  EXPECT_EQ(decoded.routes[1].retry_rule, RetryRule::kNever);
  EXPECT_EQ(decoded.routes[1].split[0].weight, 9);
  EXPECT_EQ(decoded.client_accounts[0].priority, 4);
  EXPECT_EQ(decoded.limits.header_bytes, 2048U);
  EXPECT_EQ(decoded.limit_policy, LimitPolicy::kSharedUsage);
  EXPECT_EQ(decoded.planned_changes[0].at, document.planned_changes[0].at);
}

// Guards against defaults of the codec that differ from those of the structs.
TEST(DocumentCodecTest, AbsentOptionalFieldsKeepDefaults) {
  const Document document = DecodeDocument(R"({
    "version": 1, // comments are allowed
    "data_centres": [{"id": "a", "entry_addresses": ["10.0.0.1:1"]}],
    "services": [{"id": "s", "servers": [
      {"id": "x", "data_centre": "a", "endpoint": "[fd00:0::1]:2"}]}],
    "routes": [], "client_accounts": [], "keys": []})");
  EXPECT_EQ(document.admission_wait, Document().admission_wait);
  EXPECT_EQ(document.services[0].ramp, Service().ramp);
  EXPECT_EQ(document.services[0].servers[0].slots, BackendServer().slots);
  EXPECT_EQ(ToString(document.services[0].servers[0].endpoint), "[fd00::1]:2");
}

struct FaultCase {
  const char* pointer;
  const char* value;
  const char* fault;
};

// Gives each case the same name in every run; the default prints addresses.
void PrintTo(const FaultCase& fault_case, std::ostream* out) {
  *out << fault_case.pointer << " ";
  for (const char c : std::string(fault_case.value))
    *out << (std::isalnum(static_cast<unsigned char>(c)) ? c : '_');
}

class DocumentFaultTest : public ::testing::TestWithParam<FaultCase> {};

// Guards against an invalid document that comes into force. Each case sets one
// field of a valid document to a wrong value.
TEST_P(DocumentFaultTest, IsFoundAtItsPath) {
  Json json = Json::parse(EncodeDocument(SampleDocument()));
  ASSERT_THAT(FaultsOf(json.dump()), IsEmpty());
  json[Json::json_pointer(GetParam().pointer)] = Json::parse(GetParam().value);
  EXPECT_THAT(FaultsOf(json.dump()), Contains(HasSubstr(GetParam().fault)));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    DocumentFaultTest,
    ::testing::Values(
        FaultCase{"/version", "0", "/version: 0; allowed: an integer from 1"},
        FaultCase{"/version", "18446744073709551615", "/version: 1844674407"},
        FaultCase{"/version", "1.0", "/version: 1.0;"},
        FaultCase{"/colour", "1", "/colour: an unknown field"},
        FaultCase{"/a~1b", "1", "/a~1b: an unknown field"},
        FaultCase{"/data_centres", "[]", "/data_centres: none in service"},
        FaultCase{"/data_centres/0/id", "\"west\"",
                  "/data_centres/1/id: \"west\"; allowed: a value not used"},
        FaultCase{"/data_centres/0/id", "\"a b\"",
                  "/data_centres/0/id: \"a b\"; allowed: 1 to 64"},
        FaultCase{"/data_centres/1/entry_addresses/0", "\"10.0.0.1:7100\"",
                  "it is used at /data_centres/0/entry_addresses/0"},
        FaultCase{"/data_centres/1/entry_addresses/0", "\"10.0.0.9:80\"",
                  "it is used at /data_centres/1/entry_addresses/0"},
        FaultCase{"/data_centres/0/entry_addresses/0", "\"host:80\"",
                  "/entry_addresses/0: \"host:80\"; allowed: IP:PORT"},
        FaultCase{"/data_centres/0/entry_addresses/0", "\"1.2.3.999:80\"",
                  "/entry_addresses/0: \"1.2.3.999:80\""},
        FaultCase{"/data_centres/0/entry_addresses/0", "\"0.0.0.0:80\"",
                  "/entry_addresses/0: \"0.0.0.0:80\""},
        FaultCase{"/data_centres/0/in_service", "\"no\"",
                  "/in_service: \"no\"; allowed: true or false"},
        FaultCase{"/services/0", "3", "/services/0: 3; allowed: an object"},
        FaultCase{"/services/0/servers", "[]",
                  "/services/0/servers: an empty list"},
        FaultCase{"/services/0/servers/0/data_centre", "\"north\"",
                  "/servers/0/data_centre: \"north\"; allowed: the id of"},
        FaultCase{"/services/0/servers/1/id", "\"o1\"",
                  "/servers/1/id: \"o1\""},
        FaultCase{"/services/0/servers/1/endpoint", "\"10.0.0.9:80\"",
                  "/servers/1/endpoint: \"10.0.0.9:80\""},
        FaultCase{"/services/0/servers/0/slots", "4294967297",
                  "/servers/0/slots: 4294967297"},
        FaultCase{"/services/0/servers/0/mode", "\"off\"",
                  "/servers/0/mode: \"off\"; allowed: \"active\""},
        FaultCase{"/services/0/servers/0/colour", "1",
                  "/servers/0/colour: an unknown field"},
        FaultCase{"/services/0/probe_budget_per_s", "0",
                  "/services/0/probe_budget_per_s: 0; allowed"},
        FaultCase{"/services/0/cold_max_ms", "-5", "/cold_max_ms: -5"},
        FaultCase{"/routes/0/service", "\"x\"", "/routes/0/service: \"x\""},
        FaultCase{"/routes/0/path_prefix", "\"orders\"",
                  "/routes/0/path_prefix: \"orders\""},
        FaultCase{"/routes/0/path_prefix", "\"/.well-known/mangodoor\"",
                  "instances answer themselves"},
        FaultCase{"/routes/1",
                  "{\"path_prefix\": \"/orders\", \"service\": \"orders\"}",
                  "/routes/1/path_prefix: \"/orders\"; allowed: a value not"},
        FaultCase{"/routes/0/host", "\"a b\"", "/routes/0/host: \"a b\""},
        FaultCase{"/routes/0/split",
                  "[{\"service\": \"orders\", \"weight\": 1}]",
                  "/routes/0/service: \"orders\"; allowed: nothing"},
        FaultCase{"/routes/1",
                  "{\"path_prefix\": \"/p/\", \"split\": "
                  "[{\"service\": \"orders\", \"weight\": 0}]}",
                  "/routes/1/split: no weight above 0"},
        FaultCase{"/routes/1",
                  "{\"path_prefix\": \"/p/\", \"split\": "
                  "[{\"service\": \"x\", \"weight\": 1}]}",
                  "/routes/1/split/0/service: \"x\""},
        FaultCase{"/routes/1",
                  "{\"path_prefix\": \"/p/\", \"service\": \"orders\", "
                  "\"idempotent\": true, \"never_repeat\": true}",
                  "/routes/1/never_repeat: true"},
        FaultCase{"/routes/0/max_attempts", "0", "/max_attempts: 0;"},
        FaultCase{"/client_accounts/0/priority", "1001", "/priority: 1001;"},
        FaultCase{"/caller_limits/header_bytes", "3",
                  "/caller_limits/header_bytes: 3;"},
        FaultCase{"/limit_policy", "\"none\"", "/limit_policy: \"none\""},
        FaultCase{"/services/0/health_path", "\"well\"",
                  "/services/0/health_path: \"well\""},
        FaultCase{"/client_accounts/0/rate_per_s", "0", "/rate_per_s: 0;"},
        FaultCase{"/client_accounts/0/rate_per_s", "-1", "/rate_per_s: -1;"},
        FaultCase{"/client_accounts/0/rate_per_s", "1e300", "/rate_per_s: 1e"},
        FaultCase{"/client_accounts/0/rate_per_s", "null",
                  "/rate_per_s: null; allowed: a number from 0.001"},
        FaultCase{"/client_accounts/0/burst", "0", "/burst: 0;"},
        FaultCase{"/client_accounts/0/burst", "9000000000", "/burst: 9000"},
        FaultCase{"/keys/0/client_account", "\"x\"",
                  "/keys/0/client_account: \"x\""},
        FaultCase{"/keys/0/digest", "\"AAAA\"", "/keys/0/digest: a text of 4"},
        FaultCase{"/keys/0/key", "\"open-sesame\"",
                  "/keys/0/key: an unknown field; allowed: the fields digest"},
        FaultCase{"/planned_changes/0/target", "\"north\"",
                  "/planned_changes/0/target: \"north\""},
        FaultCase{"/planned_changes/1/target", "\"open-sesame\"",
                  "/planned_changes/1/target: a text of 11"},
        FaultCase{"/planned_changes/0/kind", "\"x\"",
                  "/planned_changes/0/kind: \"x\""},
        FaultCase{"/planned_changes/0/at", "\"2026-12-04T10:00:00+04:00\"",
                  "/planned_changes/0/at: \"2026-12-04T10:00:00+04:00\""},
        FaultCase{"/planned_changes/0/at", "\"2026-02-29T10:00:00Z\"",
                  "/planned_changes/0/at"},
        FaultCase{"/data_centres/0/in_service", "false",
                  "/planned_changes/0: \"west\"; allowed: a change that "
                  "leaves"}));

// Guards against a checker that makes operators fix one fault at a time.
TEST(DocumentCodecTest, AllFaultsAreListed) {
  Json json = Json::parse(EncodeDocument(SampleDocument()));
  json["version"] = 0;
  json["keys"][0]["client_account"] = "x";
  json["routes"][0].erase("service");
  EXPECT_THAT(FaultsOf(json.dump()), ::testing::SizeIs(3));
}

// Guards against keys that are shown in logs, audit trails and terminals.
TEST(DocumentCodecTest, FaultsDoNotShowKeys) {
  Json json = Json::parse(EncodeDocument(SampleDocument()));
  json["keys"][0] = {{"key", "open-sesame"}, {"digest", "open-sesame"}};
  json["planned_changes"][1]["target"] = "open-sesame";
  const std::string text = json.dump();
  for (const std::string& bad : {text, text.substr(0, text.find("sesame") + 3),
                                 "\"open-sesame" + text}) {
    const auto faults = FaultsOf(bad);
    EXPECT_FALSE(faults.empty());
    for (const std::string& fault : faults)
      EXPECT_THAT(fault, Not(HasSubstr("open-ses")));
  }
}

// Guards against a duplicate field that silently replaces the first one.
TEST(DocumentCodecTest, DuplicateFieldIsAFault) {
  std::string text = EncodeDocument(SampleDocument());
  text.insert(text.find("\"burst\""), "\"burst\": 5, ");
  EXPECT_THAT(FaultsOf(text), Contains(HasSubstr("/client_accounts/0/burst: a "
                                                 "field given twice")));
}

// Guards against syntax errors that operators cannot find in a long file.
TEST(DocumentCodecTest, SyntaxErrorNamesLineAndColumn) {
  EXPECT_THAT(FaultsOf("{\n  \"version\": 1,,\n}"),
              Contains(HasSubstr("line 2, column 16: ")));
  EXPECT_THAT(FaultsOf(""), Contains(HasSubstr("line 1, column 1: ")));
  EXPECT_THAT(FaultsOf("{\"version\": NaN}"), Contains(HasSubstr("line 1")));
  EXPECT_THAT(FaultsOf("{\"version\": 1e999}"),
              Contains(HasSubstr("/version: a number that is too large")));
}

// Guards against hostile nesting that exhausts the stack or the memory.
TEST(DocumentCodecTest, HostileNestingIsAFault) {
  const std::string arrays(kMaxDocumentBytes, '[');
  EXPECT_THAT(FaultsOf(arrays), Contains(HasSubstr("nested too deeply")));
  std::string objects;
  while (objects.size() < kMaxDocumentBytes - 10)
    objects += "{\"a\":";
  EXPECT_THAT(FaultsOf(objects), Contains(HasSubstr("nested too deeply")));
}

// Guards against a list of faults many times larger than the document.
TEST(DocumentCodecTest, NumberOfFaultsIsLimited) {
  Json json = Json::parse(EncodeDocument(SampleDocument()));
  json["routes"] = std::vector<int>(300000, 1);
  EXPECT_LE(FaultsOf(json.dump()).size(), 1001);
}

// Guards against accepting a document that is too large for the configuration
// service.
TEST(DocumentCodecTest, SizeIsLimited) {
  std::string text = EncodeDocument(SampleDocument());
  text.resize(kMaxDocumentBytes, ' ');
  EXPECT_THAT(FaultsOf(text), IsEmpty());
  text += ' ';
  EXPECT_THAT(FaultsOf(text), Contains(HasSubstr("1000001 bytes; allowed")));
}

}  // namespace
}  // namespace mangodoor
