#include "transport/http_channel/caller_channel.h"

#include <utility>

#include "common/invariant.h"
#include "protocol/http1/status.h"

namespace wagtailshore::http_channel {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

http1::ReaderOptions ReaderOptionsOf(const CallerChannelOptions& options) {
  return {.max_header_bytes = options.max_header_bytes,
          .max_body_bytes = options.max_body_bytes};
}

}  // namespace

CallerChannel::CallerChannel(event_loop::EventLoop& loop,
                             int descriptor,
                             RequestHandler& handler,
                             const CallerChannelOptions& options,
                             OnChannelClosed on_closed)
    : loop_(loop),
      handler_(handler),
      on_closed_(std::move(on_closed)),
      options_(options),
      socket_(loop,
              descriptor,
              *this,
              {.close_discards_input = true, .activity = "caller"}),
      reader_(ReaderOptionsOf(options)) {
  ArmTimer();
}

CallerChannel::~CallerChannel() {
  loop_.Cancel(timer_);
}

void CallerChannel::OnData() {
  if (state_ == State::kReading) {
    ReadRequest();
  }
}

void CallerChannel::ReadRequest() {
  // A response written from within OnRequest() must not start a nested read.
  if (reading_request_) {
    return;
  }
  reading_request_ = true;
  while (state_ == State::kReading && !socket_.input().empty()) {
    if (!request_begun_) {
      request_begun_ = true;
      ArmTimer();
    }
    auto progress = reader_.Read(socket_.input());
    if (!progress.ok()) {
      Refuse(http1::ReadErrorOf(progress.status()));
      break;
    }
    socket_.Consume(progress->consumed);
    body_ += progress->body;
    if (progress->head_complete && !progress->complete &&
        reader_.head().headers.HasToken("Expect", "100-continue")) {
      socket_.Write(kContinue);
    }
    if (!progress->complete) {
      if (reader_.head_complete()) {
        ArmTimer();
      }
      break;
    }
    const http1::RequestHead head = reader_.head();
    keep_alive_ = head.keep_alive;
    chunks_allowed_ = head.chunks_allowed;
    head_request_ = head.method == "HEAD";
    state_ = State::kAnswering;
    request_begun_ = false;
    loop_.Cancel(timer_);
    timer_ = event_loop::kNoTimer;
    handler_.OnRequest(*this, head, std::exchange(body_, {}));
  }
  reading_request_ = false;
}

void CallerChannel::Refuse(http1::ReadError error) {
  keep_alive_ = false;
  state_ = State::kAnswering;
  Respond(static_cast<int>(error), {}, {});
}

http1::Persistence CallerChannel::NextPersistence() {
  if (close_requested_) {
    keep_alive_ = false;
  }
  return keep_alive_ ? http1::Persistence::kKeepAlive
                     : http1::Persistence::kClose;
}

void CallerChannel::Respond(int status,
                            const http1::Headers& headers,
                            std::string_view body) {
  WS_INVARIANT(state_ == State::kAnswering)
      << "a request is waiting for its response";
  socket_.Write(http1::FormatResponse(status, headers,
                                      head_request_ ? std::string_view() : body,
                                      NextPersistence()));
  FinishResponse();
}

void CallerChannel::BeginStream(int status, const http1::Headers& headers) {
  WS_INVARIANT(state_ == State::kAnswering)
      << "a request is waiting for its response";
  state_ = State::kStreaming;
  chunked_ = chunks_allowed_;
  if (!chunked_) {
    keep_alive_ = false;
  }
  socket_.Write(http1::FormatStreamHead(
      status, headers,
      chunked_ ? http1::BodyFraming::kChunked : http1::BodyFraming::kUntilClose,
      NextPersistence()));
}

void CallerChannel::WriteStream(std::string_view data) {
  WS_INVARIANT(state_ == State::kStreaming) << "a streamed response has begun";
  if (data.empty()) {
    return;
  }
  socket_.Write(chunked_ ? http1::FormatChunk(data) : std::string(data));
}

void CallerChannel::EndStream() {
  WS_INVARIANT(state_ == State::kStreaming) << "a streamed response has begun";
  if (chunked_) {
    socket_.Write(http1::kLastChunk);
  }
  FinishResponse();
}

void CallerChannel::FinishResponse() {
  if (!keep_alive_) {
    state_ = State::kClosing;
    socket_.CloseWhenFlushed();
    return;
  }
  state_ = State::kReading;
  reader_ = http1::RequestReader(ReaderOptionsOf(options_));
  ArmTimer();
  if (!socket_.input().empty() && !reading_request_) {
    loop_.Post([this] { OnData(); });
  }
}

void CallerChannel::Break() {
  state_ = State::kClosing;
  socket_.Close(/*reset=*/true);
  loop_.Cancel(timer_);
  on_closed_(*this);
}

void CallerChannel::CloseWhenIdle() {
  close_requested_ = true;
  if (state_ == State::kReading && !request_begun_) {
    state_ = State::kClosing;
    socket_.CloseWhenFlushed();
  }
}

void CallerChannel::OnClosed(stream_socket::CloseReason) {
  loop_.Cancel(timer_);
  const bool was_answering = busy();
  state_ = State::kClosing;
  if (was_answering) {
    handler_.OnCallerGone(*this);
  }
  on_closed_(*this);
}

void CallerChannel::ArmTimer() {
  loop_.Cancel(timer_);
  const bool reading_head = request_begun_ && !reader_.head_complete();
  timer_ = loop_.RunAfter(
      reading_head ? options_.header_timeout : options_.idle_timeout,
      [this] { OnTimer(); });
}

void CallerChannel::OnTimer() {
  timer_ = event_loop::kNoTimer;
  if (state_ != State::kReading) {
    return;
  }
  if (!request_begun_) {
    CloseWhenIdle();
    return;
  }
  keep_alive_ = false;
  state_ = State::kAnswering;
  Respond(http1::kRequestTimeout, {}, {});
}

}  // namespace wagtailshore::http_channel
