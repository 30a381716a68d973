#ifndef STANDIN_STANDIN_HOST_H_
#define STANDIN_STANDIN_HOST_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "standin/platform_settings.h"

namespace geraniumspread::standin {

namespace detail {
class HostState;
}  // namespace detail

// Runs every stand-in of a settings file on one event loop.
class StandinHost {
 public:
  StandinHost(const boost::asio::any_io_executor& executor, PlatformSettings settings);
  StandinHost(const StandinHost&) = delete;
  StandinHost& operator=(const StandinHost&) = delete;
  ~StandinHost();

  // Opens all ports. Returns the reason when one can't be opened.
  std::optional<std::string> Start();
  // Closes all ports and connections.
  void Stop();

 private:
  std::shared_ptr<detail::HostState> state;
};

}  // namespace geraniumspread::standin

#endif  // STANDIN_STANDIN_HOST_H_
