#ifndef GERANIUM_CTL_HTTP_GET_H_
#define GERANIUM_CTL_HTTP_GET_H_

#include <chrono>
#include <string>
#include <string_view>

namespace geraniumspread::ctl {

struct HttpAnswer {
  std::string body;
  std::string error;  // empty when the answer has status 200
};

// Sends one GET to "HOST:PORT" (an IPv6 address in brackets) and waits for the
// answer. `timeout` limits the whole exchange. Failures are put into `error`.
HttpAnswer HttpGet(std::string_view authority,
                   std::string_view target,
                   std::chrono::milliseconds timeout);

// Whether the text is "HOST:PORT" with a port from 1 to 65535.
bool IsAuthority(std::string_view text);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_HTTP_GET_H_
