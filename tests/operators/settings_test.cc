#include "process/io/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cctype>
#include <nlohmann/json.hpp>
#include <ostream>

#include "operators/repository.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
using ::testing::AllOf;
using ::testing::HasSubstr;
using ::testing::Not;

Json ValidSettings() {
  return {{"id", "a1"},
          {"data_centre", "muscat-1"},
          {"caller", "127.0.0.1:7100"},
          {"peer", "127.0.0.1:7101"},
          {"admin", "127.0.0.1:7102"},
          {"configuration_service", "127.0.0.1:7001"},
          {"instance_list", "127.0.0.1:7002"},
          {"fleet_secret", "0123456789abcdef"}};
}

std::string SettingsErrorOf(const std::string& text) {
  try {
    DecodeSettings(text, "a1.json");
    return "";
  } catch (const SettingsError& error) {
    return error.what();
  }
}

// Guards against a field that is accepted but ignored.
TEST(SettingsTest, EveryFieldIsRead) {
  Json json = ValidSettings();
  json["worker_threads"] = 5;
  json["log_level"] = "error";
  const Settings settings = DecodeSettings(json.dump(), "a1.json");
  EXPECT_EQ(settings.self.id, InstanceId("a1"));
  EXPECT_EQ(settings.self.data_centre, DataCentreId("muscat-1"));
  EXPECT_EQ(ToString(settings.self.caller_endpoint), "127.0.0.1:7100");
  EXPECT_EQ(ToString(settings.self.peer_endpoint), "127.0.0.1:7101");
  EXPECT_EQ(ToString(settings.admin_endpoint), "127.0.0.1:7102");
  EXPECT_EQ(ToString(settings.configuration_service), "127.0.0.1:7001");
  EXPECT_EQ(ToString(settings.instance_list), "127.0.0.1:7002");
  EXPECT_EQ(settings.fleet_secret, "0123456789abcdef");
  EXPECT_EQ(settings.worker_threads, 5);
  EXPECT_EQ(settings.log_level, LogLevel::kError);
}

struct SettingCase {
  const char* field;
  Json value;
  const char* expected_error;
};

// Prints a case without pointer values, so that test names stay the same in
// every run.
void PrintTo(const SettingCase& setting_case, std::ostream* out) {
  *out << setting_case.field << " ";
  for (const char c : setting_case.value.dump())
    *out << (std::isalnum(static_cast<unsigned char>(c)) ? c : '_');
}

class SettingsFaultTest : public ::testing::TestWithParam<SettingCase> {};

// Guards against an instance that starts with an invalid setting.
TEST_P(SettingsFaultTest, IsNamedWithFileAndField) {
  Json json = ValidSettings();
  json[GetParam().field] = GetParam().value;
  EXPECT_THAT(SettingsErrorOf(json.dump()),
              HasSubstr(std::string("a1.json: /") + GetParam().expected_error));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    SettingsFaultTest,
    ::testing::Values(
        SettingCase{"id", "", "id: \"\"; allowed: 1 to 64"},
        SettingCase{"id", "a b", "id: \"a b\"; allowed: 1 to 64"},
        SettingCase{"id", 7, "id: 7; allowed: a text"},
        SettingCase{"data_centre", "", "data_centre: \"\""},
        SettingCase{"caller", "localhost:1", "caller: \"localhost:1\""},
        SettingCase{"caller", "0.0.0.0:7100", "caller: \"0.0.0.0:7100\""},
        SettingCase{"admin", "127.0.0.1:7100", "admin: \"127.0.0.1:7100\""},
        SettingCase{"peer", "127.0.0.1:0", "peer: \"127.0.0.1:0\""},
        SettingCase{"worker_threads", 0, "worker_threads: 0; allowed: an"},
        SettingCase{"worker_threads", "2", "worker_threads: \"2\""},
        SettingCase{"log_level", "loud", "log_level: \"loud\"; allowed"},
        SettingCase{"worker_thread", 2, "worker_thread: an unknown field"},
        SettingCase{"fleet_secret", "too-short", "fleet_secret: a text of 9"},
        SettingCase{"fleet_secret", 12345, "fleet_secret: a value that"}));

// Guards against reporting only the first of several errors.
TEST(SettingsTest, AllFaultsAreListed) {
  EXPECT_THAT(SettingsErrorOf("{}"),
              AllOf(HasSubstr("/id: no value"), HasSubstr("/caller: no value"),
                    HasSubstr("/instance_list: no value"),
                    HasSubstr("/fleet_secret: no value")));
}

// Guards against showing the secret in logs or terminals, including on syntax
// errors.
TEST(SettingsTest, SecretIsNeverShown) {
  Json json = ValidSettings();
  json["fleet_secret"] = "hush-hush";
  const std::string text = json.dump();
  for (const std::string& bad :
       {text, text.substr(0, text.find("hush-hush") + 9)}) {
    EXPECT_FALSE(SettingsErrorOf(bad).empty());
    EXPECT_THAT(SettingsErrorOf(bad), Not(HasSubstr("hush")));
  }
}

// Guards against reporting a missing file as a syntax error.
TEST(SettingsTest, UnreadableFileIsNamed) {
  try {
    LoadSettings("no-such-file.json");
    FAIL() << "a missing file was loaded";
  } catch (const std::runtime_error& error) {
    EXPECT_THAT(error.what(), HasSubstr("no-such-file.json: cannot be read"));
  }
}

}  // namespace
}  // namespace mangodoor
