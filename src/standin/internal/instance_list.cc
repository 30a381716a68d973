#include "standin/instance_list.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iterator>

namespace geraniumspread::standin {
namespace {

boost::json::object ToJson(const ListedInstance& instance) {
  boost::json::object json;
  json["id"] = instance.id;
  json["kind"] = instance.kind;
  json["pool"] = instance.pool;
  json["failure_domain"] = instance.failure_domain;
  json["address"] = instance.address;
  json["port"] = instance.port;
  json["peer_port"] = instance.peer_port;
  json["control_port"] = instance.control_port;
  json["incarnation"] = instance.incarnation;
  json["state"] = instance.leaving ? "leaving" : "live";
  return json;
}

}  // namespace

void PublishInstances(InstanceList& list, std::vector<ListedInstance> instances, TimePoint now) {
  if (list.revision > 0 && instances == list.current) {
    return;
  }
  boost::json::array entries;
  for (const ListedInstance& instance : instances) {
    entries.push_back(ToJson(instance));
  }
  list.current = std::move(instances);
  boost::json::object json;
  json["revision"] = ++list.revision;
  json["instances"] = std::move(entries);
  list.snapshots.push_back({now, boost::json::serialize(json)});
  while (list.snapshots.size() > 1 && list.snapshots[1].published_at <= now - list.lag) {
    list.snapshots.pop_front();
  }
}

std::string ServeInstances(const InstanceList& list, TimePoint now) {
  if (list.snapshots.empty()) {
    return R"({"revision":0,"instances":[]})";
  }
  const auto newer =
      std::ranges::find_if(list.snapshots, [&](const InstanceList::Snapshot& snapshot) {
        return snapshot.published_at > now - list.lag;
      });
  return newer == list.snapshots.begin() ? newer->json : std::prev(newer)->json;
}

}  // namespace geraniumspread::standin
