#ifndef STATE_METRICS_GATEWAY_METRICS_H_
#define STATE_METRICS_GATEWAY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "common/time.h"
#include "state/metrics/duration_histogram.h"

namespace wagtailshore::metrics {

// Metrics of a gateway, and their text exposition.
class GatewayMetrics {
 public:
  // A request of that route ended; `outcome` names the status or the cause.
  void OnRequest(std::string_view route, std::string_view outcome);
  // An attempt at that endpoint ended.
  void OnAttempt(std::string_view endpoint, std::string_view result);
  // A request asked for a retry within the service's retry budget.
  void OnRetry(std::string_view service, std::string_view decision);
  void OnFirstEvent(common::Duration since_arrival);
  void OnAnswer(common::Duration since_arrival);

  // Sets a gauge to a value that is computed elsewhere.
  void SetGauge(std::string_view name, double value);

  // Returns all series in the text exposition format, version 0.0.4.
  std::string Format() const;

 private:
  using Labels = std::pair<std::string, std::string>;

  std::map<Labels, uint64_t> requests_;
  std::map<Labels, uint64_t> attempts_;
  std::map<Labels, uint64_t> retries_;
  std::map<std::string, double, std::less<>> gauges_;
  DurationHistogram first_event_;
  DurationHistogram answer_;
};

}  // namespace wagtailshore::metrics

#endif  // STATE_METRICS_GATEWAY_METRICS_H_
