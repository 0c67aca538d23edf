#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "report/report_page.h"
#include "report/sweep_growth.h"

namespace mangodoor {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
namespace fs = std::filesystem;

constexpr char kScore[] = R"({
  "id": "ab12", "at": ["2026-01-01T10:00:00Z", "2026-01-01T10:01:00Z"],
  "cmd": "score", "site": "east", "why": "a <change>", "error": null,
  "digest": "text", "days": [
    {"name": "quiet-1", "slot": "quiet", "balancers": 14, "G": 0.8,
     "served": 0.9, "refused": 0.1, "failed": 0.01, "rules": {},
     "by_class": [0.9, 0.8, null], "by_zone": [0.7, 0.6],
     "prices": [["probes", 12.0, 0.02]]},
    {"name": "trouble-1", "slot": "trouble", "balancers": 14, "G": 0.5,
     "served": 0.7, "refused": 0.2, "failed": 0.1, "rules": {"GONE": 3},
     "by_class": [0.5, 0.6, null], "by_zone": [0.5, 0.4],
     "prices": [["probes", 12.0, 0.04]]}]})";

constexpr char kSweep[] =
    "day                  own/srv  score\n"
    "sweep-30              29/302   0.73\n"
    "\n"
    "middle / busiest or longest, by own machines\n"
    "                             30             100             300  power\n"
    "instance: processor %   4.8 / 7.7      7.0 / 19.2     13.9 / 60.9    0.9 "
    " 675\n"
    "power: the busiest grows as machines to this power\n";

constexpr char kLog[] =
    "  -7.9 front-a-1 {\"event\":\"started\",\"data_centre\":\"a\"}\n"
    "  0.10 front-a-1 {\"event\":\"request\",\"service\":\"s\","
    "\"status\":200,\"total_ms\":45.5}\n"
    "  0.20 front-a-1 {\"event\":\"request\",\"service\":\"s\","
    "\"status\":503,\"total_ms\":1.5}\n"
    "  1.20 front-a-1 {\"event\":\"request\",\"service\":\"s\","
    "\"status\":200,\"total_ms\":60}\n"
    "  1.30 front-a-1 {\"event\":\"peer_lost\"}\n"
    "no line of an instance\n"
    "  1.40 front-a-1 {broken\n";

class ReportTest : public testing::Test {
 protected:
  ReportTest()
      : folder_((fs::temp_directory_path() /
                 ("mangodoor-report-" + std::to_string(::getpid())))
                    .string()) {
    fs::remove_all(folder_);
    fs::create_directories(folder_);
  }
  ~ReportTest() override { fs::remove_all(folder_); }

  std::string Read(const std::string& name) const {
    std::ifstream file(folder_ + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  std::string folder_;
};

// Guards against a field of the journal that is decoded into the wrong member.
TEST_F(ReportTest, DecodesEntry) {
  const JournalEntry entry = ParseJournalEntry(kScore);
  EXPECT_EQ(entry.command, "score");
  ASSERT_EQ(entry.days.size(), 2U);
  EXPECT_EQ(entry.days[0].worth, 0.8);
  EXPECT_EQ(entry.days[1].failed, 0.1);
  EXPECT_THAT(entry.days[0].by_class, ElementsAre(0.9, 0.8));
  EXPECT_THAT(entry.days[0].by_data_centre, ElementsAre(0.7, 0.6));
  EXPECT_EQ(entry.days[0].prices.at(0).share, 0.02);
  EXPECT_THAT(entry.days[1].broken_rules, ElementsAre("GONE"));
}

// Guards against one broken file that keeps all others from being loaded.
TEST_F(ReportTest, ReportsAndSkipsBrokenFiles) {
  std::ofstream(folder_ + "/good.json") << kScore;
  std::ofstream(folder_ + "/bad.json") << "{\"id\": 3}";
  std::vector<std::string> faults;
  EXPECT_EQ(LoadJournal(folder_, faults).size(), 1U);
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_THAT(faults[0], HasSubstr("bad.json: not a journal entry"));
}

// Guards against a failed run, or one of another site, that is shown as the
// latest.
TEST_F(ReportTest, FindLatestRunSkipsFailedRuns) {
  std::vector<JournalEntry> entries(3, ParseJournalEntry(kScore));
  entries[1].id = "second";
  entries[2].error = "the build failed";
  ASSERT_TRUE(FindLatestRun(entries, "score", "east"));
  EXPECT_EQ(FindLatestRun(entries, "score", "east")->id, "second");
  EXPECT_EQ(FindLatestRun(entries, "score", "west"), nullptr);
}

// Guards against costs that are plotted at the wrong fleet sizes.
TEST_F(ReportTest, ParsesCostGrowthTable) {
  const std::vector<CostGrowth> table = ParseCostGrowth(kSweep);
  ASSERT_EQ(table.size(), 1U);
  EXPECT_EQ(table[0].name, "instance: processor %");
  EXPECT_THAT(table[0].instances, ElementsAre(30, 100, 300));
  EXPECT_THAT(table[0].middle, ElementsAre(4.8, 7.0, 13.9));
  EXPECT_THAT(table[0].busiest, ElementsAre(7.7, 19.2, 60.9));
  EXPECT_THAT(ParseCostGrowth("nothing of it"), IsEmpty());
}

// Guards against refusals and durations that are counted in the wrong second.
TEST_F(ReportTest, GroupsRequestsBySecond) {
  std::istringstream log(kLog);
  const std::vector<LoggedRequest> requests = ReadRequests(log);
  ASSERT_EQ(requests.size(), 3U);
  const auto latency = LatencyOverTime(requests, RequestGroup::kDataCentre);
  ASSERT_EQ(latency.size(), 1U);
  EXPECT_EQ(latency[0].name, "a");
  EXPECT_THAT(latency[0].x, ElementsAre(0, 1));
  EXPECT_THAT(latency[0].y, ElementsAre(45.5, 60));
  const auto refused = RefusalsOverTime(requests, RequestGroup::kService);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_THAT(refused[0].y, ElementsAre(0.5, 0));
}

// Guards against a page without its charts, and against text of a run that is
// inserted as markup.
TEST_F(ReportTest, PageShowsEveryKindOfRun) {
  ReportInputs inputs;
  inputs.entries = {ParseJournalEntry(kScore), ParseJournalEntry(kScore),
                    ParseJournalEntry(kScore)};
  inputs.entries[1].command = "hunt";
  inputs.entries[2].command = "sweep";
  inputs.entries[2].printed_report = kSweep;
  std::istringstream log(kLog);
  inputs.requests = ReadRequests(log);
  inputs.soak = "seed 7 passed";
  // 4 charts of the score (history, days, kinds, data centres), 1 of the hunt,
  // 1 of the sweep and 4 of the requests by second.
  EXPECT_EQ(WriteReport(inputs, folder_), 10);
  const std::string page = Read("index.html");
  EXPECT_THAT(page, HasSubstr("a &lt;change&gt;"));
  EXPECT_THAT(page, HasSubstr("Broken on trouble-1: GONE"));
  EXPECT_THAT(page, HasSubstr("seed 7 passed"));
  EXPECT_THAT(Read("chart-10.svg"), HasSubstr("</svg>"));
}

}  // namespace
}  // namespace mangodoor
