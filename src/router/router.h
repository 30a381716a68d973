#ifndef ROUTER_ROUTER_H_
#define ROUTER_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/result.h"
#include "settings/settings_types.h"

namespace geraniumspread::router {

namespace detail {
struct RouterProcess;
}  // namespace detail

struct RouterError {
  std::string message;
};

// One router: servers, control channel, platform clients and the tick that runs
// the state. The only place where the modules are wired together.
class Router {
 public:
  Router(boost::asio::io_context& io, const settings::RouterSettings& settings);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router();

  // Opens all ports and starts the tick.
  ResultOf<void, RouterError> Start();
  // Graceful stop: /readyz answers 503 first, then no new connections are
  // accepted, running requests end, and `stopped` is called.
  void BeginStop(std::function<void()> stopped);

 private:
  std::unique_ptr<detail::RouterProcess> process;
};

}  // namespace geraniumspread::router

#endif  // ROUTER_ROUTER_H_
