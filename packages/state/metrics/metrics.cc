#include "state/metrics/metrics.h"

#include "common/strings.h"

namespace wagtailshore::metrics {
namespace {

constexpr SeriesSpec kFirstToken = {
    .name = "wagtailshore_first_token_seconds",
    .help = "From a model request's arrival to the first token of its answer."};
constexpr SeriesSpec kBetweenTokens = {
    .name = "wagtailshore_between_token_seconds",
    .help = "Between one token of an answer and the next."};
constexpr SeriesSpec kRequests = {
    .name = "wagtailshore_requests_total",
    .type = SeriesType::kCounter,
    .help =
        "Requests that ended, by outcome: complete, or the refusal's code."};

constexpr std::array kSeriesTable = {kFirstToken, kBetweenTokens, kRequests};

constexpr std::string_view kComplete = "complete";

void AppendHeader(std::string& out, const SeriesSpec& spec) {
  common::StrAppend(&out, "# HELP ", spec.name, " ", spec.help, "\n# TYPE ",
                    spec.name, " ", common::NameOf(kSeriesTypeNames, spec.type),
                    "\n");
}

void AppendOutcome(std::string& out, std::string_view outcome, uint64_t count) {
  common::StrAppend(&out, kRequests.name, "{outcome=\"", outcome, "\"} ", count,
                    "\n");
}

}  // namespace

std::span<const SeriesSpec> SeriesTable() {
  return kSeriesTable;
}

void AnswerTimes::OnTokens(uint64_t tokens, common::Time now) {
  if (tokens == 0) {
    return;
  }
  const common::Duration elapsed = now - previous_;
  previous_ = now;
  if (!first_token_.has_value()) {
    first_token_ = elapsed;
    return;
  }
  const common::Duration per_token = elapsed / tokens;
  for (uint64_t i = 0; i < tokens; ++i) {
    between_tokens_.Record(per_token);
  }
}

void Metrics::OnAnswer(const AnswerTimes& times) {
  if (times.first_token().has_value()) {
    first_token_.Record(*times.first_token());
  }
  between_tokens_.Add(times.between_tokens());
}

void Metrics::OnComplete() {
  ++complete_;
}

void Metrics::OnRefused(refusal::Code code) {
  ++refused_[code];
}

std::string Metrics::Format() const {
  std::string out;
  AppendHeader(out, kFirstToken);
  first_token_.AppendTo(out, kFirstToken.name);
  AppendHeader(out, kBetweenTokens);
  between_tokens_.AppendTo(out, kBetweenTokens.name);
  AppendHeader(out, kRequests);
  AppendOutcome(out, kComplete, complete_);
  // Writes every code, also those with a count of 0, so that rates are correct
  // from the first refusal on.
  for (const auto& code : refusal::kCodeNames) {
    const auto found = refused_.find(code.value);
    AppendOutcome(out, code.name, found == refused_.end() ? 0 : found->second);
  }
  return out;
}

}  // namespace wagtailshore::metrics
