#include "state/metrics/gateway_metrics.h"

#include "common/strings.h"

namespace wagtailshore::metrics {
namespace {

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view type,
                  std::string_view help) {
  common::StrAppend(&out, "# HELP ", name, " ", help, "\n# TYPE ", name, " ",
                    type, "\n");
}

void AppendCounters(
    std::string& out,
    std::string_view name,
    std::string_view first_label,
    std::string_view second_label,
    const std::map<std::pair<std::string, std::string>, uint64_t>& counters) {
  for (const auto& [labels, count] : counters) {
    common::StrAppend(&out, name, "{", first_label, "=\"", labels.first, "\",",
                      second_label, "=\"", labels.second, "\"} ", count, "\n");
  }
}

}  // namespace

void GatewayMetrics::OnRequest(std::string_view route,
                               std::string_view outcome) {
  ++requests_[{std::string(route), std::string(outcome)}];
}

void GatewayMetrics::OnAttempt(std::string_view endpoint,
                               std::string_view result) {
  ++attempts_[{std::string(endpoint), std::string(result)}];
}

void GatewayMetrics::OnRetry(std::string_view service,
                             std::string_view decision) {
  ++retries_[{std::string(service), std::string(decision)}];
}

void GatewayMetrics::OnFirstEvent(common::Duration since_arrival) {
  first_event_.Record(since_arrival);
}

void GatewayMetrics::OnAnswer(common::Duration since_arrival) {
  answer_.Record(since_arrival);
}

void GatewayMetrics::SetGauge(std::string_view name, double value) {
  const auto found = gauges_.find(name);
  if (found == gauges_.end()) {
    gauges_.emplace(std::string(name), value);
  } else {
    found->second = value;
  }
}

std::string GatewayMetrics::Format() const {
  constexpr std::string_view kRequests = "wagtailshore_gateway_requests_total";
  constexpr std::string_view kAttempts = "wagtailshore_gateway_attempts_total";
  constexpr std::string_view kRetries = "wagtailshore_gateway_retries_total";
  constexpr std::string_view kFirstEvent =
      "wagtailshore_gateway_first_event_seconds";
  constexpr std::string_view kAnswer = "wagtailshore_gateway_answer_seconds";
  std::string out;
  AppendHeader(out, kRequests, "counter", "Requests that ended, by outcome.");
  AppendCounters(out, kRequests, "route", "outcome", requests_);
  AppendHeader(out, kAttempts, "counter", "Attempts that ended, by result.");
  AppendCounters(out, kAttempts, "endpoint", "result", attempts_);
  AppendHeader(out, kRetries, "counter",
               "Retries asked of the retry budget, by decision.");
  AppendCounters(out, kRetries, "service", "decision", retries_);
  AppendHeader(out, kFirstEvent, "histogram",
               "From a request's arrival to its first event.");
  first_event_.AppendTo(out, kFirstEvent);
  AppendHeader(out, kAnswer, "histogram",
               "From a request's arrival to the end of its answer.");
  answer_.AppendTo(out, kAnswer);
  for (const auto& [name, value] : gauges_) {
    AppendHeader(out, name, "gauge", "See docs/METRICS.md.");
    common::StrAppend(&out, name, " ", value, "\n");
  }
  return out;
}

}  // namespace wagtailshore::metrics
