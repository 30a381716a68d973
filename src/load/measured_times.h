#ifndef LOAD_MEASURED_TIMES_H_
#define LOAD_MEASURED_TIMES_H_

#include <prometheus/histogram.h>

#include <cstdint>

#include "common/runtime_clock.h"

namespace geraniumspread::load {

// A histogram of times from 0.1 ms to about 2 minutes. Neighbouring bucket
// bounds differ by 10%, which bounds the error of a quantile.
class MeasuredTimes {
 public:
  MeasuredTimes();

  void Add(Duration time);
  std::uint64_t Count() const;
  // Milliseconds, interpolated inside the bucket; 0 without samples. `share` from 0 to 1.
  double QuantileMs(double share) const;

 private:
  prometheus::Histogram histogram;
};

}  // namespace geraniumspread::load

#endif  // LOAD_MEASURED_TIMES_H_
