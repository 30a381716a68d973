#include "router/internal/lease_messages.h"

#include <charconv>
#include <chrono>
#include <string>
#include <vector>

namespace geraniumspread::router::detail {
namespace {

constexpr int kHexBase = 16;

template <typename Key>
std::vector<std::string> ToHexList(const std::vector<Key>& keys) {
  std::vector<std::string> texts;
  texts.reserve(keys.size());
  for (const Key key : keys) {
    texts.push_back(ToHex(static_cast<std::uint64_t>(key)));
  }
  return texts;
}

template <typename Key>
std::vector<Key> FromHexList(const std::vector<std::string>& texts) {
  std::vector<Key> keys;
  keys.reserve(texts.size());
  for (const std::string& text : texts) {
    keys.push_back(static_cast<Key>(FromHex(text)));
  }
  return keys;
}

}  // namespace

std::string ToHex(std::uint64_t value) {
  char text[2 * sizeof(value)];
  const auto [end, error] = std::to_chars(std::begin(text), std::end(text), value, kHexBase);
  return {std::begin(text), end};
}

std::uint64_t FromHex(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, kHexBase);
  return value;
}

fleet::LeaseRequest ToWire(const ownership::LeaseRequest& request) {
  return {.request_number = request.number,
          .member_count = request.member_count,
          .upstreams = ToHexList(request.upstreams),
          .acknowledged = request.acknowledged,
          .reserve_divisor = request.reserve_divisor,
          .reserve_in_use = request.reserve_in_use,
          .views = ToHexList(request.views)};
}

fleet::LeaseReply ToWire(const ownership::LeaseReply& reply) {
  fleet::LeaseReply wire{
      .request_number = reply.number,
      .granted = ToHexList(reply.granted),
      .refused = ToHexList(reply.refused),
      .owner_incarnation = reply.incarnation,
      .view = reply.view,
      .accounted_for = std::chrono::floor<std::chrono::milliseconds>(reply.no_reserve_for),
      .records_complete = reply.records_complete};
  for (const ownership::ReserveInfo& info : reply.reserve_users) {
    wire.silent.push_back({ToHex(static_cast<std::uint64_t>(info.router)), info.divisor});
  }
  for (const auto& view : reply.missing_views) {
    wire.missing_views.push_back(ToHexList(view));
  }
  return wire;
}

fleet::LeaseRelease ToWire(const ownership::LeaseRelease& release) {
  return {.request_number = release.number,
          .upstreams = ToHexList(release.upstreams),
          .leaving = release.leaving};
}

ownership::LeaseRequest FromWire(const fleet::LeaseRequest& request, std::uint64_t incarnation) {
  ownership::LeaseRequest message;
  message.incarnation = incarnation;
  message.number = request.request_number;
  message.acknowledged = request.acknowledged;
  message.member_count = request.member_count;
  message.reserve_divisor = request.reserve_divisor;
  message.reserve_in_use = request.reserve_in_use;
  message.views = FromHexList<std::uint64_t>(request.views);
  message.upstreams = FromHexList<ownership::UpstreamKey>(request.upstreams);
  return message;
}

ownership::LeaseReply FromWire(const fleet::LeaseReply& reply) {
  ownership::LeaseReply message;
  message.incarnation = reply.owner_incarnation;
  message.number = reply.request_number;
  message.view = reply.view;
  message.granted = FromHexList<ownership::UpstreamKey>(reply.granted);
  message.refused = FromHexList<ownership::UpstreamKey>(reply.refused);
  message.no_reserve_for = reply.accounted_for;
  message.records_complete = reply.records_complete;
  for (const fleet::SilentMember& member : reply.silent) {
    message.reserve_users.push_back(
        {static_cast<ownership::RouterKey>(FromHex(member.router)), member.divisor});
  }
  for (const auto& view : reply.missing_views) {
    message.missing_views.push_back(FromHexList<ownership::RouterKey>(view));
  }
  return message;
}

ownership::LeaseRelease FromWire(const fleet::LeaseRelease& release, std::uint64_t incarnation) {
  ownership::LeaseRelease message;
  message.incarnation = incarnation;
  message.number = release.request_number;
  message.leaving = release.leaving;
  message.upstreams = FromHexList<ownership::UpstreamKey>(release.upstreams);
  return message;
}

}  // namespace geraniumspread::router::detail
