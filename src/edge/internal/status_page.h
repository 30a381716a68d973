#ifndef EDGE_INTERNAL_STATUS_PAGE_H_
#define EDGE_INTERNAL_STATUS_PAGE_H_

#include <string>
#include <string_view>

#include "edge/internal/edge_state.h"

// What the instance believes now, as JSON for operators. docs/OPERATIONS.md lists the fields.
namespace geraniumspread::edge::detail {

std::string StatusPage(const EdgeState& edge);
// Where a request of the service with no prompt would go, and what each upstream would cost.
std::string ExplainPage(const EdgeState& edge, std::string_view service);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_STATUS_PAGE_H_
