#include "engines/cache_events.h"

#include <boost/json.hpp>
#include <string>

#include "engines/internal/json_fields.h"

namespace geraniumspread::engines {
namespace {

namespace json = boost::json;

EnginesError InvalidEvents(const std::string& reason) {
  return {EnginesErrorCode::kInvalidField, "events: " + reason};
}

Result<CacheEvent> ParseEvent(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return InvalidEvents("an entry is not an object");
  }
  detail::FieldReader reader(*object);
  CacheEvent event;
  event.sequence = reader.RequiredUnsigned("sequence");
  event.chat = reader.RequiredText("chat");
  const std::string kind = reader.RequiredText("kind");
  if (!reader.error && kind != "stored" && kind != "evicted") {
    reader.Fail("kind", "neither stored nor evicted");
  }
  if (reader.error) {
    return std::move(*reader.error);
  }
  event.kind = kind == "stored" ? CacheEventKind::kStored : CacheEventKind::kEvicted;
  return event;
}

}  // namespace

Result<CacheEventBatch> ParseCacheEvents(std::string_view body) {
  const auto object = detail::ParseObject(body, kMaxCacheEventBytes);
  if (!object) {
    return object.error();
  }
  detail::FieldReader reader(object.value());
  CacheEventBatch batch;
  batch.incarnation = reader.RequiredUnsigned("incarnation");
  batch.first_sequence = reader.RequiredUnsigned("first_sequence");
  if (reader.error) {
    return std::move(*reader.error);
  }
  const json::value* events = object.value().if_contains("events");
  if (events == nullptr || !events->is_array()) {
    return InvalidEvents("missing or not a list");
  }
  if (events->get_array().size() > kMaxCacheEvents) {
    return EnginesError{EnginesErrorCode::kTooLarge, "too many cache events"};
  }
  for (const json::value& value : events->get_array()) {
    auto event = ParseEvent(value);
    if (!event) {
      return event.error();
    }
    if (!batch.events.empty() && event.value().sequence <= batch.events.back().sequence) {
      return InvalidEvents("sequences are not increasing");
    }
    batch.events.push_back(std::move(event).value());
  }
  return batch;
}

Result<CacheEventUpdate> ApplyCacheEvents(CacheEventCursor& cursor, const CacheEventBatch& batch) {
  if (batch.incarnation < cursor.incarnation) {
    return EnginesError{EnginesErrorCode::kStaleIncarnation,
                        "cache events of an older incarnation"};
  }
  CacheEventUpdate update;
  if (batch.incarnation > cursor.incarnation) {
    update.cache_lost = cursor.incarnation != 0;
    cursor.incarnation = batch.incarnation;
    cursor.last_sequence = 0;
  }
  // Events that the engine no longer holds are lost, even if no event follows them.
  if (batch.first_sequence > cursor.last_sequence + 1) {
    update.missed += batch.first_sequence - cursor.last_sequence - 1;
    cursor.last_sequence = batch.first_sequence - 1;
  }
  for (const CacheEvent& event : batch.events) {
    if (event.sequence <= cursor.last_sequence) {
      continue;
    }
    update.missed += event.sequence - cursor.last_sequence - 1;
    cursor.last_sequence = event.sequence;
    update.events.push_back(event);
  }
  cursor.missed += update.missed;
  return update;
}

}  // namespace geraniumspread::engines
