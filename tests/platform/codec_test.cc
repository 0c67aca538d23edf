#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "entry_pages.h"
#include "item_codec.h"
#include "load_field.h"
#include "names.h"
#include "store_answer.h"

namespace mangodoor::platform {
namespace {

using ::testing::HasSubstr;

constexpr char kServerEntry[] = R"({"Address":"10.128.0.9:8080",
  "Details":{"Service":"huvo11a","Version":"v1","Zone":"muscat-a","Slots":3},
  "Status":{"State":"ready","Sequence":4,"ColdRemainingMs":1500},
  "born":1776048571020})";

constexpr char kConfiguration[] = R"({"Version":"0000001c",
  "BaseVersion":"00000005","Resources":[
  {"ResourceKind":"Routes","Metadata":{"Name":"r1"},"Spec":{
    "Host":"hulo84.example","Prefix":"/leny950/","Kind":"safe",
    "TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,"TrafficSplit":[
      {"Service":"a","Weight":90},{"Service":"b","Weight":10}],
    "MaxAttempts":2,"Public":false}},
  {"ResourceKind":"Routes","Metadata":{"Name":"r2"},"Spec":{
    "Host":"jepu9.example","Prefix":"/puka111/","Kind":"unsafe",
    "TimeoutMs":1000,"TargetLatencyMs":250,"Priority":1,"Service":"a",
    "MaxAttempts":3,"Public":true}},
  {"ResourceKind":"Services","Metadata":{"Name":"a"},"Spec":{
    "HealthPath":"/health","MaxConns":220,"Protocol":"h1","Tls":false,
    "ColdStartS":3.0,"ColdPerS":12.0}},
  {"ResourceKind":"Services","Metadata":{"Name":"b"},"Spec":{}},
  {"ResourceKind":"Tenants","Metadata":{"Name":"cuka620"},"Spec":{
    "ApiKeys":["k1","k2"],"Priority":1,"RatePerS":77,"Burst":77}},
  {"ResourceKind":"Tenants","Metadata":{"Name":"free"},"Spec":{"ApiKeys":[]}},
  {"ResourceKind":"Other","Metadata":{},"Spec":{}},
  {"ResourceKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,
    "MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";

StoreItem Item(const std::string& key, const std::string& value) {
  StoreItem item;
  item.key = key;
  item.value = value;
  item.revision = 1;
  return item;
}

DecodedItem Decode(const StoreItem& item) {
  return DecodeItem(item, WallTime());
}

// Guards against a field of a server's entry that is read from the wrong place.
TEST(ServerCodecTest, DecodesServerEntry) {
  const auto decoded = Decode(Item("servers/i-7f", kServerEntry));
  const auto& record = std::get<ServerRecord>(decoded);
  EXPECT_EQ(record.id.value(), "i-7f");
  EXPECT_EQ(record.service.value(), "huvo11a");
  EXPECT_EQ(record.data_centre.value(), "muscat-a");
  EXPECT_EQ(ToString(record.endpoint), "10.128.0.9:8080");
  EXPECT_EQ(record.slots, 3);
  EXPECT_FALSE(record.draining);
  EXPECT_EQ(record.cold_remaining, std::chrono::milliseconds(1500));
  EXPECT_EQ(record.incarnation, 1776048571020);
}

// Guards against malformed entries that are used or that crash the process.
// Each case replaces a part of a valid entry or all of it.
TEST(ServerCodecTest, RejectsUnusableEntries) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"("10.128.0.9:8080")", R"("host:80")"},
      {R"("10.128.0.9:8080")", "7"},
      {R"("Address")", R"("Adress")"},
      {R"("huvo11a")", R"("")"},
      {R"("Slots":3)", R"("Slots":0)"},
      {R"("Slots":3)", R"("Slots":2.5)"},
      {R"("Slots":3)", R"("Slots":"3")"},
      {R"("ready")", R"("sleeping")"},
      {R"("Status":{"State":"ready","Sequence":4,"ColdRemainingMs":1500})",
       R"("Status":[])"},
      {R"("born":1776048571020)", R"("born":"x")"},
      {kServerEntry, "{"},
      {kServerEntry, "\xff\x00"},
      {kServerEntry, ""},
  };
  for (const auto& [from, to] : cases) {
    SCOPED_TRACE(to);
    std::string entry = kServerEntry;
    const size_t at = entry.find(from);
    ASSERT_NE(at, std::string::npos);
    entry.replace(at, from.size(), to);
    const auto decoded = Decode(Item("servers/i-7f", entry));
    const auto* removed = std::get_if<RemovedServer>(&decoded);
    ASSERT_TRUE(removed);
    EXPECT_EQ(removed->id.value(), "i-7f");
    EXPECT_FALSE(removed->faults.empty());
  }
}

/** A JSON list that contains `depth` - 1 lists, one in another. */
std::string NestedLists(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string NestedObjects(size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i)
    text += R"({"a":)";
  return text + "0" + std::string(depth, '}');
}

std::string ReplaceOnce(std::string text,
                        const std::string& from,
                        const std::string& to) {
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

/** Valid JSON values that no field of an entry may have. */
std::vector<std::string> OddValues() {
  // Recursion over this many levels would overflow the stack.
  constexpr size_t kDeep = 200000;
  return {NestedLists(kDeep),
          NestedObjects(kDeep),
          std::string(1000000, '['),
          "\"" + std::string(1000000, 'x') + "\"",
          "1e400",
          "1e308",
          "-1e308",
          "18446744073709551616",
          "99999999999999999999",
          "\"\xc3\x28\"",
          "[]",
          "{}",
          "true"};
}

// Guards against entries of another writer that end the process, that are used,
// or whose faults are as long as the entry.
TEST(ServerCodecTest, RefusesOddValuesInEveryField) {
  const std::vector<std::string> fields = {
      R"("10.128.0.9:8080")",
      R"({"Service":"huvo11a","Version":"v1","Zone":"muscat-a","Slots":3})",
      R"({"State":"ready","Sequence":4,"ColdRemainingMs":1500})",
      R"("huvo11a")",
      R"("muscat-a")",
      R"("ready")",
      "3}",
      "1776048571020"};
  constexpr size_t kMaxFaultsLength = 1000;
  for (const std::string& field : fields) {
    for (const std::string& value : OddValues()) {
      SCOPED_TRACE(field + " replaced by " + value.substr(0, 30));
      // Any text is the name of a service, a zone or a state.
      const bool is_text = value.size() > 1 && value[1] == 'x';
      if (is_text && field != R"("ready")" && field != R"("10.128.0.9:8080")" &&
          field[0] == '"')
        continue;
      const auto decoded = Decode(Item(
          "servers/i-7f", ReplaceOnce(kServerEntry, field,
                                      field == "3}" ? value + "}" : value)));
      const auto* removed = std::get_if<RemovedServer>(&decoded);
      ASSERT_TRUE(removed);
      EXPECT_FALSE(removed->faults.empty());
      EXPECT_LT(ToString(removed->faults).size(), kMaxFaultsLength);
    }
  }
}

// Guards against numbers of another writer that are cut to the range of a type
// or of a field, and then used.
TEST(ServerCodecTest, RefusesNumbersOutOfRange) {
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"Slots\":3", "\"Slots\":-1"},
           {"\"Slots\":3", "\"Slots\":4294967299"},
           {"\"Sequence\":4", "\"Sequence\":\"4\""},
           {"\"Sequence\":4", "\"Sequence\":1e400"},
           {":1500", ":1e308"},
           {":1500", ":99999999999999999999"},
           {":1776048571020", ":-1"},
           {":1776048571020", ":18446744073709551616"}}) {
    SCOPED_TRACE(to);
    const auto decoded =
        Decode(Item("servers/i-7f", ReplaceOnce(kServerEntry, from, to)));
    EXPECT_TRUE(std::holds_alternative<RemovedServer>(decoded));
  }
}

// Guards against an entry without a usable address that is chosen for requests
// until its connections fail.
TEST(ServerCodecTest, RefusesAddressesThatCannotBeConnectedTo) {
  for (const char* address :
       {"999.1.1.1:80", "[]:80", ":80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536",
        "1.2.3.4:99999999999", "host.example:80", "0.0.0.0:80", "[::]:80",
        "[::0]:80", "224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80"}) {
    SCOPED_TRACE(address);
    const auto decoded = Decode(Item(
        "servers/i-7f", ReplaceOnce(kServerEntry, "10.128.0.9:8080", address)));
    const auto* removed = std::get_if<RemovedServer>(&decoded);
    ASSERT_TRUE(removed);
    EXPECT_THAT(ToString(removed->faults), HasSubstr("/Address"));
  }
  const auto decoded =
      Decode(Item("servers/i-7f", ReplaceOnce(kServerEntry, "10.128.0.9:8080",
                                              "[2001:db8::9]:80")));
  EXPECT_TRUE(std::holds_alternative<ServerRecord>(decoded));
}

// Guards against a whole entry that is odd, and against an unknown field whose
// nesting ends the process.
TEST(ServerCodecTest, RefusesOddEntries) {
  std::vector<std::string> entries = OddValues();
  for (const std::string& value : OddValues()) {
    if (value.size() > 100000 && value[0] != '"')
      entries.push_back(
          ReplaceOnce(kServerEntry, "{", "{\"x\":" + value + ","));
  }
  for (const std::string& entry : entries) {
    SCOPED_TRACE(entry.substr(0, 30));
    const auto decoded = Decode(Item("servers/i-7f", entry));
    const auto* removed = std::get_if<RemovedServer>(&decoded);
    ASSERT_TRUE(removed);
    EXPECT_FALSE(removed->faults.empty());
  }
}

// Guards against a configuration with odd values that ends the process or that
// comes into force with a value that has wrapped around.
TEST(DocumentCodecTest, RejectsOddValues) {
  const std::vector<std::string> fields = {
      R"("0000001c")", "800", "200", "90",    R"("a","Weight")", "220",
      "12.0",          "3.0", "77,", "16384", "67108864",        "3000"};
  for (const std::string& field : fields) {
    for (std::string value : OddValues()) {
      SCOPED_TRACE(field + " replaced by " + value.substr(0, 30));
      if (field == "77,")
        value += ",";
      if (field == R"("a","Weight")") {
        if (value[0] == '"')
          continue;
        value += R"(,"Weight")";
      }
      const auto decoded =
          Decode(Item("op/config", ReplaceOnce(kConfiguration, field, value)));
      // A rate below 0 means that the account has no limit.
      if (field == "77," && value == "-1e308,")
        continue;
      const auto* invalid = std::get_if<InvalidDocument>(&decoded);
      ASSERT_TRUE(invalid);
      EXPECT_FALSE(invalid->faults.empty());
      EXPECT_LT(ToString(invalid->faults).size(), 2000U);
    }
  }
  for (const std::string& value : OddValues()) {
    SCOPED_TRACE(value.substr(0, 30));
    const auto decoded = Decode(Item("op/config", value));
    EXPECT_TRUE(std::holds_alternative<InvalidDocument>(decoded));
  }
}

// Guards against integers that are cut to 32 bits and then accepted.
TEST(DocumentCodecTest, RejectsIntegersThatDoNotFit) {
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"Weight\":90", "\"Weight\":4294967386"},
           {"\"MaxConns\":220", "\"MaxConns\":4294967516"},
           {"\"Priority\":2", "\"Priority\":4294967298"},
           {"\"MaxAttempts\":2", "\"MaxAttempts\":4294967298"}}) {
    SCOPED_TRACE(to);
    const auto decoded =
        Decode(Item("op/config", ReplaceOnce(kConfiguration, from, to)));
    EXPECT_TRUE(std::holds_alternative<InvalidDocument>(decoded));
  }
}

// Guards against a deletion that is treated as an invalid entry.
TEST(ItemCodecTest, DecodesDeletions) {
  StoreItem item = Item("servers/i-7f", "");
  item.deleted = true;
  const auto server = Decode(item);
  EXPECT_TRUE(std::get<RemovedServer>(server).faults.empty());
  item.key = "op/evacuate/muscat-a";
  const auto command = Decode(item);
  EXPECT_FALSE(std::get<DataCentreCommand>(command).out);
  EXPECT_TRUE(std::get<DataCentreCommand>(Decode(Item(item.key, "{}"))).out);
  item.key = "op/config";
  EXPECT_TRUE(std::holds_alternative<IgnoredItem>(Decode(item)));
  EXPECT_TRUE(
      std::holds_alternative<IgnoredItem>(Decode(Item("my/leader", "x"))));
}

// Guards against a field of the configuration that is decoded into the wrong
// field or unit.
TEST(DocumentCodecTest, DecodesConfiguration) {
  const auto decoded = Decode(Item("op/config", kConfiguration));
  const Document& document = std::get<VersionPtr>(decoded)->document;
  EXPECT_EQ(document.version, 0x1cU);
  EXPECT_EQ(document.limit_policy, LimitPolicy::kSharedUsage);
  ASSERT_EQ(document.routes.size(), 2U);
  const Route& split = document.routes[0];
  EXPECT_EQ(split.host, "hulo84.example");
  EXPECT_EQ(split.path_prefix, "/leny950/");
  EXPECT_EQ(split.retry_rule, RetryRule::kAlways);
  EXPECT_EQ(split.timeout, std::chrono::milliseconds(800));
  EXPECT_EQ(split.target_latency, std::chrono::milliseconds(200));
  EXPECT_EQ(split.priority, 2);
  EXPECT_EQ(split.max_attempts, 2);
  EXPECT_FALSE(split.open);
  ASSERT_EQ(split.split.size(), 2U);
  EXPECT_EQ(split.split[1].service.value(), "b");
  EXPECT_EQ(split.split[1].weight, 10);
  EXPECT_EQ(document.routes[1].retry_rule, RetryRule::kNever);
  EXPECT_TRUE(document.routes[1].open);
  EXPECT_TRUE(document.services[0].discovered);
  EXPECT_EQ(document.services[0].connection_limit, 220);
  EXPECT_EQ(document.services[0].cold_time, std::chrono::seconds(3));
  EXPECT_EQ(document.services[0].cold_rate_per_s, 12);
  EXPECT_EQ(document.client_accounts[0].rate_per_s, 77);
  EXPECT_EQ(document.client_accounts[0].burst, 77);
  EXPECT_EQ(document.client_accounts[0].priority, 1);
  EXPECT_FALSE(document.client_accounts[1].limited);
  EXPECT_EQ(document.keys.size(), 2U);
  EXPECT_EQ(document.limits.idle_time, std::chrono::seconds(15));
}

// Guards against an invalid configuration that comes into force, and against a
// message that does not say where the fault is or that shows an API key.
TEST(DocumentCodecTest, RejectsInvalidConfigurations) {
  const std::vector<std::array<std::string, 3>> cases = {
      {R"("0000001c")", R"("xyz")", "/Version: \"\"xyz\"\""},
      {R"("Weight":90)", R"("Weight":"much")", "TrafficSplit/0/Weight"},
      {"\"Service\":\"a\",\n", "", "service"},
      {R"("TimeoutMs":800)", R"("TimeoutMs":0)", "timeout_ms: 0"},
      {R"("MaxAttempts":2)", R"("MaxAttempts":0)", "max_attempts: 0"},
      {R"("Resources":[)", R"("Things":[)", "/Resources: absent"},
      {R"("ApiKeys":["k1","k2"])", R"("ApiKeys":["k1","k1"])", "digest"},
  };
  for (const auto& [from, to, fault] : cases) {
    SCOPED_TRACE(to);
    std::string text = kConfiguration;
    text.replace(text.find(from), from.size(), to);
    const auto decoded = Decode(Item("op/config", text));
    const auto* invalid = std::get_if<InvalidDocument>(&decoded);
    ASSERT_TRUE(invalid);
    EXPECT_THAT(ToString(invalid->faults), HasSubstr(fault));
    EXPECT_THAT(ToString(invalid->faults), ::testing::Not(HasSubstr("k1")));
  }
  EXPECT_TRUE(std::holds_alternative<InvalidDocument>(
      Decode(Item("op/config", "{\"Version\":"))));
}

// Guards against requests that are rejected for lack of an API key although the
// configuration has no tenants, and so no API keys.
TEST(DocumentCodecTest, OpensAllRoutesWithoutTenants) {
  const auto decoded = Decode(Item("op/config", R"({"Version":"01","Resources":[
    {"ResourceKind":"Routes","Metadata":{"Name":"r"},"Spec":{"Host":"h.example",
     "Prefix":"/a/","Kind":"safe","TimeoutMs":800,"Service":"s",
     "MaxAttempts":2}},
    {"ResourceKind":"Services","Metadata":{"Name":"s"},"Spec":{}}]})"));
  EXPECT_TRUE(std::get<VersionPtr>(decoded)->document.routes[0].open);
}

// Guards against a server load that is parsed wrongly, or that is taken from a
// malformed header field.
TEST(LoadFieldTest, ParsesServerLoad) {
  const auto load = ParseServerLoad("3,2,8,500").server_load;
  ASSERT_TRUE(load);
  EXPECT_EQ(load->running, 3);
  EXPECT_EQ(load->waiting, 2);
  EXPECT_EQ(load->slots, 8);
  EXPECT_DOUBLE_EQ(load->slowness, 5);
  EXPECT_DOUBLE_EQ(ParseServerLoad("3, 0, 8").server_load->slowness, 1);
  for (const char* malformed : {"", "3", "3,2", "a,b,c", "-1,0,3", "3,0,"})
    EXPECT_FALSE(ParseServerLoad(malformed).server_load) << malformed;
}

// Guards against a directory response whose status, content type or body
// clients cannot use, and against a wrong status of the readiness check.
TEST(EntryPagesTest, AnswersLookupAndReadiness) {
  AddressQuery last_query;
  const auto resolve = [&last_query](const AddressQuery& query) {
    last_query = query;
    return AddressAnswer{{{"10.1.0.24", 8045}}, std::chrono::seconds(4)};
  };
  const Page page = LookupPage(
      {"/lookup?Name=hulo84.example&Region=r&Zone=z", "1.2.3.4"}, resolve);
  EXPECT_EQ(page.http_status, 200);
  EXPECT_STREQ(page.content_type, "application/json");
  EXPECT_EQ(page.body, R"({"Addresses":["10.1.0.24:8045"],"TtlS":4.0})");
  EXPECT_EQ(last_query.host, "hulo84.example");
  EXPECT_EQ(last_query.caller, "1.2.3.4");
  LookupPage({"/lookup?Region=r&Name=last", "1.2.3.4"}, resolve);
  EXPECT_EQ(last_query.host, "last");
  EXPECT_EQ(LookupPage({"/else", "1.2.3.4"}, resolve).http_status, 404);
  EXPECT_EQ(ReadinessPage({"/readiness", ""}, true).http_status, 200);
  EXPECT_EQ(ReadinessPage({"/readiness", ""}, false).http_status, 503);
}

// Guards against failed or malformed responses of the store that are treated as
// responses without items.
TEST(StoreAnswerTest, DistinguishesResponses) {
  const StoreAnswer events = DecodeStoreAnswer(200, R"({"events":[
    {"Key":"a","Value":"bm9kZS0x","Revision":412,"Created":4,"LeaseId":7},
    {"Key":"b","Revision":413,"Deleted":true},{"Key":3}],"CurrentRev":413})");
  EXPECT_EQ(events.kind, StoreAnswer::Kind::kItems);
  EXPECT_EQ(events.revision, 413U);
  ASSERT_EQ(events.items.size(), 2U);
  EXPECT_EQ(events.items[0].value, "node-1");
  EXPECT_TRUE(events.items[1].deleted);
  const StoreAnswer page =
      DecodeStoreAnswer(200, R"({"items":[],"HasMore":true,"CurrentRev":7})");
  EXPECT_TRUE(page.more);
  EXPECT_EQ(DecodeStoreAnswer(410, "").kind, StoreAnswer::Kind::kCompacted);
  EXPECT_EQ(DecodeStoreAnswer(429, "").kind, StoreAnswer::Kind::kRefused);
  EXPECT_EQ(DecodeStoreAnswer(503, "").kind, StoreAnswer::Kind::kRefused);
  for (const char* malformed :
       {"", "[]", "{", R"({"items":[]})", R"({"items":[],"CurrentRev":1e400})",
        R"({"items":[],"CurrentRev":-1})"})
    EXPECT_EQ(DecodeStoreAnswer(200, malformed).kind,
              StoreAnswer::Kind::kUnusable);
  EXPECT_EQ(DecodeStoreAnswer(500, "").kind, StoreAnswer::Kind::kUnavailable);
}

/** An answer to a watch with one item of text between two usable ones. */
StoreAnswer DecodeWith(const std::string& item) {
  return DecodeStoreAnswer(
      200, R"({"events":[{"Key":"a","Value":"YQ==","Revision":411},)" + item +
               R"(,{"Key":"c","Value":"Yw==","Revision":413}],)" +
               R"("CurrentRev":413})");
}

// Guards against an item that cannot be read and that keeps the others from
// being read, or whose old value stays in use.
TEST(StoreAnswerTest, ReadsOtherItemsBesideOneThatCannotBeRead) {
  const std::string odd_text = "\"\xc3\x28\"";
  for (const std::string& rest :
       {std::string(R"("Revision":412)"),
        std::string(R"("Revision":412,"Value":7)"),
        std::string(R"("Revision":412,"Value":"not base64")"),
        std::string(R"("Revision":412,"Value":"YQ==","LeaseId":1e400)"),
        R"("Revision":412,"Value":)" + odd_text,
        R"("Revision":412,"Value":)" + NestedLists(200000),
        std::string(R"("Revision":1e400,"Value":"YQ==")"),
        std::string(R"("Revision":-1,"Value":"YQ==")"),
        std::string(R"("Revision":99999999999999999999,"Value":"YQ==")"),
        std::string(R"("Revision":18446744073709551615,"Value":"YQ==")"),
        std::string(R"("Value":"YQ==")")}) {
    SCOPED_TRACE(rest.substr(0, 60));
    const StoreAnswer answer =
        DecodeWith(R"({"Key":"servers/b",)" + rest + "}");
    ASSERT_EQ(answer.kind, StoreAnswer::Kind::kItems);
    ASSERT_EQ(answer.items.size(), 3U);
    EXPECT_EQ(answer.items[0].value, "a");
    EXPECT_EQ(answer.items[1].key, "servers/b");
    EXPECT_GE(answer.items[1].revision, 412U);
    EXPECT_LE(answer.items[1].revision, 413U);
    EXPECT_FALSE(answer.items[1].deleted);
    EXPECT_EQ(answer.items[2].value, "c");
  }
}

// Guards against an item without a revision that hides a later change of its
// key in the same response.
TEST(StoreAnswerTest, KeepsTheLaterChangeOfAKey) {
  const StoreAnswer answer = DecodeWith(
      R"({"Key":"servers/b"},{"Key":"servers/b","Value":"YQ==","Revision":412})");
  ASSERT_EQ(answer.items.size(), 3U);
  EXPECT_EQ(answer.items[1].key, "servers/b");
  EXPECT_EQ(answer.items[1].value, "a");
  EXPECT_EQ(answer.items[1].revision, 412U);
  EXPECT_EQ(answer.reason, "");
}

// Guards against entries of another writer that make messages with all items
// longer than other instances accept.
TEST(StoreAnswerTest, BoundsTheSizeOfEntries) {
  std::string value;
  for (int i = 0; i < 2000; ++i)
    value += "YWFh";
  for (const auto& [key, size] :
       {std::pair<const char*, size_t>{"servers/b", 0}, {"op/config", 6000}}) {
    const StoreAnswer answer =
        DecodeWith(std::string(R"({"Key":")") + key +
                   R"(","Revision":412,"Value":")" + value + "\"}");
    ASSERT_EQ(answer.items.size(), 3U);
    EXPECT_EQ(answer.items[1].value.size(), size);
  }
}

// Guards against an item without a usable key that keeps the others from being
// read: peers refuse a message with a key that is too long.
TEST(StoreAnswerTest, ReadsOtherItemsBesideOneWithoutUsableKey) {
  for (const std::string& item :
       {std::string("7"), std::string("[]"), std::string("{}"),
        NestedLists(200000), std::string(R"({"Key":7,"Revision":412})"),
        std::string("{\"Key\":\"\xc3\x28\",\"Revision\":412}"),
        std::string(R"({"Key":"","Revision":412,"Deleted":true})"),
        R"({"Revision":412,"Deleted":true,"Key":")" + std::string(201, 'k') +
            "\"}"}) {
    SCOPED_TRACE(item.substr(0, 60));
    const StoreAnswer answer = DecodeWith(item);
    ASSERT_EQ(answer.kind, StoreAnswer::Kind::kItems);
    EXPECT_EQ(answer.items.size(), 2U);
  }
}

// Guards against a full copy that lacks the items after a page of which nothing
// can be read.
TEST(StoreAnswerTest, RejectsPagesWithoutAUsableKey) {
  EXPECT_EQ(DecodeStoreAnswer(
                200, R"({"items":[{"Key":7}],"HasMore":true,"CurrentRev":7})")
                .kind,
            StoreAnswer::Kind::kUnusable);
}

// Guards against names of another writer that would be sent in header fields,
// or in messages that peers refuse.
TEST(ServerCodecTest, RefusesStrangeNames) {
  for (const std::string& id :
       {std::string("a b"), std::string("a\r\nX: y"), std::string("\xc3\x28"),
        std::string(201, 'i'), std::string()}) {
    SCOPED_TRACE(id);
    EXPECT_TRUE(std::holds_alternative<RemovedServer>(
        Decode(Item("servers/" + id, kServerEntry))));
  }
  for (const char* name : {"huvo11a", "muscat-a"}) {
    for (const std::string& to :
         {std::string("a\\nb"), std::string("a b"), std::string(201, 's')}) {
      EXPECT_TRUE(std::holds_alternative<RemovedServer>(
          Decode(Item("servers/i-7f", ReplaceOnce(kServerEntry, name, to)))));
    }
  }
}

}  // namespace
}  // namespace mangodoor::platform
