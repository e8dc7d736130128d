#include "transport/http_channel/http_call.h"

#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/http1/serialize.h"

namespace wagtailshore::http_channel {
namespace {

// Idle time after which a connection is replaced instead of reused.
constexpr common::Duration kIdleLimit = common::seconds(20);
// Upper bound on a response body; larger than any stored object.
constexpr size_t kMaxAnswerBytes = 16 << 20;

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
    sent_at_ = caller_.loop_.Now();
    timer_ = caller_.loop_.RunAfter(timeout, [this] { OnTimeout(); });
    channel_ = &caller_.pool_.Acquire(address, address);
    channel_->SetIdleLimit(kIdleLimit);
    channel_->Send(Format(address, call), *this, /*without_body=*/false);
  }
  void OnTimeout() {
    timer_ = event_loop::kNoTimer;
    const common::Time now = caller_.loop_.Now();
    if (channel_->kept() && channel_->heard_at() < sent_at_) {
      common::LogEvent(
          common::EventId::kConnectionSilent,
          common::StrCat("address=", address_, " waited_ms=",
                         common::ToMilliseconds(now - sent_at_), " silent_ms=",
                         common::ToMilliseconds(now - channel_->heard_at())));
    }
    channel_->Abandon();
    caller_.End(id_,
                absl::DeadlineExceededError("no response within the timeout"));
  }
  void Cancel() {
    caller_.loop_.Cancel(timer_);
    channel_->Abandon();
  }
  std::function<void(CallResult)> TakeDone() {
    caller_.loop_.Cancel(timer_);
    return std::move(done_);
  }

  ResponseOrigin OnHead(const http1::ResponseHead& head) override {
    answer_.status = head.status;
    answer_.headers = head.headers;
    return ResponseOrigin::kThisExchange;
  }
  void OnBody(std::string_view data) override {
    if (answer_.body.size() + data.size() <= kMaxAnswerBytes) {
      answer_.body += data;
    } else {
      too_large_ = true;
    }
  }
  void OnComplete() override {
    if (too_large_) {
      caller_.End(id_, absl::ResourceExhaustedError(
                           "response body exceeds the size limit"));
      return;
    }
    caller_.End(id_, std::move(answer_));
  }
  void OnFailed(const ExchangeFailure& failure) override {
    caller_.End(id_, absl::UnavailableError(common::AsAbsl(failure.detail)));
  }

 private:
  HttpCaller& caller_;
  uint64_t id_;
  std::function<void(CallResult)> done_;
  std::string address_;
  common::Time sent_at_{};
  EndpointChannel* channel_ = nullptr;
  CallAnswer answer_;
  bool too_large_ = false;
  event_loop::TimerId timer_ = event_loop::kNoTimer;
};

HttpCaller::HttpCaller(event_loop::EventLoop& loop, EndpointPool& pool)
    : loop_(loop), pool_(pool) {}

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

void HttpCaller::End(uint64_t id, CallResult result) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  const auto done = found->second->TakeDone();
  // The exchange is still running its callback, so it is destroyed later.
  loop_.Post([ended = std::shared_ptr<Exchange>(std::move(found->second))] {});
  exchanges_.erase(found);
  done(std::move(result));
}

}  // namespace wagtailshore::http_channel
