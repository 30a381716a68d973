#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "config/sheet.h"
#include "config/value_text.h"

namespace geraniumspread::config {
namespace {

const std::string kSheet =
    "kind,name,weight,concurrency_limit,requests_per_second,allowed_models,max_priority,"
    "model,version,cold_limit,capacity,repeatable,timeout,concurrency_per_upstream,region,state,"
    "value,#note\n"
    "failure_domain,georgia-a,,,,,,,,,,,,,georgia,in,,\n"
    "pool,wording,,,,,,inscription-wording,1,2,16,,,,,,,\n"
    "service,order-registry,,,,,,,,,,GET /*|HEAD /status,10s,32,,,,\n"
    "workspace,foundry,8,96,2.5,inscription-wording,draft,,,,,,,,,,,\n"
    "setting,return_ramp,,,,,,,,,,,,,,,45s,\n";

std::string Replaced(std::string text, std::string_view from, std::string_view to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
    text.replace(at, from.size(), to);
  }
  return text;
}

// Returns "row column severity" for each finding.
std::vector<std::string> FindingLocations(const SheetReport& report) {
  std::vector<std::string> locations;
  locations.reserve(report.findings.size());
  for (const Finding& finding : report.findings) {
    locations.push_back(std::to_string(finding.row) + " " + finding.column + " " +
                        std::string(ToString(finding.severity)));
  }
  return locations;
}

// Parses a sheet that must have no errors.
Configuration ReadValid(std::string_view sheet) {
  SheetReport report = ParseSheet(sheet);
  if (!report.configuration) {
    throw std::runtime_error("the sheet has errors");
  }
  return *std::move(report.configuration);
}

void RequireFindings(const std::string& sheet, const std::vector<std::string>& expected) {
  const auto locations = FindingLocations(ParseSheet(sheet));
  BOOST_CHECK_EQUAL_COLLECTIONS(locations.begin(), locations.end(), expected.begin(),
                                expected.end());
}

// Guards against a column that is read into another field or with another unit.
BOOST_AUTO_TEST_CASE(EveryKindOfRowIsRead) {
  const Configuration configuration = ReadValid(kSheet);
  const Workspace workspace{
      "foundry", 8, 96, 2.5, false, {"inscription-wording"}, PriorityClass::kDraft};
  BOOST_TEST((*FindWorkspace(configuration, "foundry") == workspace));
  const ModelPool pool{"wording", "inscription-wording", "", "1", "generate", 1.25, 2, 16};
  BOOST_TEST((*FindPool(configuration, "wording") == pool));
  const Service service{"order-registry",
                        {{"GET", "/", true}, {"HEAD", "/status", false}},
                        std::chrono::seconds(10),
                        32};
  BOOST_TEST((*FindService(configuration, "order-registry") == service));
  BOOST_TEST(IsInService(configuration, "georgia-a"));
  BOOST_TEST(!IsInService(configuration, "georgia-x"));
  BOOST_TEST((configuration.settings.return_ramp == std::chrono::seconds(45)));
  BOOST_TEST((configuration.settings.lease_term == std::chrono::seconds(3)));
}

// Guards against exports of one sheet by different spreadsheet programs that parse to
// different configurations.
BOOST_AUTO_TEST_CASE(ExportVariantsGiveTheSameConfiguration) {
  const auto expected = ParseSheet(kSheet).configuration;
  BOOST_REQUIRE(expected);
  const std::string semicolons = Replaced(kSheet, ",", ";");
  std::string quoted = Replaced(Replaced(kSheet, ",", "\",\""), "\n", "\"\n\"");
  quoted = "\"" + quoted.substr(0, quoted.size() - 1);
  const std::vector<std::string> forms = {
      "\xef\xbb\xbf" + kSheet,
      Replaced(kSheet, "\n", "\r\n"),
      semicolons,
      Replaced(semicolons, "2.5", "2,5"),
      "sep=;\r\n" + semicolons,
      Replaced(kSheet, ",", "\t"),
      quoted,
      Replaced(kSheet, "foundry,8,96,", " foundry\xc2\xa0 ,8.00, 96 ,"),
      Replaced(kSheet, "\nservice", "\n\n,,,,,,,,\nservice"),
      kSheet.substr(0, kSheet.size() - 1),
      Replaced(kSheet, ",#note", ",Comment"),
  };
  for (std::size_t index = 0; index < forms.size(); ++index) {
    const SheetReport report = ParseSheet(forms[index]);
    BOOST_TEST_CONTEXT("form " << index
                               << (report.findings.empty() ? "" : report.findings[0].reason)) {
      BOOST_TEST((report.configuration == expected));
    }
  }
}

// Guards against parsing that stops at the first error, and against findings with a
// wrong row or column, by which planners correct the sheet.
BOOST_AUTO_TEST_CASE(EveryErrorIsReportedInOneRun) {
  const std::string sheet =
      "kind,name,weight,concurrency_limit,requests_per_second,allowed_models,region,state,value\r\n"
      "failure_domain,Georgia A,,,,,georgia,maybe,\r\n"
      "\r\n"
      "workspace,foundry,0,\"1,000\",1.250,*,,,\r\n"
      "workspace,foundry,,,5,*,georgia,,\r\n"
      "\"workspace\",\"two\nlines\",1,1,1,a b,,,\r\n"
      "upstream,x,,,,,,,\r\n"
      "setting,lease_term,,,,,,,3\r\n"
      "setting,leese_term,,,,,,,3s\r\n"
      "service,s,,,,,,,,,extra\r\n";
  RequireFindings(sheet,
                  {"0 state warning", "2 name error", "2 state error", "4 weight error",
                   "4 concurrency_limit error", "4 requests_per_second error", "5 name error",
                   "5 concurrency_limit error", "5 region error", "6 name error",
                   "6 allowed_models error", "7 kind error", "8 value error", "9 name error",
                   "10 timeout error", "10 concurrency_per_upstream error", "10  error"});
}

// Guards against files that are accepted although their text is damaged.
BOOST_AUTO_TEST_CASE(UnreadableSheetsAreRefused) {
  RequireFindings("", {"0  error"});
  RequireFindings(std::string("\xff\xfek\0i\0", 6), {"0  error"});
  RequireFindings("name,kind\n", {"1  error"});
  RequireFindings("kind,name,colour,name\n", {"1 colour error", "1 name error"});
  RequireFindings(Replaced(kSheet, "foundry",
                           "f\xe9"
                           "e"),
                  {"5 name error"});
  RequireFindings(Replaced(kSheet, ",45s,", ",45s,caf\xe9"), {"6 cell 18 error"});
  RequireFindings(Replaced(kSheet, "foundry", "\"foundry"), {"5 name error"});
  RequireFindings(Replaced(kSheet, "foundry", "fo\"undry"), {"5 name error"});
  RequireFindings(Replaced(kSheet, "foundry", std::string(9'000, 'a')), {"5 name error"});
  RequireFindings(std::string(kMaxSheetBytes + 1, 'a'), {"0  error"});
}

// Guards against a sheet that passes the check but is rejected by the routers.
BOOST_AUTO_TEST_CASE(ConflictsBetweenRowsAreErrors) {
  RequireFindings(kSheet + "pool,again,,,,,,inscription-wording,2,2,16,,,,,,,\n",
                  {"7 model error"});
  RequireFindings(kSheet + "service,wording,,,,,,,,,,,10s,32,,,,\n", {"7 name error"});
  RequireFindings(Replaced(kSheet, "1,2,16", "1,17,16"), {"3 cold_limit error"});
}

// Guards against risky sheets that give no warning.
BOOST_AUTO_TEST_CASE(RiskyRowsAreWarnings) {
  std::string risky = Replaced(kSheet, "georgia,in", "georgia,OUT");
  risky = Replaced(risky, "inscription-wording,draft", "other-model,draft");
  risky = Replaced(risky, "HEAD /status", "POST /quotes");
  const SheetReport report = ParseSheet(risky);
  BOOST_TEST(report.configuration.has_value());
  RequireFindings(risky, {"0 state warning", "4 repeatable warning", "5 allowed_models warning"});
}

// Guards against a crafted path that makes a non-repeatable call look repeatable.
BOOST_AUTO_TEST_CASE(OnlyPlainPathsAreRepeatable) {
  const Service service{"s", {{"GET", "/", true}, {"POST", "/quotes/", true}}, {}, 1};
  BOOST_TEST(IsRepeatable(service, "POST", "/quotes/7?x=/../"));
  BOOST_TEST(IsRepeatable(service, "GET", "/a%2Fb"));
  for (const std::string_view path :
       {"/orders", "/quotes", "/quotes/../orders", "/quotes/%2e%2E/orders", "/quotes//x",
        "/quotes/..;/orders", "/quotes/..\\orders", "/quotes/%252e", "/quotes/..", "/quotes/%"}) {
    BOOST_TEST(!IsRepeatable(service, "POST", path), path);
  }
  BOOST_TEST(!IsRepeatable(service, "PUT", "/quotes/7"));
}

// Guards against values that change when they are copied from a diff into the sheet.
BOOST_AUTO_TEST_CASE(FormattedValuesReadBack) {
  for (const double value : {0.0, 0.05, 1.1, 1.25, 999'999.99}) {
    BOOST_TEST(ParseDecimal(FormatDecimal(value), {0, 1'000'000}).value() == value);
  }
  for (const std::int64_t count : {0, 1, 999, 1'500, 60'000, 3'600'000}) {
    const std::chrono::milliseconds value(count);
    const auto read =
        ParseDuration(FormatDuration(value), {value, std::chrono::milliseconds(3'600'000)});
    BOOST_TEST((read.value() == value));
  }
}

// Guards against example sheets that don't pass the check.
BOOST_AUTO_TEST_CASE(ExampleSheetsAreValid) {
  for (const std::string deployment : {"crestline", "pecan-bend"}) {
    std::ifstream file(std::string(GS_EXAMPLES_DIR) + "/" + deployment + "/sheet.csv",
                       std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(ParseSheet(text.str()).findings.empty(), deployment);
    BOOST_TEST(ReadValid(text.str()).workspaces.size() == 10U);
  }
}

// Guards against limits that are too low for a sheet of design size.
BOOST_AUTO_TEST_CASE(SheetOfDesignSizeIsRead) {
  std::string sheet = kSheet;
  for (int index = 0; index < 23'000; ++index) {
    sheet += "workspace,customer-" + std::to_string(index) + ",2,24,7.5,*,draft,,,,,,,,,,,\n";
  }
  BOOST_TEST(ReadValid(sheet).workspaces.size() == 23'001U);
}

}  // namespace
}  // namespace geraniumspread::config
