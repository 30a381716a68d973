#ifndef EDGE_EDGE_H_
#define EDGE_EDGE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "dispatch/freshness.h"
#include "edge/edge_types.h"

namespace geraniumspread::edge {

namespace detail {
struct EdgeState;
}  // namespace detail

struct EdgeError {
  std::string message;
};

// One instance that takes requests from callers and sends each straight to an
// upstream. It learns what is published from a feed and from its peers.
class Edge {
 public:
  Edge(boost::asio::io_context& io, EdgeSettings settings, PlatformCodec codec);
  Edge(const Edge&) = delete;
  Edge& operator=(const Edge&) = delete;
  ~Edge();

  ResultOf<void, EdgeError> Start();
  // Takes over what may change while running: seeds, bounds and limits.
  void Reload(const EdgeSettings& settings);
  // Reports not ready, serves on, and calls `stopped` when nothing is left to do
  // or the grace period ends.
  void Stop(std::function<void()> stopped);

  // The published feed calls these.
  void OnPublishedChanges(std::vector<dispatch::PublishedItem> changes, std::uint64_t revision);
  void OnPublishedState(std::vector<dispatch::PublishedItem> items, std::uint64_t revision);
  void OnFeedReachable(bool reachable);
  void RecordFeedCall(Duration elapsed, bool answered);
  std::uint64_t PublishedRevision() const;
  // The store answered: the state held all that it had at this moment.
  void OnFeedConfirmed(TimePoint confirmed_at);
  // Whether this instance follows the store, asks it once, or copies from peers.
  dispatch::StoreReading UpdateStoreReadMode();
  const dispatch::FreshnessSettings& FreshnessBounds() const;

 private:
  std::shared_ptr<detail::EdgeState> state;
};

}  // namespace geraniumspread::edge

#endif  // EDGE_EDGE_H_
