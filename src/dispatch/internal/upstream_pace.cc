#include "dispatch/upstream_pace.h"

namespace geraniumspread::dispatch {

double ExpectedPace(const UpstreamPace& /*pace*/, TimePoint /*now*/) {
  return 1;
}

}  // namespace geraniumspread::dispatch
