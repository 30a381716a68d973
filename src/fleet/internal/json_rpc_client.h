#ifndef FLEET_INTERNAL_JSON_RPC_CLIENT_H_
#define FLEET_INTERNAL_JSON_RPC_CLIENT_H_

#include <json/json.h>

#include <string>

namespace geraniumspread {
namespace fleet {
namespace detail {

// Text of the JSON-RPC 2.0 notification `method` with named parameters.
std::string BuildNotification(const std::string& method, const Json::Value& parameters);

}  // namespace detail
}  // namespace fleet
}  // namespace geraniumspread

#endif  // FLEET_INTERNAL_JSON_RPC_CLIENT_H_
