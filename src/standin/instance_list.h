#ifndef STANDIN_INSTANCE_LIST_H_
#define STANDIN_INSTANCE_LIST_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"

namespace geraniumspread::standin {

// One entry of the platform's list, with the names of the wire form.
struct ListedInstance {
  std::string id;
  std::string_view kind;  // "router", "model_engine" or "plain_service"
  std::string pool;
  std::string failure_domain;
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;
  std::uint64_t incarnation = 0;
  bool leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

// The platform's list as readers see it: late by `lag`.
struct InstanceList {
  struct Snapshot {
    TimePoint published_at;
    std::string json;
  };

  Duration lag{0};
  std::uint64_t revision = 0;
  std::vector<ListedInstance> current;
  std::deque<Snapshot> snapshots;
};

// Records a new list when it differs from the current one.
void PublishInstances(InstanceList& list, std::vector<ListedInstance> instances, TimePoint now);

// The JSON list as it was `lag` ago, or the first one published.
std::string ServeInstances(const InstanceList& list, TimePoint now);

}  // namespace geraniumspread::standin

#endif  // STANDIN_INSTANCE_LIST_H_
