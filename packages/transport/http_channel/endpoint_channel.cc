#include "transport/http_channel/endpoint_channel.h"

#include <utility>

#include "common/invariant.h"
#include "common/strings.h"
#include "protocol/http1/status.h"

namespace wagtailshore::http_channel {
namespace {

// Idle time after which a connection is not reused when the endpoint sends no
// keep-alive time. Endpoints send it in whole seconds, so without one the
// connection may be kept for less than a second.
constexpr common::Duration kDefaultIdleLimit = common::milliseconds(400);
// Subtracted from the endpoint's keep-alive time, for a request that is still
// in transit when the endpoint closes the connection.
constexpr common::Duration kIdleMargin = common::milliseconds(250);

constexpr int kFirstFinalStatus = 200;

stream_socket::StreamOptions WithBufferSizes(
    stream_socket::StreamOptions options) {
  options.kernel_send_bytes = EndpointChannel::kKernelSendBytes;
  options.max_input_bytes = EndpointChannel::kMaxInputBytes;
  return options;
}

}  // namespace

EndpointChannel::EndpointChannel(event_loop::EventLoop& loop,
                                 const std::string& address,
                                 const stream_socket::StreamOptions& options,
                                 OnStateChange on_state_change)
    : loop_(loop),
      socket_(loop, address, *this, WithBufferSizes(options)),
      on_state_change_(std::move(on_state_change)),
      reader_(http1::ReaderOptions{}),
      heard_at_(loop.Now()) {}

void EndpointChannel::Send(std::string_view request,
                           ExchangeListener& listener,
                           bool without_body,
                           std::string_view body) {
  WS_INVARIANT(idle()) << "one exchange at a time";
  listener_ = &listener;
  without_body_ = without_body;
  interim_responses_ = 0;
  discarded_responses_ = 0;
  discarded_bytes_ = 0;
  ResetReader();
  body_rest_ = body;
  if (socket_.connected()) {
    SendRequest(request);
  } else {
    waiting_request_ = request;
  }
}

void EndpointChannel::SendRequest(std::string_view request) {
  if (body_rest_.empty()) {
    socket_.Write(request);
    return;
  }
  if (body_rest_.size() <= kPieceBytes) {
    socket_.Write(common::StrCat(request, std::exchange(body_rest_, {})));
    return;
  }
  socket_.Write(request);
  SendBody();
}

void EndpointChannel::SendBody() {
  while (!body_rest_.empty() && socket_.unsent() == 0) {
    const std::string_view piece = body_rest_.substr(0, kPieceBytes);
    if (!socket_.Write(piece)) {
      return;
    }
    body_rest_.remove_prefix(piece.size());
  }
}

void EndpointChannel::OnConnected() {
  heard_at_ = loop_.Now();
  const std::string request = std::exchange(waiting_request_, {});
  if (listener_ != nullptr && listener_->OnReadyToSend()) {
    SendRequest(request);
  }
}

void EndpointChannel::ResetReader() {
  reader_ = http1::ResponseReader(
      {.max_header_bytes = kMaxPendingBytes, .without_body = without_body_});
  body_bytes_ = 0;
  framing_bytes_ = 0;
  response_origin_ = ResponseOrigin::kThisExchange;
}

void EndpointChannel::Abandon() {
  listener_ = nullptr;
  body_rest_ = {};
  open_ = false;
  socket_.Close(/*reset=*/true);
  on_state_change_(*this);
}

void EndpointChannel::CloseSilent() {
  if (open_) {
    Fail({.nothing_sent = !socket_.sent_any(),
          .silent = true,
          .detail = "connection_silent"});
  }
}

bool EndpointChannel::IsReusable(common::Time now) const {
  if (!idle() || !socket_.connected()) {
    return false;
  }
  const common::Duration limit =
      idle_limit_.has_value() ? *idle_limit_ - kIdleMargin : kDefaultIdleLimit;
  return now - idle_since_ < limit;
}

void EndpointChannel::OnData() {
  heard_at_ = loop_.Now();
  while (open_ && !socket_.input().empty()) {
    if (listener_ == nullptr) {
      // No request is in progress, so this data belongs to none.
      open_ = false;
      socket_.Close(/*reset=*/true);
      on_state_change_(*this);
      return;
    }
    auto progress = reader_.Read(socket_.input());
    if (!progress.ok()) {
      FailBadResponse(std::string(progress.status().message()));
      return;
    }
    socket_.Consume(progress->consumed);
    const bool stalled = progress->consumed == 0;
    if (!CheckLimits(*progress) || !OnProgress(*progress) || stalled) {
      return;
    }
  }
}

void EndpointChannel::FailBadResponse(std::string_view detail) {
  Fail({.bad_response = true,
        .detail = common::StrCat("bad_response: ", detail)});
}

bool EndpointChannel::CheckLimits(const http1::Progress& progress) {
  if (progress.consumed == 0 && socket_.input().size() > kMaxPendingBytes) {
    FailBadResponse("a chunk line or trailer is too long");
    return false;
  }
  if (!reader_.head_complete() || progress.head_complete) {
    return true;
  }
  body_bytes_ += progress.body.size();
  framing_bytes_ += progress.consumed - progress.body.size();
  if (framing_bytes_ >
      kMaxFramingBytes + kMaxFramingPerBodyByte * body_bytes_) {
    FailBadResponse("too much framing");
    return false;
  }
  if (response_origin_ == ResponseOrigin::kEarlierExchange) {
    discarded_bytes_ += progress.consumed;
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      FailBadResponse("responses of earlier exchanges are too long");
      return false;
    }
  }
  return true;
}

bool EndpointChannel::OnResponseHead() {
  const int status = reader_.head().status;
  if (!http1::IsStatus(status)) {
    FailBadResponse(common::StrCat("status ", status));
    return false;
  }
  if (status < kFirstFinalStatus) {
    if (++interim_responses_ > kMaxInterimResponses) {
      FailBadResponse("too many interim responses");
      return false;
    }
    return true;
  }
  response_origin_ = listener_->OnHead(reader_.head());
  if (listener_ == nullptr) {
    return false;
  }
  if (response_origin_ == ResponseOrigin::kThisExchange) {
    return true;
  }
  if (reader_.head().until_close) {
    FailBadResponse("the response of an earlier exchange has no end");
    return false;
  }
  if (++discarded_responses_ > kMaxDiscardedResponses) {
    FailBadResponse("too many responses of earlier exchanges");
    return false;
  }
  return true;
}

bool EndpointChannel::OnProgress(const http1::Progress& progress) {
  if (progress.head_complete && !OnResponseHead()) {
    return false;
  }
  if (reader_.head_complete() && reader_.head().status < kFirstFinalStatus) {
    if (!progress.complete) {
      FailBadResponse("interim response with a body");
      return false;
    }
    ResetReader();
    return true;
  }
  if (response_origin_ == ResponseOrigin::kThisExchange &&
      !progress.body.empty()) {
    listener_->OnBody(progress.body);
    if (listener_ == nullptr) {
      return false;
    }
  }
  if (!progress.complete) {
    return true;
  }
  if (response_origin_ == ResponseOrigin::kEarlierExchange) {
    ResetReader();
    return true;
  }
  // The connection is not reusable with leftover input, which belongs to no
  // request, or when the response came before the whole request was sent: the
  // endpoint then still waits for the rest of it.
  Finish(reader_.head().keep_alive && socket_.input().empty() &&
         socket_.unsent() == 0 && body_rest_.empty());
  return open_;
}

void EndpointChannel::Finish(bool reusable) {
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  body_rest_ = {};
  idle_since_ = loop_.Now();
  if (!reusable) {
    open_ = false;
    socket_.Close();
  }
  listener->OnComplete();
  on_state_change_(*this);
}

void EndpointChannel::Fail(const ExchangeFailure& failure) {
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  body_rest_ = {};
  open_ = false;
  socket_.Close(/*reset=*/true);
  if (listener != nullptr) {
    listener->OnFailed(failure);
  }
  on_state_change_(*this);
}

void EndpointChannel::OnClosed(stream_socket::CloseReason reason) {
  const bool in_order = reason == stream_socket::CloseReason::kEndOfStream;
  if (listener_ != nullptr && in_order && reader_.head_complete() &&
      reader_.head().until_close &&
      response_origin_ == ResponseOrigin::kThisExchange &&
      reader_.ReadEnd().ok()) {
    Finish(/*reusable=*/false);
    return;
  }
  const bool nothing_sent =
      reason == stream_socket::CloseReason::kNotConnected ||
      !socket_.sent_any();
  Fail({.nothing_sent = nothing_sent,
        .detail = reason == stream_socket::CloseReason::kNotConnected
                      ? "not_connected"
                  : in_order ? "closed_before_the_end"
                             : "connection_broken"});
}

}  // namespace wagtailshore::http_channel
