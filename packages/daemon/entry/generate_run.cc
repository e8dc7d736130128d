#include "daemon/entry/generate_run.h"

#include <thread>
#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"

namespace wagtailshore::entry {
namespace {

constexpr size_t kMaxFrameBytes = size_t{1} << 20;
// Largest text of an answer; endpoints may send frames without end.
constexpr size_t kMaxTextBytes = size_t{8} << 20;
constexpr int kOk = 200;
// Interval at which a request checks whether the quarantine lets its content
// run.
constexpr common::Duration kContentPollPeriod = common::milliseconds(20);
constexpr int kBadGateway = 502;

// Only these two statuses guarantee that the attempt did not run.
exchange::AttemptEnd AttemptEndForStatus(int status) {
  switch (status) {
    case messages::kRefusedStatus:
      return exchange::AttemptEnd::kRefused;
    case messages::kBusyStatus:
      return exchange::AttemptEnd::kBusy;
    default:
      return exchange::AttemptEnd::kBroken;
  }
}

AttemptResult ToAttemptResult(exchange::AttemptEnd end) {
  switch (end) {
    case exchange::AttemptEnd::kRefused:
      return AttemptResult::kRefused;
    case exchange::AttemptEnd::kBusy:
      return AttemptResult::kBusy;
    default:
      return AttemptResult::kFailed;
  }
}

}  // namespace

GenerateRun::GenerateRun(EntryControl& control,
                         Admitted admitted,
                         http_api::GenerateCall call)
    : control_(control),
      admitted_(std::move(admitted)),
      call_(std::move(call)),
      exchange_(
          {.request = admitted_.request_id,
           .deadline = admitted_.deadline,
           .progress_timeout = control.node().settings().progress_timeout}),
      prefixes_(routing::PrefixesOf(call_.prompt)),
      digest_(common::Sha256Hex({call_.model, "\n", call_.prompt})),
      times_(common::Clock::now()) {}

GenerateRun::~GenerateRun() {
  ReportEnd(AttemptResult::kAbandoned, ContentEnd::kOther);
}

std::variant<exchange::DeliverText, refusal::Refusal> GenerateRun::Next() {
  const common::Time now = common::Clock::now();
  exchange::Action action = std::exchange(started_, true)
                                ? exchange_.OnDelivered(now)
                                : exchange_.Start(now);
  while (true) {
    if (auto* deliver = std::get_if<exchange::DeliverText>(&action)) {
      if (!first_token_.has_value()) {
        first_token_ = common::Clock::now() - sent_at_;
      }
      if (deliver->last) {
        ReportEnd(AttemptResult::kServed, ContentEnd::kAnswered);
      }
      RecordPiece(*deliver);
      return std::move(*deliver);
    }
    if (auto* give_up = std::get_if<exchange::GiveUp>(&action)) {
      control_.RecordAnswer(times_);
      control_.RecordRefused(give_up->refusal.code);
      return std::move(give_up->refusal);
    }
    if (const auto* start = std::get_if<exchange::StartAttempt>(&action)) {
      action = Perform(*start);
    } else {
      action = Perform(std::get<exchange::ReadFrame>(action));
    }
  }
}

void GenerateRun::RecordPiece(const exchange::DeliverText& piece) {
  times_.OnTokens(tokens() - counted_tokens_, common::Clock::now());
  counted_tokens_ = tokens();
  if (piece.last) {
    control_.RecordAnswer(times_);
    control_.RecordComplete();
  }
}

ContentPick GenerateRun::PickEndpoint(const exchange::StartAttempt& start) {
  std::optional<std::string> prefer;
  if (start.prefer.has_value()) {
    prefer = endpoint_.name;
  }
  while (true) {
    ContentPick pick =
        control_.PickForContent(admitted_,
                                {.target = call_.model,
                                 .avoid = start.avoid,
                                 .prefixes = prefixes_,
                                 .busy_refusals = start.busy_refusals},
                                digest_, prefer);
    const bool waits = std::holds_alternative<quarantine::MustWait>(pick);
    if (!waits || common::Clock::now() >= admitted_.deadline) {
      return pick;
    }
    std::this_thread::sleep_for(kContentPollPeriod);
  }
}

void GenerateRun::ReportEnd(AttemptResult result, ContentEnd end) {
  if (!std::exchange(attempt_in_flight_, false)) {
    return;
  }
  control_.EndContent(content_attempt_, digest_, end);
  control_.Report(endpoint_.name, result,
                  {.first_token = first_token_.value_or(common::Duration{}),
                   .total = common::Clock::now() - sent_at_});
}

exchange::Action GenerateRun::Perform(const exchange::StartAttempt& start) {
  connection_.reset();
  if (start.is_retry && !control_.TryTakeRetry()) {
    return exchange_.OnRetryBudgetExhausted(common::Clock::now());
  }
  const ContentPick pick = PickEndpoint(start);
  const common::Time now = common::Clock::now();
  if (const auto* refused = std::get_if<quarantine::Refused>(&pick)) {
    return exchange_.OnQuarantined(refused->ends_in);
  }
  const auto* picked = std::get_if<PickedAttempt>(&pick);
  if (picked == nullptr) {
    return exchange_.OnNoEndpoint(now);
  }
  endpoint_ = picked->endpoint;
  content_attempt_ = picked->attempt;
  attempt_in_flight_ = true;
  sent_at_ = now;
  first_token_.reset();
  if (start.offset > 0) {
    common::LogEvent(
        common::EventId::kStreamResumed,
        common::StrCat("request=", admitted_.request_id,
                       " attempt=", start.id.attempt, " offset=", start.offset,
                       " endpoint=", endpoint_.name));
  }
  const messages::GenerateAttempt attempt{
      .id = start.id,
      .endpoint = endpoint_.name,
      .customer = admitted_.customer,
      .model = call_.model,
      .prompt = call_.prompt,
      .offset = start.offset,
      .text_so_far = exchange_.assembler().text(),
      .max_tokens = call_.max_tokens,
      .deadline_ms = common::ToMilliseconds(admitted_.deadline - now),
      .priority = admitted_.priority,
      .may_wait = start.may_wait};
  connection_ = std::make_unique<http_client::Exchange>(http_client::Request{
      .method = "POST",
      .url = common::StrCat("http://", endpoint_.traffic_address, "/generate"),
      .body = messages::Encode(attempt)});
  splitter_.emplace(kMaxFrameBytes);
  return exchange_.OnSent(endpoint_.name, now);
}

exchange::Action GenerateRun::Perform(const exchange::ReadFrame& read) {
  // Frames already buffered are processed before more data is read.
  absl::StatusOr<std::optional<std::string>> message = splitter_->Next();
  if (message.ok() && message->has_value()) {
    return OnData(**message);
  }
  if (!message.ok()) {
    return EndAttempt(exchange::AttemptEnd::kBroken, std::nullopt);
  }
  http_client::ReadOutcome outcome = connection_->Read(read.timeout);
  if (std::holds_alternative<http_client::TimedOut>(outcome)) {
    return EndAttempt(exchange::AttemptEnd::kTimedOut, std::nullopt);
  }
  if (const auto* failed = std::get_if<http_client::Failed>(&outcome)) {
    return EndAttempt(failed->sent ? exchange::AttemptEnd::kBroken
                                   : exchange::AttemptEnd::kNotSent,
                      std::nullopt);
  }
  // The endpoint returns 502 when its engine failed after accepting the work.
  if (connection_->status() == kBadGateway) {
    return EndAttempt(exchange::AttemptEnd::kBroken, std::nullopt);
  }
  if (connection_->status() != kOk) {
    return EndAttempt(AttemptEndForStatus(connection_->status()),
                      connection_->retry_after());
  }
  if (const auto* data = std::get_if<http_client::Data>(&outcome)) {
    splitter_->Append(data->bytes);
    return read;
  }
  return EndAttempt(exchange::AttemptEnd::kBroken, std::nullopt);
}

exchange::Action GenerateRun::OnData(const std::string& bytes) {
  const auto frame = messages::DecodeFrame(bytes);
  if (!frame.ok() || exchange_.assembler().text().size() + frame->text.size() >
                         kMaxTextBytes) {
    return EndAttempt(exchange::AttemptEnd::kBroken, std::nullopt);
  }
  return exchange_.OnFrame(*frame, common::Clock::now());
}

exchange::Action GenerateRun::EndAttempt(
    exchange::AttemptEnd end,
    std::optional<common::Duration> retry_after) {
  connection_.reset();
  ReportEnd(ToAttemptResult(end), end == exchange::AttemptEnd::kBroken
                                      ? ContentEnd::kCrashed
                                      : ContentEnd::kOther);
  if (end == exchange::AttemptEnd::kBusy) {
    return exchange_.OnAttemptEnd(end, retry_after, common::Clock::now());
  }
  common::LogEvent(common::EventId::kAttemptFailed,
                   common::StrCat("request=", admitted_.request_id,
                                  " endpoint=", endpoint_.name,
                                  " end=", static_cast<int>(end)));
  return exchange_.OnAttemptEnd(end, retry_after, common::Clock::now());
}

}  // namespace wagtailshore::entry
