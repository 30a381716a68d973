#ifndef CONFIG_INTERNAL_SHEET_COLUMNS_H_
#define CONFIG_INTERNAL_SHEET_COLUMNS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace geraniumspread::config {

enum class RowKind : std::uint8_t { kWorkspace, kPool, kService, kFailureDomain, kSetting };

struct RowKindName {
  RowKind kind;
  std::string_view name;
};

inline constexpr std::array<RowKindName, 5> kRowKinds{{
    {RowKind::kWorkspace, "workspace"},
    {RowKind::kPool, "pool"},
    {RowKind::kService, "service"},
    {RowKind::kFailureDomain, "failure_domain"},
    {RowKind::kSetting, "setting"},
}};

enum class ColumnId : std::uint8_t {
  kKind,
  kName,
  kWeight,
  kConcurrencyLimit,
  kRequestsPerSecond,
  kAllowedModels,
  kMaxPriority,
  kModel,
  kAdapter,
  kVersion,
  kRole,
  kLoadMultiple,
  kColdLimit,
  kCapacity,
  kRepeatable,
  kTimeout,
  kConcurrencyPerUpstream,
  kRegion,
  kState,
  kValue,
  kComment,
};
inline constexpr std::size_t kColumnCount = 21;

struct ColumnInfo {
  std::string_view name;
  std::optional<RowKind> kind;  // nullopt: every kind
};

// By ColumnId.
inline constexpr std::array<ColumnInfo, kColumnCount> kColumns{{
    {"kind", std::nullopt},
    {"name", std::nullopt},
    {"weight", RowKind::kWorkspace},
    {"concurrency_limit", RowKind::kWorkspace},
    {"requests_per_second", RowKind::kWorkspace},
    {"allowed_models", RowKind::kWorkspace},
    {"max_priority", RowKind::kWorkspace},
    {"model", RowKind::kPool},
    {"adapter", RowKind::kPool},
    {"version", RowKind::kPool},
    {"role", RowKind::kPool},
    {"load_multiple", RowKind::kPool},
    {"cold_limit", RowKind::kPool},
    {"capacity", RowKind::kPool},
    {"repeatable", RowKind::kService},
    {"timeout", RowKind::kService},
    {"concurrency_per_upstream", RowKind::kService},
    {"region", RowKind::kFailureDomain},
    {"state", RowKind::kFailureDomain},
    {"value", RowKind::kSetting},
    {"comment", std::nullopt},
}};

constexpr const ColumnInfo& InfoOf(ColumnId column) {
  return kColumns[static_cast<std::size_t>(column)];
}

}  // namespace geraniumspread::config

#endif  // CONFIG_INTERNAL_SHEET_COLUMNS_H_
