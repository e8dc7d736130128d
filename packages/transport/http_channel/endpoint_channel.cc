#include "transport/http_channel/endpoint_channel.h"

#include <utility>

#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::http_channel {
namespace {

// Idle time after which a connection is not used again when the endpoint does
// not say how long it keeps one: it states whole seconds, so it keeps these for
// less than one.
constexpr common::Duration kDefaultIdleLimit = common::milliseconds(400);
// Time that a request may be under way when the endpoint closes.
constexpr common::Duration kIdleMargin = common::milliseconds(250);

constexpr int kFirstFinalStatus = 200;

}  // namespace

EndpointChannel::EndpointChannel(event_loop::EventLoop& loop,
                                 const std::string& address,
                                 const stream_socket::StreamOptions& options,
                                 OnState on_state)
    : loop_(loop),
      socket_(loop, address, *this, options),
      on_state_(std::move(on_state)),
      reader_(http1::ReaderOptions{}) {}

void EndpointChannel::Send(std::string_view request,
                           ExchangeListener& listener,
                           bool without_body) {
  WS_INVARIANT(idle()) << "one exchange at a time";
  listener_ = &listener;
  without_body_ = without_body;
  NewReader();
  socket_.Write(request);
}

void EndpointChannel::NewReader() {
  reader_ = http1::ResponseReader({.without_body = without_body_});
  ownership_ = Ownership::kOurs;
}

void EndpointChannel::Abandon() {
  listener_ = nullptr;
  open_ = false;
  socket_.Close(/*reset=*/true);
  on_state_(*this);
}

bool EndpointChannel::IsFresh(common::Time now) const {
  if (!idle() || !socket_.connected()) {
    return false;
  }
  const common::Duration limit =
      idle_limit_.has_value() ? *idle_limit_ - kIdleMargin : kDefaultIdleLimit;
  return now - idle_since_ < limit;
}

void EndpointChannel::OnData() {
  while (open_ && !socket_.input().empty()) {
    if (listener_ == nullptr) {
      // Nothing was asked: what comes now belongs to no request.
      open_ = false;
      socket_.Close(/*reset=*/true);
      on_state_(*this);
      return;
    }
    auto progress = reader_.Read(socket_.input());
    if (!progress.ok()) {
      Fail(/*nothing_sent=*/false, common::StrCat("not an HTTP response: ",
                                                  progress.status().message()));
      return;
    }
    socket_.Consume(progress->consumed);
    const bool stalled = progress->consumed == 0;
    if (!OnProgress(*progress) || stalled) {
      return;
    }
  }
}

bool EndpointChannel::OnProgress(const http1::Progress& progress) {
  if (progress.head_complete) {
    if (reader_.head().status < kFirstFinalStatus) {
      if (progress.complete) {
        NewReader();
      }
      return true;
    }
    ownership_ = listener_->OnHead(reader_.head());
    if (listener_ == nullptr) {
      return false;
    }
    if (ownership_ == Ownership::kForeign && reader_.head().until_close) {
      Fail(/*nothing_sent=*/false, "foreign_answer_without_end");
      return false;
    }
  }
  if (ownership_ == Ownership::kOurs && !progress.body.empty()) {
    listener_->OnBody(progress.body);
    if (listener_ == nullptr) {
      return false;
    }
  }
  if (!progress.complete) {
    return true;
  }
  if (ownership_ == Ownership::kForeign) {
    NewReader();
    return true;
  }
  // Leftover input belongs to no request; an answer before the request was
  // read leaves the endpoint waiting for the rest of it.
  Finish(reader_.head().keep_alive && socket_.input().empty() &&
         socket_.unsent() == 0);
  return open_;
}

void EndpointChannel::Finish(bool reusable) {
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  idle_since_ = loop_.Now();
  if (!reusable) {
    open_ = false;
    socket_.Close();
  }
  listener->OnComplete();
  on_state_(*this);
}

void EndpointChannel::Fail(bool nothing_sent, std::string detail) {
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  open_ = false;
  socket_.Close(/*reset=*/true);
  if (listener != nullptr) {
    listener->OnFailed(
        {.nothing_sent = nothing_sent, .detail = std::move(detail)});
  }
  on_state_(*this);
}

void EndpointChannel::OnClosed(stream_socket::CloseReason reason) {
  const bool in_order = reason == stream_socket::CloseReason::kEndOfStream;
  if (listener_ != nullptr && in_order && reader_.head_complete() &&
      reader_.head().until_close && ownership_ == Ownership::kOurs &&
      reader_.ReadEnd().ok()) {
    Finish(/*reusable=*/false);
    return;
  }
  const bool nothing_sent =
      reason == stream_socket::CloseReason::kNotConnected ||
      !socket_.sent_any();
  Fail(nothing_sent, reason == stream_socket::CloseReason::kNotConnected
                         ? "not_connected"
                     : in_order ? "closed_before_the_end"
                                : "connection_broken");
}

}  // namespace wagtailshore::http_channel
