#ifndef OBSERVABILITY_TRACE_H_
#define OBSERVABILITY_TRACE_H_

#include <chrono>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/runtime_clock.h"

// W3C trace context on each hop, and spans exported as OTLP JSON lines. No
// OpenTelemetry package for C++ exists in the archive, so the writer is ours;
// the form is the one that OTLP file receivers read.
namespace geraniumspread::observability {

// Identity of one span. Lower-case hexadecimal, as in the traceparent header.
struct TraceContext {
  std::string trace_id;  // 32 characters
  std::string span_id;   // 16 characters
};

// Empty when the header is missing or malformed.
std::optional<TraceContext> ParseTraceparent(std::string_view header);
std::string FormatTraceparent(const TraceContext& context);
// A child of `parent`, or the root of a new trace.
TraceContext MakeSpanContext(const std::optional<TraceContext>& parent);

struct Span {
  std::string name;
  TraceContext context;
  std::string parent_span_id;  // empty for a root
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  std::vector<std::pair<std::string, std::string>> attributes;
  bool failed = false;
};

// Writes one OTLP JSON object per span and line. Without a file it does nothing.
class SpanExporter {
 public:
  SpanExporter() = default;
  // False when the file can't be opened.
  bool Open(const std::string& path, std::string instance);
  void Export(const Span& span);

 private:
  std::ofstream stream;
  std::string instance_id;
};

// Starts a span at construction and exports it at destruction.
class ScopedSpan {
 public:
  ScopedSpan(SpanExporter& span_exporter,
             std::string name,
             const std::optional<TraceContext>& parent);
  ScopedSpan(const ScopedSpan&) = delete;
  ScopedSpan& operator=(const ScopedSpan&) = delete;
  ~ScopedSpan();

  const TraceContext& Context() const { return this->span.context; }
  void SetAttribute(std::string key, std::string value);
  void SetFailed() { this->span.failed = true; }

 private:
  SpanExporter& exporter;
  Span span;
};

}  // namespace geraniumspread::observability

#endif  // OBSERVABILITY_TRACE_H_
