#ifndef EDGE_INTERNAL_STATUS_PAGE_H_
#define EDGE_INTERNAL_STATUS_PAGE_H_

#include <string>
#include <string_view>

#include "edge/internal/edge_state.h"

// Current state of the instance as JSON for operators. docs/OPERATIONS.md lists the fields.
namespace geraniumspread::edge::detail {

std::string StatusPage(const EdgeState& edge);
// Lists the candidate upstreams, with their costs, for a request to the service without a
// prompt.
std::string ExplainPage(const EdgeState& edge, std::string_view service);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_STATUS_PAGE_H_
