#include "transport/http_channel/http_call.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/http1/serialize.h"

namespace wagtailshore::http_channel {
namespace {

// Idle time after which a connection is replaced instead of reused.
constexpr common::Duration kIdleLimit = common::seconds(20);
// A timer that runs later than this shows that the process was suspended.
constexpr common::Duration kMaxTimerDelay = common::milliseconds(100);

std::string Format(const std::string& address, const Call& call) {
  http1::Headers headers;
  headers.Add("Host", address);
  if (!call.body.empty()) {
    headers.Add("Content-Type", "application/json");
  }
  return http1::FormatRequest(call.method, call.target, headers, call.body);
}

}  // namespace

class HttpCaller::Exchange final : public ExchangeListener {
 public:
  Exchange(HttpCaller& caller,
           uint64_t id,
           std::function<void(CallResult)> done)
      : caller_(caller), id_(id), done_(std::move(done)) {}

  void Start(const std::string& address,
             const Call& call,
             common::Duration timeout) {
    address_ = address;
    target_ = call.target;
    request_ = Format(address, call);
    wait_ = call.wait;
    repeatable_ = call.method == "GET" && wait_ == common::Duration::zero();
    timeout_ = timeout;
    max_answer_bytes_ = call.max_answer_bytes;
    Send(caller_.pool_.Acquire(address_, address_));
  }
  void Cancel() {
    CancelTimers();
    channel_->Abandon();
  }
  void LogBadResponse(std::string_view why) const {
    common::LogEvent(common::EventId::kBadResponse,
                     common::StrCat("address=", address_, " target=", target_,
                                    " why=", why, " bytes=", held_bytes_));
  }
  // Bytes of the answer's body so far.
  size_t held_bytes() const { return held_bytes_; }
  std::function<void(CallResult)> TakeDone() {
    CancelTimers();
    return std::move(done_);
  }

  ResponseOrigin OnHead(const http1::ResponseHead& head) override {
    caller_.loop_.Cancel(silence_timer_);
    silence_timer_ = event_loop::kNoTimer;
    answer_.status = head.status;
    answer_.headers = head.headers;
    return ResponseOrigin::kThisExchange;
  }
  void OnBody(std::string_view data) override {
    if (held_bytes_ + data.size() > max_answer_bytes_) {
      caller_.FailTooLarge(id_);
      return;
    }
    answer_.body += data;
    held_bytes_ += data.size();
    caller_.Hold(data.size());
  }
  void OnComplete() override {
    if (caller_.unanswered_.erase(address_) > 0) {
      caller_.CloseSilent(address_, sent_at_,
                          common::StrCat("answers_again=1 target=", target_));
    }
    caller_.End(id_, std::move(answer_));
  }
  void OnFailed(const ExchangeFailure& failure) override {
    if (failure.bad_response) {
      LogBadResponse(failure.detail);
    }
    if (repeatable_ && (reused_ || failure.silent)) {
      Repeat();
      return;
    }
    if (failure.silent && wait_ > common::Duration::zero()) {
      EndSilentPoll();
      return;
    }
    caller_.End(id_, absl::UnavailableError(common::AsAbsl(failure.detail)));
  }

 private:
  void Send(EndpointChannel& channel) {
    channel_ = &channel;
    reused_ = channel.connected();
    StartTimers();
    channel_->SetIdleLimit(kIdleLimit);
    channel_->Send(request_, *this, /*without_body=*/false);
  }

  // Counts the times from now on.
  void StartTimers() {
    CancelTimers();
    sent_at_ = caller_.loop_.Now();
    timer_ = caller_.loop_.RunAfter(timeout_, [this] { OnTimeout(); });
    if (reused_ && repeatable_ && kSilenceLimit < timeout_) {
      silence_timer_ =
          caller_.loop_.RunAfter(kSilenceLimit, [this] { OnSilence(); });
    }
  }

  void CancelTimers() {
    for (event_loop::TimerId* timer : {&timer_, &silence_timer_}) {
      caller_.loop_.Cancel(*timer);
      *timer = event_loop::kNoTimer;
    }
  }

  void Repeat() {
    caller_.held_bytes_ -= std::exchange(held_bytes_, 0);
    answer_ = {};
    Send(caller_.pool_.Open(address_, address_));
  }

  void OnSilence() {
    silence_timer_ = event_loop::kNoTimer;
    const common::Duration late =
        caller_.loop_.Now() - sent_at_ - kSilenceLimit;
    if (late > kMaxTimerDelay) {
      // This process was suspended: the answer may have arrived unread.
      StartTimers();
      return;
    }
    GiveUpConnection();
    Repeat();
  }

  void OnTimeout() {
    timer_ = event_loop::kNoTimer;
    if (GiveUpConnection() && wait_ > common::Duration::zero()) {
      EndSilentPoll();
      return;
    }
    caller_.End(id_,
                absl::DeadlineExceededError("no response within the timeout"));
  }

  void EndSilentPoll() {
    caller_.End(id_, absl::AbortedError("the connection went silent"));
  }

  // Closes the connection, and the others to the address if this one has proved
  // silent. Returns whether it has.
  bool GiveUpConnection() {
    const common::Time now = caller_.loop_.Now();
    const common::Time heard_at = channel_->heard_at();
    channel_->Abandon();
    if (answer_.status != 0 || now - sent_at_ < wait_ + kSilenceLimit) {
      return false;
    }
    if (!reused_) {
      caller_.unanswered_.insert(address_);
      return false;
    }
    caller_.CloseSilent(
        address_, sent_at_,
        common::StrCat("waited_ms=", common::ToMilliseconds(now - sent_at_),
                       " silent_ms=", common::ToMilliseconds(now - heard_at),
                       " target=", target_));
    return true;
  }

  HttpCaller& caller_;
  uint64_t id_;
  std::function<void(CallResult)> done_;
  std::string address_;
  std::string target_;
  std::string request_;
  bool repeatable_ = false;
  common::Duration wait_{};
  common::Duration timeout_{};
  // Of the latest try: whether its connection was open before, and when it was
  // sent.
  bool reused_ = false;
  common::Time sent_at_{};
  EndpointChannel* channel_ = nullptr;
  CallAnswer answer_;
  size_t held_bytes_ = 0;
  size_t max_answer_bytes_ = 0;
  event_loop::TimerId timer_ = event_loop::kNoTimer;
  event_loop::TimerId silence_timer_ = event_loop::kNoTimer;
};

HttpCaller::HttpCaller(event_loop::EventLoop& loop,
                       EndpointPool& pool,
                       const HttpCallerOptions& options)
    : loop_(loop), pool_(pool), options_(options) {}

HttpCaller::~HttpCaller() {
  for (auto& [id, exchange] : exchanges_) {
    exchange->Cancel();
  }
}

void HttpCaller::Start(const std::string& address,
                       const Call& call,
                       common::Duration timeout,
                       std::function<void(CallResult)> done) {
  const uint64_t id = next_id_++;
  auto exchange = std::make_unique<Exchange>(*this, id, std::move(done));
  Exchange& started = *exchange;
  exchanges_.emplace(id, std::move(exchange));
  started.Start(address, call, timeout);
}

void HttpCaller::CloseSilent(const std::string& address,
                             common::Time since,
                             const std::string& fields) {
  const size_t closed = pool_.CloseSilent(address, since);
  common::LogEvent(common::EventId::kConnectionSilent,
                   common::StrCat("address=", address, " ", fields,
                                  " others_closed=", closed));
}

void HttpCaller::Hold(size_t more) {
  held_bytes_ += more;
  if (held_bytes_ <= options_.max_held_bytes) {
    return;
  }
  const auto longest = std::max_element(
      exchanges_.begin(), exchanges_.end(), [](const auto& a, const auto& b) {
        return a.second->held_bytes() < b.second->held_bytes();
      });
  FailTooLarge(longest->first);
}

void HttpCaller::FailTooLarge(uint64_t id) {
  Exchange& exchange = *exchanges_.at(id);
  exchange.LogBadResponse("answer_too_large");
  exchange.Cancel();
  End(id, absl::ResourceExhaustedError("the response exceeds the size limit"));
}

void HttpCaller::End(uint64_t id, CallResult result) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  held_bytes_ -= found->second->held_bytes();
  const auto done = found->second->TakeDone();
  // The exchange is still running its callback, so it is destroyed later.
  loop_.Post([ended = std::shared_ptr<Exchange>(std::move(found->second))] {});
  exchanges_.erase(found);
  done(std::move(result));
}

}  // namespace wagtailshore::http_channel
