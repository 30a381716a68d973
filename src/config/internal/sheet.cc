#include "config/sheet.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "common/utf8.h"
#include "config/internal/csv_reader.h"
#include "config/internal/sheet_columns.h"
#include "config/internal/sheet_row.h"
#include "config/internal/validation.h"
#include "config/value_text.h"

namespace geraniumspread::config {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view kNameRule =
    "1 to 64 characters of a-z, 0-9, '.', '_' and '-', starting with a letter or digit";
constexpr std::string_view kModelRule =
    "1 to 128 characters of a-z, A-Z, 0-9, '.', '_', '-', '/', '+' and '@'";
constexpr std::string_view kDefaultRole = "generate";
constexpr std::string_view kDefaultRepeatable = "GET /*|HEAD /*";
constexpr std::string_view kNothing = "none";
constexpr std::string_view kEverything = "*";

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
  });
  return lower;
}

// State while the rows of one sheet are read.
struct SheetRun {
  explicit SheetRun(SheetReport& report) : sink(report) {}

  FindingSink sink;
  std::optional<SheetHeader> header;
  bool is_header_valid = true;
  std::size_t row_count = 0;
  RowReader::MissingColumns missing_columns;
  // Row in which each name was first used, by kind.
  std::map<RowKind, std::unordered_map<std::string, std::size_t>> name_rows;
  // For each model name: the first row that allows it, and the number of workspaces.
  std::map<std::string, std::pair<std::size_t, std::size_t>> model_uses;
  Configuration configuration;
};

// --- Header ---

std::string HeaderTitle(std::string_view field) {
  std::string title = Lower(field);
  std::ranges::replace(title, ' ', '_');
  return title;
}

void ReadHeaderField(SheetRun& run, SheetHeader& header, const CsvRow& row, std::size_t position) {
  const std::string title = HeaderTitle(row.fields[position]);
  if (title.empty() || title.starts_with('#')) {
    return;
  }
  const auto* column = std::ranges::find(kColumns, title, &ColumnInfo::name);
  if (column == kColumns.end()) {
    run.sink.Error(row.number, title,
                   "unknown column; start the title with # for a column of notes");
    return;
  }
  auto& known = header.positions[static_cast<std::size_t>(column - kColumns.begin())];
  if (known) {
    run.sink.Error(row.number, title, "the column occurs twice");
  }
  known = position;
}

void ReadHeader(SheetRun& run, const CsvRow& row) {
  SheetHeader header;
  header.field_count = row.fields.size();
  run.is_header_valid = false;
  if (HeaderTitle(row.fields.front()) != InfoOf(ColumnId::kKind).name) {
    run.sink.Error(row.number, "", "the first cell of the header must be \"kind\"");
  } else if (row.fields.size() > kMaxSheetColumns) {
    run.sink.Error(row.number, "", "more than " + std::to_string(kMaxSheetColumns) + " columns");
  } else {
    run.is_header_valid = true;
    for (std::size_t position = 0; position < row.fields.size(); ++position) {
      ReadHeaderField(run, header, row, position);
    }
  }
  run.header = std::move(header);
}

// --- Rows ---

PriorityClass ReadMaxPriority(RowReader& reader) {
  PriorityClass priority = PriorityClass::kSuggestion;
  const std::string text = Lower(reader.Optional(ColumnId::kMaxPriority));
  if (!text.empty() && !ParsePriorityClass(text, priority)) {
    reader.Error(ColumnId::kMaxPriority, "must be suggestion, lookup, draft or batch");
  }
  return priority;
}

void ReadAllowedModels(SheetRun& run, RowReader& reader, Workspace& workspace) {
  const std::string_view text = reader.Required(ColumnId::kAllowedModels);
  if (text == kEverything) {
    workspace.allows_all_models = true;
    return;
  }
  const std::vector<std::string_view> items = RowReader::SplitList(text);
  std::set<std::string> models;
  for (const std::string_view model : items) {
    if (!IsServedModelName(model)) {
      reader.Error(ColumnId::kAllowedModels,
                   "each item must be * alone, or a model name of " + std::string(kModelRule));
    } else if (models.emplace(model).second) {
      auto& [first_row, count] = run.model_uses[std::string(model)];
      first_row = count++ == 0 ? reader.RowNumber() : first_row;
    }
  }
  if (models.size() > kMaxAllowedModels) {
    reader.Error(ColumnId::kAllowedModels,
                 "more than " + std::to_string(kMaxAllowedModels) + " models");
  }
  if (items.empty() && !text.empty()) {
    reader.Error(ColumnId::kAllowedModels, "the list has no item");
  }
  workspace.allowed_models.assign(models.begin(), models.end());
}

void ReadWorkspace(SheetRun& run, RowReader& reader, std::string name) {
  Workspace workspace;
  workspace.name = std::move(name);
  workspace.weight = reader.ValueOr(ColumnId::kWeight, &ParseInteger, kWeightRange, 1U);
  workspace.concurrency_limit =
      reader.Value(ColumnId::kConcurrencyLimit, &ParseInteger, kConcurrencyLimitRange);
  workspace.requests_per_second =
      reader.Value(ColumnId::kRequestsPerSecond, &ParseDecimal, kRequestsPerSecondRange);
  ReadAllowedModels(run, reader, workspace);
  workspace.max_priority = ReadMaxPriority(reader);
  if (reader.Optional(ColumnId::kConcurrencyLimit) == "0" ||
      reader.Optional(ColumnId::kRequestsPerSecond) == "0") {
    reader.Warn(ColumnId::kName, "a limit of 0 suspends the workspace");
  }
  run.configuration.workspaces.push_back(std::move(workspace));
}

void ReadPool(SheetRun& run, RowReader& reader, std::string name) {
  ModelPool pool;
  pool.name = std::move(name);
  pool.model = reader.Text(ColumnId::kModel, &IsModelName, kModelRule);
  pool.adapter = reader.Optional(ColumnId::kAdapter);
  if (!pool.adapter.empty() && !IsModelName(pool.adapter)) {
    reader.Error(ColumnId::kAdapter, "must be " + std::string(kModelRule));
  }
  pool.version = reader.Text(ColumnId::kVersion, &IsModelName, kModelRule);
  pool.role = reader.Optional(ColumnId::kRole);
  if (pool.role.empty()) {
    pool.role = kDefaultRole;
  } else if (!IsName(pool.role)) {
    reader.Error(ColumnId::kRole, "must be " + std::string(kNameRule));
  }
  pool.load_multiple = reader.ValueOr(ColumnId::kLoadMultiple, &ParseDecimal, kLoadMultipleRange,
                                      pool.load_multiple);
  pool.cold_limit = reader.Value(ColumnId::kColdLimit, &ParseInteger, kColdLimitRange);
  pool.capacity = reader.Value(ColumnId::kCapacity, &ParseInteger, kCapacityRange);
  if (pool.capacity != 0 && pool.cold_limit > pool.capacity) {
    reader.Error(ColumnId::kColdLimit, "must not be larger than capacity");
  }
  run.configuration.pools.push_back(std::move(pool));
}

std::vector<RepeatableRule> ReadRepeatable(RowReader& reader) {
  std::string_view text = reader.Optional(ColumnId::kRepeatable);
  if (Lower(text) == kNothing) {
    return {};
  }
  std::set<RepeatableRule> rules;
  for (const std::string_view item :
       RowReader::SplitList(text.empty() ? kDefaultRepeatable : text)) {
    const ConfigResult<RepeatableRule> rule = ParseRepeatableRule(item);
    if (!rule) {
      reader.Error(ColumnId::kRepeatable, rule.error().message);
      continue;
    }
    if (rule.value().method != "GET" && rule.value().method != "HEAD") {
      reader.Warn(ColumnId::kRepeatable, "\"" + std::string(item) +
                                             "\" may run more than once; check that the service "
                                             "allows this");
    }
    rules.insert(rule.value());
  }
  if (rules.size() > kMaxRepeatableRules) {
    reader.Error(ColumnId::kRepeatable,
                 "more than " + std::to_string(kMaxRepeatableRules) + " rules");
  }
  return {rules.begin(), rules.end()};
}

void ReadService(SheetRun& run, RowReader& reader, std::string name) {
  Service service;
  service.name = std::move(name);
  service.repeatable = ReadRepeatable(reader);
  service.timeout = reader.Value(ColumnId::kTimeout, &ParseDuration, kServiceTimeoutRange);
  service.concurrency_per_upstream =
      reader.Value(ColumnId::kConcurrencyPerUpstream, &ParseInteger, kConcurrencyPerUpstreamRange);
  run.configuration.services.push_back(std::move(service));
}

void ReadFailureDomain(SheetRun& run, RowReader& reader, std::string name) {
  FailureDomain domain;
  domain.name = std::move(name);
  domain.region = reader.Text(ColumnId::kRegion, &IsName, kNameRule);
  const std::string state = Lower(reader.Required(ColumnId::kState));
  domain.in_service = state == "in";
  if (!state.empty() && state != "in" && state != "out") {
    reader.Error(ColumnId::kState, "must be in or out");
  }
  run.configuration.failure_domains.push_back(std::move(domain));
}

milliseconds ReadDuration(RowReader& reader, ValueRange<milliseconds> range) {
  return reader.Value(ColumnId::kValue, &ParseDuration, range);
}

std::uint32_t ReadCount(RowReader& reader, ValueRange<std::uint32_t> range) {
  return reader.Value(ColumnId::kValue, &ParseInteger, range);
}

// Reads a percentage, with or without the percent sign that spreadsheets add.
std::uint32_t ReadPercent(RowReader& reader, ValueRange<std::uint32_t> range) {
  const auto parse = [](std::string_view text, ValueRange<std::uint32_t> allowed) {
    return ParseInteger(text.ends_with('%') ? Trim(text.substr(0, text.size() - 1)) : text,
                        allowed);
  };
  return reader.Value(ColumnId::kValue, parse, range);
}

void ReadSetting(SheetRun& run, RowReader& reader, const std::string& name) {
  FleetSettings& settings = run.configuration.settings;
  if (name == "lease_term") {
    settings.lease_term = ReadDuration(reader, kLeaseTermRange);
  } else if (name == "return_ramp") {
    settings.return_ramp = ReadDuration(reader, kReturnRampRange);
  } else if (name == "retry_budget_percent") {
    settings.retry_budget_percent = ReadPercent(reader, kRetryBudgetRange);
  } else if (name == "quarantine_deaths") {
    settings.quarantine_deaths = ReadCount(reader, kQuarantineDeathsRange);
  } else if (name == "quarantine_time") {
    settings.quarantine_time = ReadDuration(reader, kQuarantineTimeRange);
  } else if (name == "ticket_expiry") {
    settings.ticket_expiry = ReadDuration(reader, kTicketExpiryRange);
  } else if (name == "stop_deadline") {
    settings.stop_deadline = ReadDuration(reader, kStopDeadlineRange);
  } else if (!name.empty()) {
    reader.Error(ColumnId::kName,
                 "unknown setting; known are lease_term, return_ramp, retry_budget_percent, "
                 "quarantine_deaths, quarantine_time, ticket_expiry and stop_deadline");
  }
}

void CheckUnique(SheetRun& run, RowReader& reader, RowKind kind, const std::string& name) {
  if (name.empty()) {
    return;
  }
  if (const auto [entry, is_new] = run.name_rows[kind].emplace(name, reader.RowNumber()); !is_new) {
    reader.Error(ColumnId::kName, "\"" + name.substr(0, kMaxNameLength) +
                                      "\" already stands in row " + std::to_string(entry->second));
  }
}

void ReadEntry(SheetRun& run, const SheetHeader& header, const CsvRow& row, RowKind kind) {
  RowReader reader(row, header, kind, run.missing_columns, run.sink);
  std::string name = reader.Text(ColumnId::kName, &IsName, kNameRule);
  CheckUnique(run, reader, kind, name);
  switch (kind) {
    case RowKind::kWorkspace:
      ReadWorkspace(run, reader, std::move(name));
      break;
    case RowKind::kPool:
      ReadPool(run, reader, std::move(name));
      break;
    case RowKind::kService:
      ReadService(run, reader, std::move(name));
      break;
    case RowKind::kFailureDomain:
      ReadFailureDomain(run, reader, std::move(name));
      break;
    case RowKind::kSetting:
      ReadSetting(run, reader, name);
      break;
  }
  reader.CheckUnusedCells();
}

std::string ColumnTitle(const SheetRun& run, std::size_t position) {
  if (run.header) {
    for (std::size_t index = 0; index < kColumnCount; ++index) {
      if (run.header->positions[index] == position) {
        return std::string(kColumns[index].name);
      }
    }
  }
  return "cell " + std::to_string(position + 1);
}

// Returns false if the row can't be read. Control characters are an error because they
// would otherwise reach log lines and terminals.
bool CheckText(SheetRun& run, const CsvRow& row) {
  const auto is_control = [](char character) {
    return static_cast<unsigned char>(character) < ' ' && character != '\n' && character != '\r' &&
           character != '\t';
  };
  bool is_valid = true;
  for (std::size_t position = 0; position < row.fields.size(); ++position) {
    const std::string& field = row.fields[position];
    std::string_view reason;
    if (field.size() > kMaxFieldBytes) {
      reason = "the cell is longer than 8 KiB";
    } else if (!IsUtf8(field)) {
      reason = "the cell is not UTF-8; export the sheet as UTF-8";
    } else if (std::ranges::any_of(field, is_control)) {
      reason = "the cell has a control character";
    }
    if (!reason.empty()) {
      run.sink.Error(row.number, ColumnTitle(run, position), std::string(reason));
      is_valid = false;
    }
  }
  return is_valid;
}

void ReadRow(SheetRun& run, const CsvRow& row) {
  ++run.row_count;
  if (run.row_count > kMaxSheetRows || !run.is_header_valid) {
    return;
  }
  if (!CheckText(run, row)) {
    run.is_header_valid = run.header.has_value();
    return;
  }
  if (!run.header) {
    ReadHeader(run, row);
    return;
  }
  const std::string kind_text = Lower(row.fields.front());
  const auto* kind = std::ranges::find(kRowKinds, kind_text, &RowKindName::name);
  if (kind == kRowKinds.end()) {
    run.sink.Error(row.number, InfoOf(ColumnId::kKind).name,
                   "must be workspace, pool, service, failure_domain or setting");
    return;
  }
  ReadEntry(run, *run.header, row, kind->kind);
}

// --- Checks over the whole sheet ---

template <typename Entry>
void SortByName(std::vector<Entry>& entries) {
  std::ranges::stable_sort(entries, {}, &Entry::name);
}

void CheckCount(SheetRun& run, std::string_view kind, std::size_t count, std::size_t limit) {
  if (count > limit) {
    run.sink.Error(0, "",
                   std::to_string(count) + " rows of kind " + std::string(kind) +
                       " are more than the limit of " + std::to_string(limit));
  }
}

void CheckCounts(SheetRun& run) {
  const Configuration& configuration = run.configuration;
  CheckCount(run, "workspace", configuration.workspaces.size(), kMaxWorkspaces);
  CheckCount(run, "pool", configuration.pools.size(), kMaxPools);
  CheckCount(run, "service", configuration.services.size(), kMaxServices);
  CheckCount(run, "failure_domain", configuration.failure_domains.size(), kMaxFailureDomains);
  if (run.row_count > kMaxSheetRows) {
    run.sink.Error(0, "", "more than " + std::to_string(kMaxSheetRows) + " rows");
  }
}

std::size_t RowOf(const SheetRun& run, RowKind kind, const std::string& name) {
  const auto rows = run.name_rows.find(kind);
  if (rows == run.name_rows.end()) {
    return 0;
  }
  const auto row = rows->second.find(name);
  return row == rows->second.end() ? 0 : row->second;
}

void CheckPoolConflicts(SheetRun& run) {
  std::map<std::pair<std::string, std::string>, std::string> served;
  for (const ModelPool& pool : run.configuration.pools) {
    const auto [entry, is_new] = served.try_emplace({ServedModelName(pool), pool.role}, pool.name);
    if (!is_new && !pool.model.empty() && entry->second != pool.name) {
      run.sink.Error(RowOf(run, RowKind::kPool, pool.name), "model",
                     "pool \"" + entry->second + "\" has the same model, adapter and role");
    }
  }
  for (const Service& service : run.configuration.services) {
    if (RowOf(run, RowKind::kPool, service.name) != 0) {
      run.sink.Error(RowOf(run, RowKind::kService, service.name), "name",
                     "a pool has the same name");
    }
  }
}

bool IsServed(const Configuration& configuration, std::string_view model) {
  return std::ranges::any_of(configuration.pools, [model](const ModelPool& pool) {
    return pool.model == model || ServedModelName(pool) == model;
  });
}

void WarnOfUnservedModels(SheetRun& run) {
  for (const auto& [model, use] : run.model_uses) {
    if (!IsServed(run.configuration, model)) {
      run.sink.Warn(use.first, "allowed_models",
                    "no pool serves \"" + model + "\", which " + std::to_string(use.second) +
                        " workspace(s) allow");
    }
  }
}

void WarnOfRegionsWithoutDomain(SheetRun& run) {
  std::map<std::string_view, bool> region_in_service;
  for (const FailureDomain& domain : run.configuration.failure_domains) {
    region_in_service[domain.region] |= domain.in_service;
  }
  for (const auto& [region, in_service] : region_in_service) {
    if (!in_service) {
      run.sink.Warn(0, "state",
                    "no failure domain of region \"" + std::string(region) + "\" is in service");
    }
  }
}

// Checks the sheet as a whole. The last check is the same as on the routers, so they
// can't reject a sheet without errors.
void FinishSheet(SheetRun& run, SheetReport& report) {
  Configuration& configuration = run.configuration;
  // Must come before the sort, so that of two conflicting pools the later row gets the
  // error.
  CheckPoolConflicts(run);
  SortByName(configuration.failure_domains);
  SortByName(configuration.pools);
  SortByName(configuration.services);
  SortByName(configuration.workspaces);
  CheckCounts(run);
  WarnOfUnservedModels(run);
  WarnOfRegionsWithoutDomain(run);
  if (report.error_count == 0) {
    configuration.version = 1;
    if (const auto valid = ValidateConfiguration(configuration); !valid) {
      run.sink.Error(0, "", valid.error().message);
    }
    configuration.version = 0;
  }
  if (report.error_count == 0) {
    report.configuration = std::move(configuration);
  }
  std::ranges::stable_sort(report.findings, {}, &Finding::row);
}

// Consumes Excel's optional first line "sep=;", which defines the separator and isn't a
// row.
std::optional<char> ConsumeSeparatorLine(std::string_view& text) {
  constexpr std::string_view kMarker = "sep=";
  if (!text.starts_with(kMarker) || text.size() <= kMarker.size()) {
    return std::nullopt;
  }
  const char separator = text[kMarker.size()];
  const std::size_t end = text.find('\n');
  text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  return separator;
}

// Returns the reason why the bytes can't be a sheet, or an empty text.
std::string_view FindUnreadable(std::string_view bytes) {
  if (bytes.size() > kMaxSheetBytes) {
    return "the sheet is larger than 16 MiB";
  }
  if (bytes.starts_with("\xff\xfe") || bytes.starts_with("\xfe\xff")) {
    return "the sheet is UTF-16; export it as UTF-8";
  }
  if (bytes.starts_with("PK\x03\x04")) {
    return "the sheet is a workbook file; export it as CSV";
  }
  return {};
}

}  // namespace

SheetReport ParseSheet(std::string_view bytes) {
  SheetReport report;
  SheetRun run(report);
  if (const std::string_view reason = FindUnreadable(bytes); !reason.empty()) {
    run.sink.Error(0, "", std::string(reason));
    return report;
  }
  if (bytes.starts_with(kByteOrderMark)) {
    bytes.remove_prefix(kByteOrderMark.size());
  }
  const std::optional<char> named_separator = ConsumeSeparatorLine(bytes);
  const char separator = named_separator.value_or(DetectSeparator(bytes));
  const auto csv_error =
      ReadCsv(bytes, separator, [&run](const CsvRow& row) { ReadRow(run, row); });
  if (csv_error) {
    run.sink.Error(csv_error->row, ColumnTitle(run, csv_error->field), csv_error->reason);
  }
  if (!run.header && !csv_error) {
    run.sink.Error(0, "", "the sheet has no rows");
  }
  FinishSheet(run, report);
  return report;
}

std::string_view ToString(FindingSeverity severity) {
  return severity == FindingSeverity::kError ? "error" : "warning";
}

}  // namespace geraniumspread::config
