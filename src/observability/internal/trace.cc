#include "observability/trace.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "common/secure_bytes.h"

namespace geraniumspread::observability {
namespace {

constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdLength = 16;
// "00-" trace id "-" span id "-" flags.
constexpr std::size_t kTraceparentLength = 3 + kTraceIdLength + 1 + kSpanIdLength + 3;
// Values of the OTLP enums SpanKind and StatusCode.
constexpr int kSpanKindServer = 2;
constexpr int kStatusCodeError = 2;

bool IsId(std::string_view text) {
  const bool is_hex = std::ranges::all_of(text, [](char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
  });
  return is_hex && text.find_first_not_of('0') != std::string_view::npos;
}

std::string Nanoseconds(std::chrono::system_clock::time_point time) {
  using std::chrono::nanoseconds;
  return std::to_string(std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count());
}

boost::json::object Attribute(std::string_view key, std::string_view value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

boost::json::object ToJson(const Span& span) {
  boost::json::array attributes;
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  boost::json::object json = {{"traceId", span.context.trace_id},
                              {"spanId", span.context.span_id},
                              {"parentSpanId", span.parent_span_id},
                              {"name", span.name},
                              {"kind", kSpanKindServer},
                              {"startTimeUnixNano", Nanoseconds(span.start)},
                              {"endTimeUnixNano", Nanoseconds(span.end)},
                              {"attributes", std::move(attributes)}};
  if (span.failed) {
    json["status"] = boost::json::object{{"code", kStatusCodeError}};
  }
  return json;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() != kTraceparentLength || !header.starts_with("00-")) {
    return std::nullopt;
  }
  const std::string_view trace_id = header.substr(3, kTraceIdLength);
  const std::string_view span_id = header.substr(3 + kTraceIdLength + 1, kSpanIdLength);
  const bool has_separators =
      header[3 + kTraceIdLength] == '-' && header[3 + kTraceIdLength + 1 + kSpanIdLength] == '-';
  if (!has_separators || !IsId(trace_id) || !IsId(span_id)) {
    return std::nullopt;
  }
  return TraceContext{std::string(trace_id), std::string(span_id)};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

TraceContext MakeSpanContext(const std::optional<TraceContext>& parent) {
  return {parent ? parent->trace_id : RandomHex(kTraceIdLength / 2), RandomHex(kSpanIdLength / 2)};
}

bool SpanExporter::Open(const std::string& path, std::string instance) {
  this->instance_id = std::move(instance);
  this->stream.open(path, std::ios::app);
  return this->stream.is_open();
}

void SpanExporter::Export(const Span& span) {
  if (!this->stream.is_open()) {
    return;
  }
  const boost::json::object resource = {{"attributes",
                                         {Attribute("service.name", "geraniumspread"),
                                          Attribute("service.instance.id", this->instance_id)}}};
  const boost::json::object scope_spans = {{"spans", boost::json::array{ToJson(span)}}};
  const boost::json::object resource_spans = {{"resource", resource},
                                              {"scopeSpans", boost::json::array{scope_spans}}};
  this->stream << boost::json::serialize(
                      boost::json::object{{"resourceSpans", boost::json::array{resource_spans}}})
               << '\n'
               << std::flush;
}

ScopedSpan::ScopedSpan(SpanExporter& span_exporter,
                       std::string name,
                       const std::optional<TraceContext>& parent)
    : exporter(span_exporter) {
  this->span.name = std::move(name);
  this->span.context = MakeSpanContext(parent);
  this->span.parent_span_id = parent ? parent->span_id : "";
  this->span.start = std::chrono::system_clock::now();
}

ScopedSpan::~ScopedSpan() {
  this->span.end = std::chrono::system_clock::now();
  this->exporter.Export(this->span);
}

void ScopedSpan::SetAttribute(std::string key, std::string value) {
  this->span.attributes.emplace_back(std::move(key), std::move(value));
}

}  // namespace geraniumspread::observability
