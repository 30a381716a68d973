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
  // A port is in use; a later start may succeed.
  bool is_port_in_use = false;
};

// One HTTP router instance. Sends each caller's request directly to an upstream.
// Receives published state (configuration, upstreams) from the platform's store and
// from peer instances.
class Edge {
 public:
  Edge(boost::asio::io_context& io, EdgeSettings settings, PlatformCodec codec);
  Edge(const Edge&) = delete;
  Edge& operator=(const Edge&) = delete;
  ~Edge();

  // Opens all ports. After an error none is open, and Start may be called again.
  ResultOf<void, EdgeError> Start();
  // Applies the settings that can change at run time: seed addresses, selection, retry
  // budget, freshness, the minimum store outage and the grace period.
  void Reload(const EdgeSettings& settings);
  // Starts a graceful stop: reports not ready, keeps serving, and calls `stopped` once all
  // connections are closed or shortly before the grace period ends.
  void Stop(std::function<void()> stopped);

  // Called by the client that reads the platform's store.
  void OnPublishedChanges(std::vector<dispatch::PublishedItem> changes,
                          dispatch::StorePosition position);
  void OnPublishedState(std::vector<dispatch::PublishedItem> items,
                        dispatch::StorePosition position);
  void OnFeedReachable(bool reachable);
  void RecordFeedCall(Duration elapsed, bool answered);
  dispatch::StorePosition PublishedPosition() const;
  // Records that the published state held everything that the store held at `confirmed_at`.
  void OnFeedConfirmed(TimePoint confirmed_at);
  // Decides whether this instance watches the store, queries it once, or relies on its peers,
  // and logs a change.
  dispatch::StoreReadMode UpdateStoreReadMode();
  const dispatch::FreshnessSettings& FreshnessBounds() const;

 private:
  std::shared_ptr<detail::EdgeState> state;
};

}  // namespace geraniumspread::edge

#endif  // EDGE_EDGE_H_
