#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "operators/repository.h"
#include "platform_fleet/template.h"
#include "process/io/settings.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/** The fields that the platform fills into the template. */
Json Fields() {
  return {{"Node", "front-1"},
          {"Ip", "127.0.0.1"},
          {"Zone", "zone-a"},
          {"Seeds", {"127.0.0.1:8042"}},
          {"InternalPorts", {7100, 7115}},
          {"Limits", {{"Cores", 2}, {"CpuShare", 0.2}}},
          {"Listen",
           {{"Front", "127.0.0.1:8045"},
            {"Ready", "127.0.0.1:8048"},
            {"Control", "127.0.0.1:8042"},
            {"Directory", "127.0.0.1:8044"}}},
          {"Platform", {{"Address", "127.0.0.1:8041"}}},
          {"Bounds", SampleBounds()}};
}

Settings SettingsWith(const Json& fields) {
  return DecodeSettings(
      RenderTemplate(RepositoryFile("platform/settings.json"), fields),
      "local.toml");
}

Settings SettingsWithBound(const std::string& name, const Json& value) {
  Json fields = Fields();
  fields["Bounds"][name] = value;
  return SettingsWith(fields);
}

// Guards against a figure of the platform that does not reach its setting.
TEST(SettingsTemplateTest, EveryFigureIsRead) {
  const Settings settings = SettingsWith(Fields());
  ASSERT_TRUE(settings.fleet);
  const FleetSettings& fleet = *settings.fleet;
  EXPECT_EQ(settings.worker_threads, 2);
  EXPECT_EQ(fleet.processor_share, 0.2);
  EXPECT_EQ(fleet.tolerance.window, milliseconds(5000));
  EXPECT_EQ(fleet.tolerance.overage, 0.25);
  EXPECT_EQ(fleet.tolerance.slack, 20);
  EXPECT_EQ(fleet.retries.ratio, 0.2);
  EXPECT_EQ(fleet.retries.window, milliseconds(10000));
  EXPECT_EQ(fleet.retries.fleet_slack, 58);
  EXPECT_EQ(fleet.probes_per_s, 60);
  EXPECT_EQ(fleet.stop_grace, milliseconds(6000));
  EXPECT_EQ(fleet.fence_after, milliseconds(5000));
  EXPECT_FALSE(fleet.fenced_when_stale);
}

// Guards against review case 10: with a fraction as a bound, every process that
// was started ended at once.
TEST(SettingsTemplateTest, FractionsAreRead) {
  EXPECT_EQ(SettingsWithBound("GraceS", 5.5).fleet->stop_grace,
            milliseconds(5500));
  EXPECT_EQ(SettingsWithBound("QuotaWindowS", 2.25).fleet->tolerance.window,
            milliseconds(2250));
  EXPECT_EQ(SettingsWithBound("BudgetWindowS", 0.5).fleet->retries.window,
            milliseconds(500));
  EXPECT_EQ(SettingsWithBound("RevokeMs", 2500.75).fleet->fence_after,
            milliseconds(2500));
  EXPECT_EQ(SettingsWithBound("QuotaSlack", 7.5).fleet->tolerance.slack, 7.5);
  EXPECT_EQ(SettingsWithBound("ProbesPerS", 12.5).fleet->probes_per_s, 12.5);
}

class BoundTest : public ::testing::TestWithParam<const char*> {};

// Guards against a process that ends because the platform has no value for a
// bound, whose contract is not in force there.
TEST_P(BoundTest, MayHaveNoValue) {
  Json fields = Fields();
  fields["Bounds"].erase(GetParam());
  EXPECT_NO_THROW(SettingsWith(fields));
}

// Guards against a process that ends because of one figure that it cannot use.
TEST_P(BoundTest, MayHaveAnyValue) {
  for (const Json& value :
       {Json(0), Json(0.0004), Json(5.0), Json(1e-9), Json(-1), Json(1e15),
        Json(true), Json("soon"), Json(nullptr), Json::array({1, 2})})
    EXPECT_NO_THROW(SettingsWithBound(GetParam(), value)) << value;
}

INSTANTIATE_TEST_SUITE_P(Bounds,
                         BoundTest,
                         ::testing::Values("QuotaWindowS",
                                           "QuotaOverage",
                                           "QuotaSlack",
                                           "BudgetRatio",
                                           "BudgetWindowS",
                                           "BudgetSlack",
                                           "GraceS",
                                           "ProbesPerS",
                                           "RevokeMs",
                                           "FailClosed"));

// Guards against a figure that is replaced without a word, or by something
// other than the nearest allowed one.
TEST(SettingsTemplateTest, ReplacedFiguresAreReported) {
  const Settings high = SettingsWithBound("GraceS", 1e15);
  EXPECT_EQ(high.fleet->stop_grace, std::chrono::hours(1));
  ASSERT_EQ(high.replaced.size(), 1U);
  EXPECT_EQ(ToString(high.replaced[0]),
            "/fleet/stop_grace_s: \"1e+15\"; allowed: a number from 0.001 to "
            "3600; used: 3600.0");
  const Settings unreadable = SettingsWithBound("ProbesPerS", "many");
  EXPECT_EQ(unreadable.fleet->probes_per_s, FleetSettings().probes_per_s);
  ASSERT_EQ(unreadable.replaced.size(), 1U);
  EXPECT_EQ(unreadable.replaced[0].path, "/fleet/probes_per_s");
  // A bound without a value is no fault, and leaves the strictest policy.
  Json fields = Fields();
  fields["Bounds"] = Json::object();
  const Settings none = SettingsWith(fields);
  EXPECT_TRUE(none.replaced.empty());
  EXPECT_TRUE(none.fleet->fenced_when_stale);
  EXPECT_EQ(none.fleet->tolerance.overage, 0);
  EXPECT_EQ(none.fleet->retries.fleet_slack, 0);
}

// Guards against a reload that replaces a figure in use by a default because
// the new one cannot be read.
TEST(SettingsTemplateTest, UnreadableFigureOfAReloadKeepsTheOneInUse) {
  Json fields = Fields();
  fields["Bounds"]["GraceS"] = "six";
  fields["Bounds"]["FailClosed"] = "maybe";
  fields["Bounds"].erase("BudgetSlack");
  const Settings reloaded = DecodeSettings(
      RenderTemplate(RepositoryFile("platform/settings.json"), fields),
      "local.toml", *SettingsWith(Fields()).fleet);
  EXPECT_EQ(reloaded.fleet->stop_grace, milliseconds(6000));
  EXPECT_FALSE(reloaded.fleet->fenced_when_stale);
  EXPECT_EQ(reloaded.fleet->retries.fleet_slack, 0);
  EXPECT_EQ(reloaded.replaced.size(), 2U);
}

// Guards against an instance that starts without an address, a name or the
// secret of its fleet, and against one that ends because of one bad seed.
TEST(SettingsTemplateTest, OnlyFiguresAndSeedsAreReplaced) {
  Json fields = Fields();
  fields["Seeds"] = {"nowhere", "127.0.0.1:8043"};
  const Settings settings = SettingsWith(fields);
  ASSERT_EQ(settings.fleet->seeds.size(), 1U);
  EXPECT_EQ(ToString(settings.fleet->seeds[0]), "127.0.0.1:8043");
  EXPECT_EQ(settings.replaced.size(), 1U);
  for (const char* name : {"Node", "Zone"}) {
    Json without = Fields();
    without.erase(name);
    EXPECT_THROW(SettingsWith(without), SettingsError) << name;
  }
  fields["Listen"]["Front"] = "nowhere";
  EXPECT_THROW(SettingsWith(fields), SettingsError);
}

// Guards against settings files of earlier versions, whose figures are numbers,
// that are no longer read.
TEST(SettingsTemplateTest, FiguresMayBeNumbersInMilliseconds) {
  Json json = Json::parse(
      RenderTemplate(RepositoryFile("platform/settings.json"), Fields()),
      nullptr, true, true);
  json["worker_threads"] = 4;
  json["fleet"].erase("cores");
  json["fleet"].erase("stop_grace_s");
  json["fleet"]["stop_grace_ms"] = 7500;
  json["fleet"]["limit_overage"] = 0.5;
  json["fleet"]["fenced_when_stale"] = true;
  const Settings settings = DecodeSettings(json.dump(), "a1.json");
  EXPECT_EQ(settings.worker_threads, 4);
  EXPECT_EQ(settings.fleet->stop_grace, milliseconds(7500));
  EXPECT_EQ(settings.fleet->tolerance.overage, 0.5);
  EXPECT_TRUE(settings.fleet->fenced_when_stale);
}

// Guards against the same faults in the limits of the machine.
TEST(SettingsTemplateTest, LimitsMayHaveAnyValue) {
  for (const char* name : {"Cores", "CpuShare"}) {
    for (const Json& value : {Json(), Json(0), Json(0.5), Json(1e9)}) {
      Json fields = Fields();
      fields["Limits"][name] = value;
      EXPECT_NO_THROW(SettingsWith(fields)) << name << " " << value;
    }
    Json fields = Fields();
    fields["Limits"].erase(name);
    EXPECT_NO_THROW(SettingsWith(fields)) << name;
  }
}

}  // namespace
}  // namespace mangodoor
