#include "load/standin_stats.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

namespace geraniumspread::load {
namespace {

namespace json = boost::json;

template <typename Number>
void ReadNumber(const json::object& object, std::string_view name, Number& value) {
  json::error_code error;
  if (const json::value* member = object.if_contains(name); member != nullptr) {
    if (const auto number = member->to_number<Number>(error); !error) {
      value = number;
    }
  }
}

void AddCounts(const json::object& unit, std::string_view name, std::map<std::string, int>& sums) {
  const json::value* member = unit.if_contains(name);
  const json::object* counts = member != nullptr ? member->if_object() : nullptr;
  if (counts == nullptr) {
    return;
  }
  for (const auto& [key, count] : *counts) {
    sums[std::string(key)] += count.is_int64() ? static_cast<int>(count.get_int64()) : 0;
  }
}

EngineCounts ReadEngine(const json::object& unit) {
  EngineCounts engine;
  engine.id = unit.at("id").as_string();
  ReadNumber(unit, "requests", engine.requests);
  ReadNumber(unit, "prompt_tokens", engine.prompt_tokens);
  ReadNumber(unit, "cached_tokens", engine.cached_tokens);
  ReadNumber(unit, "cold_crashes", engine.cold_crashes);
  ReadNumber(unit, "crashes", engine.crashes);
  ReadNumber(unit, "peak_running", engine.peak_running);
  ReadNumber(unit, "peak_running_cold", engine.peak_running_cold);
  ReadNumber(unit, "peak_cold_overshoot", engine.peak_cold_overshoot);
  return engine;
}

}  // namespace

std::optional<StandinCounts> ParseStandinCounts(std::string_view json_text) {
  json::error_code error;
  const json::value value = json::parse(json_text, error);
  const json::object* root = error ? nullptr : value.if_object();
  const json::value* units = root != nullptr ? root->if_contains("units") : nullptr;
  if (units == nullptr || !units->is_array()) {
    return std::nullopt;
  }
  StandinCounts counts;
  for (const json::value& entry : units->get_array()) {
    const json::object* unit = entry.if_object();
    if (unit == nullptr || !unit->contains("id") || !unit->contains("kind")) {
      return std::nullopt;
    }
    if (unit->at("kind") == "model_engine") {
      counts.engines.push_back(ReadEngine(*unit));
    }
    AddCounts(*unit, "runs_by_key", counts.runs_by_key);
    AddCounts(*unit, "runs_by_request_id", counts.runs_by_request_id);
  }
  return counts;
}

double RequestSkew(const StandinCounts& before, const StandinCounts& after) {
  double largest = 0;
  double sum = 0;
  for (const EngineCounts& engine : after.engines) {
    const auto earlier = std::ranges::find(before.engines, engine.id, &EngineCounts::id);
    const std::uint64_t base = earlier == before.engines.end() ? 0 : earlier->requests;
    const auto requests = static_cast<double>(engine.requests - base);
    largest = std::max(largest, requests);
    sum += requests;
  }
  return sum == 0 ? 0 : largest * static_cast<double>(after.engines.size()) / sum;
}

std::optional<double> SumOfMetric(std::string_view metrics_text, std::string_view name) {
  std::optional<double> sum;
  while (!metrics_text.empty()) {
    const std::string_view line = metrics_text.substr(0, metrics_text.find('\n'));
    metrics_text.remove_prefix(std::min(metrics_text.size(), line.size() + 1));
    if (!line.starts_with(name) || line.size() == name.size() ||
        (line[name.size()] != '{' && line[name.size()] != ' ')) {
      continue;
    }
    const std::size_t labels_end = line[name.size()] == '{' ? line.rfind('}') : name.size() - 1;
    const std::size_t begin = line.find_first_not_of(' ', labels_end + 1);
    if (begin == std::string_view::npos) {
      continue;
    }
    double value = 0;
    const char* first = line.data() + begin;
    if (std::from_chars(first, line.data() + line.size(), value).ec == std::errc()) {
      sum = sum.value_or(0) + value;
    }
  }
  return sum;
}

}  // namespace geraniumspread::load
