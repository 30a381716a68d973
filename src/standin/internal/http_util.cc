#include "standin/internal/http_util.h"

#include <boost/json/serialize.hpp>

#include "transport/error_response.h"

namespace geraniumspread::standin::detail {
namespace {

constexpr Duration kLongWait = std::chrono::hours(24);

int HexDigit(char character) {
  if (character >= '0' && character <= '9') {
    return character - '0';
  }
  const char lower = static_cast<char>(character | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      const int high = HexDigit(text[index + 1]);
      const int low = HexDigit(text[index + 2]);
      if (high >= 0 && low >= 0) {
        decoded += static_cast<char>(high * 16 + low);
        index += 2;
        continue;
      }
    }
    decoded += text[index];
  }
  return decoded;
}

}  // namespace

boost::asio::awaitable<void> Signal::Wait(TimePoint deadline) {
  this->timer.expires_at(deadline);
  co_await this->timer.async_wait(kAwaitTuple);
}

boost::asio::awaitable<void> Signal::Wait() {
  return this->Wait(RuntimeClock::now() + kLongWait);
}

ParsedTarget ParseTarget(std::string_view target) {
  ParsedTarget parsed;
  const std::size_t question = target.find('?');
  parsed.path = PercentDecode(target.substr(0, question));
  if (question == std::string_view::npos) {
    return parsed;
  }
  std::string_view rest = target.substr(question + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value = pair.substr(std::min(pair.size(), equals + 1));
    parsed.query[PercentDecode(pair.substr(0, equals))] = PercentDecode(value);
  }
  return parsed;
}

std::optional<std::uint64_t> QueryNumber(const ParsedTarget& target, const std::string& name) {
  const auto found = target.query.find(name);
  return found == target.query.end() ? std::nullopt : ParseNumber<std::uint64_t>(found->second);
}

transport::HttpResponse JsonResponse(const boost::json::value& body, int status) {
  transport::HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = boost::json::serialize(body);
  return response;
}

transport::HttpResponse RefusalResponse(int status,
                                        std::string_view code,
                                        std::string_view message,
                                        std::string_view request_id) {
  constexpr int kTooManyRequests = 429;
  constexpr int kServerErrors = 500;
  transport::ErrorDescription error;
  error.status = status;
  error.code = code;
  error.message = message;
  error.ran = RunState::kNotRun;
  error.retry = status == kTooManyRequests || status >= kServerErrors;
  error.retry_after = std::chrono::seconds(1);
  error.request_id = request_id;
  return transport::MakeErrorResponse(error);
}

}  // namespace geraniumspread::standin::detail
