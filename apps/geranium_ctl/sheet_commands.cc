#include "geranium_ctl/sheet_commands.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "config/compile.h"
#include "config/config_diff.h"
#include "config/sheet.h"
#include "config/value_text.h"
#include "geranium_ctl/files.h"
#include "geranium_ctl/placement_explanation.h"

namespace geraniumspread::ctl {
namespace {

namespace json = boost::json;
using config::Configuration;
using config::Finding;
using config::SheetReport;

CommandError UsageError(std::string message) {
  return {ExitCode::kUsage, std::move(message) + "; see --help"};
}

void RequireFlag(const std::string& value, std::string_view flag) {
  if (value.empty()) {
    throw UsageError("flag --" + std::string(flag) + " is missing");
  }
}

const std::string& SheetPath(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    throw UsageError("command " + line.command + " needs one sheet");
  }
  return line.arguments.front();
}

SheetReport ReadSheet(const CommandLine& line) {
  return config::ParseSheet(ReadFile(SheetPath(line), config::kMaxSheetBytes));
}

// For commands that only work with a valid sheet.
Configuration ReadValidSheet(const CommandLine& line) {
  SheetReport report = ReadSheet(line);
  if (!report.configuration) {
    throw CommandError{ExitCode::kInvalid, SheetPath(line) + ": " +
                                               std::to_string(report.error_count) +
                                               " error(s); run the command check to list them"};
  }
  return std::move(*report.configuration);
}

std::string FindingText(const Finding& finding) {
  std::string text;
  if (finding.row != 0) {
    text += "row " + std::to_string(finding.row);
  }
  if (!finding.column.empty()) {
    text += (text.empty() ? "column " : ", column ") + finding.column;
  }
  return (text.empty() ? "sheet" : text) + ": " + std::string(ToString(finding.severity)) + ": " +
         finding.reason;
}

json::array FindingsJson(const std::vector<Finding>& findings) {
  json::array array;
  for (const Finding& finding : findings) {
    array.emplace_back(json::object{{"severity", ToString(finding.severity)},
                                    {"row", finding.row},
                                    {"column", finding.column},
                                    {"reason", finding.reason}});
  }
  return array;
}

json::array StringsJson(const std::vector<std::string>& texts) {
  return json::array(texts.begin(), texts.end());
}

void PrintJson(const json::object& report, std::ostream& out) {
  out << json::serialize(report) << "\n";
}

void PrintRisks(const std::vector<std::string>& risks, std::ostream& out) {
  for (const std::string& risk : risks) {
    out << "change: warning: " << risk << "\n";
  }
}

std::string ChangeText(const config::ConfigChange& change) {
  std::string text = std::string(ToString(change.entry)) + " " + change.name + ": ";
  if (change.change != config::ChangeKind::kChanged) {
    return text + std::string(ToString(change.change));
  }
  return text + change.field + " from \"" + change.before + "\" to \"" + change.after + "\"";
}

json::array ChangesJson(const std::vector<config::ConfigChange>& changes) {
  json::array array;
  for (const config::ConfigChange& change : changes) {
    array.emplace_back(json::object{{"entry", ToString(change.entry)},
                                    {"change", ToString(change.change)},
                                    {"name", change.name},
                                    {"field", change.field},
                                    {"before", change.before},
                                    {"after", change.after}});
  }
  return array;
}

// Refuses a version that the routers would ignore or raise an alarm about.
void RequireHigherVersion(const Configuration& before, const Configuration& after) {
  const bool is_repeat = before.version == after.version && before == after;
  if (after.version <= before.version && !is_repeat) {
    throw CommandError{ExitCode::kUsage, "--version must be higher than " +
                                             std::to_string(before.version) +
                                             ", the version in --out; routers ignore others"};
  }
}

json::object WorkspaceJson(const config::Workspace& workspace) {
  return {{"name", workspace.name},
          {"weight", workspace.weight},
          {"concurrency_limit", workspace.concurrency_limit},
          {"requests_per_second", workspace.requests_per_second},
          {"max_priority", ToString(workspace.max_priority)}};
}

std::string NumberOrText(const json::value& value) {
  if (value.is_double()) {
    return config::FormatDecimal(value.get_double());
  }
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

// "key: value" lines; members of nested objects are indented.
void PrintTree(const json::object& object, const std::string& indent, std::ostream& out) {
  for (const auto& [key, value] : object) {
    if (const json::object* child = value.if_object()) {
      out << indent << key << ":\n";
      PrintTree(*child, indent + "  ", out);
    } else if (const json::array* list = value.if_array()) {
      out << indent << key << ":" << (list->empty() ? " none\n" : "\n");
      for (const json::value& item : *list) {
        if (item.is_object()) {
          out << indent << "  -\n";
          PrintTree(item.get_object(), indent + "    ", out);
        } else {
          out << indent << "  - " << NumberOrText(item) << "\n";
        }
      }
    } else {
      out << indent << key << ": " << NumberOrText(value) << "\n";
    }
  }
}

}  // namespace

ExitCode CheckSheet(const CommandLine& line, std::ostream& out) {
  const SheetReport report = ReadSheet(line);
  std::vector<std::string> risks;
  if (!line.against.empty()) {
    const Configuration before = ReadConfiguration(line.against);
    if (report.configuration) {
      risks = FindRiskyChanges(before, *report.configuration);
    }
  }
  const std::size_t warnings = report.warning_count + risks.size();
  if (line.as_json) {
    PrintJson({{"errors", report.error_count},
               {"warnings", warnings},
               {"findings", FindingsJson(report.findings)},
               {"risks", StringsJson(risks)}},
              out);
  } else {
    for (const Finding& finding : report.findings) {
      out << FindingText(finding) << "\n";
    }
    PrintRisks(risks, out);
    out << report.error_count << " error(s), " << warnings << " warning(s)\n";
  }
  return report.configuration ? ExitCode::kSuccess : ExitCode::kInvalid;
}

ExitCode CompileSheet(const CommandLine& line, std::ostream& out) {
  RequireFlag(line.out, "out");
  if (line.version == 0) {
    throw UsageError("flag --version is missing or 0");
  }
  Configuration configuration = ReadValidSheet(line);
  configuration.version = line.version;
  std::vector<std::string> risks;
  if (HasConfiguration(line.out)) {
    const Configuration before = ReadConfiguration(line.out);
    RequireHigherVersion(before, configuration);
    risks = FindRiskyChanges(before, configuration);
  }
  const auto compiled = Compile(configuration);
  if (!compiled) {
    throw CommandError{ExitCode::kInvalid, compiled.error().message};
  }
  WriteConfiguration(line.out, compiled.value());
  const config::CompiledConfiguration& written = compiled.value();
  if (line.as_json) {
    PrintJson({{"version", line.version},
               {"digest", written.manifest_digest},
               {"manifest_bytes", written.manifest_bytes.size()},
               {"shards", written.shards.size()},
               {"risks", StringsJson(risks)}},
              out);
  } else {
    PrintRisks(risks, out);
    out << "version " << line.version << ", digest " << written.manifest_digest << ", "
        << written.shards.size() << " shard(s)\n";
  }
  return ExitCode::kSuccess;
}

ExitCode DiffSheet(const CommandLine& line, std::ostream& out) {
  RequireFlag(line.against, "against");
  const Configuration after = ReadValidSheet(line);
  const Configuration before = ReadConfiguration(line.against);
  const auto changes = DiffConfigurations(before, after);
  const auto risks = FindRiskyChanges(before, after);
  if (line.as_json) {
    PrintJson({{"against_version", before.version},
               {"changes", ChangesJson(changes)},
               {"risks", StringsJson(risks)}},
              out);
  } else {
    for (const config::ConfigChange& change : changes) {
      out << ChangeText(change) << "\n";
    }
    PrintRisks(risks, out);
    out << changes.size() << " change(s) against version " << before.version << "\n";
  }
  return changes.empty() ? ExitCode::kSuccess : ExitCode::kFound;
}

ExitCode ExplainChat(const CommandLine& line, std::ostream& out) {
  RequireFlag(line.workspace, "workspace");
  RequireFlag(line.chat, "chat");
  const Configuration configuration = ReadValidSheet(line);
  const config::Workspace* workspace = FindWorkspace(configuration, line.workspace);
  if (workspace == nullptr) {
    throw CommandError{ExitCode::kUsage, "the sheet has no workspace \"" + line.workspace + "\""};
  }
  const json::object report{
      {"workspace", WorkspaceJson(*workspace)},
      {"placement", ExplainPlacement(configuration, *workspace, line.chat, line.model)}};
  if (line.as_json) {
    PrintJson(report, out);
  } else {
    PrintTree(report, "", out);
  }
  return ExitCode::kSuccess;
}

}  // namespace geraniumspread::ctl
