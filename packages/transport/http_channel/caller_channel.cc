#include "transport/http_channel/caller_channel.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"
#include "protocol/http1/status.h"
#include "transport/http_channel/endpoint_channel.h"

namespace wagtailshore::http_channel {
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kRetryAfterSeconds[] = "1";

// Memory of a connection's objects, and the input that the connection to an
// endpoint can hold for it.
constexpr size_t kObjectBytes = 6UL * 1024 + EndpointChannel::kMaxInputBytes;
// A holding up to this counts as this, so that that of an ordinary request does
// not change.
constexpr size_t kLeastHeldBytes =
    client_budget::BudgetOptions{}.connection_bytes;
// Copies of a head: the reader's, the handler's and the forwarded one.
constexpr size_t kHeadCopies = 3;
// Input that is read while a request is answered and there is room for it.
constexpr size_t kMaxReadAheadBytes = 1UL << 20;
// The kernel's buffers of a caller's connection.
constexpr int kKernelReceiveBytes = 64 * 1024;
constexpr int kKernelSendBytes = 128 * 1024;
// A body beyond this is forwarded in pieces, which take this much on the way.
constexpr size_t kLargeBodyBytes = EndpointChannel::kPieceBytes;
constexpr size_t kForwardBytes =
    EndpointChannel::kPieceBytes + EndpointChannel::kKernelSendBytes;
// The next request is not read while more than this of the response before it
// waits to be sent.
constexpr size_t kMaxUnsentBytes = 64UL * 1024;
// A caller that has read this much of a response has made progress.
constexpr size_t kProgressBytes = 16UL * 1024;

size_t MaxInputOf(const CallerChannelOptions& options) {
  return options.max_header_bytes + stream_socket::kReadBytes;
}

stream_socket::StreamOptions SocketOptionsOf(
    const CallerChannelOptions& options) {
  return {.max_input_bytes = MaxInputOf(options),
          .kernel_receive_bytes = kKernelReceiveBytes,
          .kernel_send_bytes = kKernelSendBytes,
          .close_discards_input = true,
          .activity = "caller"};
}

http1::ReaderOptions ReaderOptionsOf(const CallerChannelOptions& options) {
  return {.max_header_bytes = options.max_header_bytes,
          .max_body_bytes = options.max_body_bytes};
}

}  // namespace

http1::Headers RequestHandler::RefusalHeaders(const http1::RequestHead*) {
  http1::Headers headers;
  headers.Add("Retry-After", kRetryAfterSeconds);
  return headers;
}

CallerChannel::CallerChannel(event_loop::EventLoop& loop,
                             int descriptor,
                             RequestHandler& handler,
                             ChannelLimiter& limiter,
                             client_budget::ClientId client,
                             const CallerChannelOptions& options,
                             OnChannelClosed on_closed)
    : loop_(loop),
      handler_(handler),
      limiter_(limiter),
      client_(client),
      on_closed_(std::move(on_closed)),
      options_(options),
      socket_(loop, descriptor, *this, SocketOptionsOf(options)),
      reader_(ReaderOptionsOf(options)),
      reserved_bytes_(kLeastHeldBytes) {
  limiter_.Attach(client_, *this);
  ArmTimer();
}

CallerChannel::~CallerChannel() {
  Unregister();
  loop_.Cancel(timer_);
}

void CallerChannel::Unregister() {
  if (std::exchange(registered_, false)) {
    limiter_.Close(client_);
  }
}

size_t CallerChannel::HeldBytes() const {
  size_t bytes = kObjectBytes + socket_.held_bytes() + body_.capacity() +
                 request_bytes_ + answer_bytes_;
  if (reader_.head_complete()) {
    bytes += kHeadCopies * reader_.head().headers.memory_bytes();
  }
  return bytes;
}

bool CallerChannel::Reserve(size_t more) {
  const size_t bytes = std::max(HeldBytes() + more, kLeastHeldBytes);
  if (!registered_ || bytes == reserved_bytes_) {
    return true;
  }
  if (!limiter_.Resize(client_, bytes)) {
    return false;
  }
  reserved_bytes_ = bytes;
  return true;
}

void CallerChannel::SetPhase(client_budget::Phase phase) {
  if (registered_) {
    limiter_.SetPhase(client_, phase);
  }
}

void CallerChannel::OnData() {
  if (state_ == State::kReading) {
    ReadRequest();
    return;
  }
  if (busy()) {
    ReadAhead();
  }
}

void CallerChannel::ReadAhead() {
  const size_t bytes = std::max(HeldBytes(), kLeastHeldBytes);
  if (limiter_.ResizeOptional(client_, bytes)) {
    reserved_bytes_ = bytes;
    return;
  }
  socket_.SetMaxInput(std::min(MaxInputOf(options_), socket_.input().size()));
  if (!Reserve()) {
    socket_.Close(/*reset=*/true);
    OnClosed(stream_socket::CloseReason::kBroken);
  }
}

void CallerChannel::OnFlushed() {
  (void)Reserve();
  if (state_ != State::kReading) {
    return;
  }
  if (!request_begun_) {
    SetPhase(client_budget::Phase::kWaiting);
  }
  ReadRequest();
}

void CallerChannel::OnSendProgress() {
  if (busy() || socket_.unsent() + kProgressBytes > unsent_at_progress_) {
    return;
  }
  unsent_at_progress_ = socket_.unsent();
  SetPhase(client_budget::Phase::kSending);
}

void CallerChannel::ReadRequest() {
  // A response written from within OnRequest() must not start a nested read.
  if (reading_request_) {
    return;
  }
  reading_request_ = true;
  while (state_ == State::kReading && !socket_.input().empty() &&
         socket_.unsent() <= kMaxUnsentBytes && ReadSome()) {
  }
  reading_request_ = false;
  if (state_ == State::kReading && request_begun_ && !Reserve()) {
    RefuseForRoom();
  }
}

bool CallerChannel::ReadSome() {
  if (!request_begun_) {
    request_begun_ = true;
    SetPhase(client_budget::Phase::kReceiving);
    ArmTimer();
  }
  auto progress = reader_.Read(socket_.input());
  if (!progress.ok()) {
    Refuse(http1::ReadErrorOf(progress.status()));
    return false;
  }
  socket_.Consume(progress->consumed);
  const bool awaits_body = progress->head_complete && !progress->complete;
  if ((awaits_body && !ReserveBody()) || !AppendBody(progress->body)) {
    RefuseForRoom();
    return false;
  }
  if (progress->complete) {
    HandOver();
    return true;
  }
  // A chunk's line or a trailer that is longer than a whole head may be.
  if (progress->consumed == 0 &&
      socket_.input().size() > options_.max_header_bytes) {
    Refuse(http1::ReadError::kHeadTooLarge);
    return false;
  }
  if (awaits_body &&
      reader_.head().headers.HasToken("Expect", "100-continue")) {
    socket_.Write(kContinue);
  }
  if (reader_.head_complete()) {
    ArmTimer();
  }
  return false;
}

bool CallerChannel::ReserveBody() {
  const auto length = static_cast<size_t>(reader_.content_length().value_or(0));
  if (!Reserve(length)) {
    return false;
  }
  body_.reserve(length);
  return true;
}

bool CallerChannel::AppendBody(std::string_view data) {
  const size_t size = body_.size() + data.size();
  if (size > body_.capacity()) {
    // The old and the new block together take what the new one does once it is
    // full.
    const size_t capacity = std::max(size, 2 * body_.capacity());
    if (!Reserve(capacity - body_.capacity())) {
      return false;
    }
    body_.reserve(capacity);
  }
  body_.append(data);
  return true;
}

void CallerChannel::HandOver() {
  const http1::RequestHead head = reader_.head();
  const size_t forwarded = body_.size() > kLargeBodyBytes ? kForwardBytes : 0;
  if (!Reserve(forwarded)) {
    RefuseForRoom();
    return;
  }
  request_bytes_ = body_.capacity() + forwarded;
  keep_alive_ = head.keep_alive;
  chunks_allowed_ = head.chunks_allowed;
  head_request_ = head.method == "HEAD";
  state_ = State::kAnswering;
  request_begun_ = false;
  loop_.Cancel(timer_);
  timer_ = event_loop::kNoTimer;
  SetPhase(client_budget::Phase::kRunning);
  socket_.SetMaxInput(kMaxReadAheadBytes);
  handler_.OnRequest(*this, head, std::exchange(body_, {}));
}

void CallerChannel::RefuseForRoom() {
  limiter_.OnRefused();
  Reject(http1::kUnavailable,
         handler_.RefusalHeaders(reader_.head_complete() ? &reader_.head()
                                                         : nullptr));
}

void CallerChannel::Evict() {
  if (state_ == State::kReading && request_begun_) {
    RefuseForRoom();
    return;
  }
  Break();
}

void CallerChannel::CloseForNewClient() {
  registered_ = false;
  Break();
}

void CallerChannel::Reject(int status, const http1::Headers& headers) {
  body_ = {};
  socket_.Consume(socket_.input().size());
  keep_alive_ = false;
  state_ = State::kAnswering;
  Respond(status, headers, {});
}

void CallerChannel::Refuse(http1::ReadError error) {
  Reject(static_cast<int>(error), {});
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
  const std::string_view sent = head_request_ ? std::string_view() : body;
  if (sent.size() <= kMaxUnsentBytes) {
    socket_.Write(
        http1::FormatResponse(status, headers, sent, NextPersistence()));
  } else {
    socket_.Write(http1::FormatResponseHead(status, headers, sent.size(),
                                            NextPersistence()));
    socket_.Write(sent);
  }
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

bool CallerChannel::WriteStream(std::string_view data) {
  WS_INVARIANT(state_ == State::kStreaming) << "a streamed response has begun";
  if (data.empty()) {
    return true;
  }
  socket_.Write(chunked_ ? http1::FormatChunk(data) : std::string(data));
  return Reserve();
}

bool CallerChannel::ReserveForAnswer(size_t bytes) {
  const size_t before = std::exchange(answer_bytes_, bytes);
  if (Reserve()) {
    return true;
  }
  answer_bytes_ = before;
  return false;
}

void CallerChannel::EndStream() {
  WS_INVARIANT(state_ == State::kStreaming) << "a streamed response has begun";
  if (chunked_) {
    socket_.Write(http1::kLastChunk);
  }
  FinishResponse();
}

void CallerChannel::FinishResponse() {
  request_bytes_ = 0;
  answer_bytes_ = 0;
  reader_ = http1::RequestReader(ReaderOptionsOf(options_));
  unsent_at_progress_ = socket_.unsent();
  socket_.SetMaxInput(MaxInputOf(options_));
  SetPhase(socket_.unsent() > 0 ? client_budget::Phase::kSending
                                : client_budget::Phase::kWaiting);
  if (!keep_alive_) {
    state_ = State::kClosing;
    socket_.Consume(socket_.input().size());
    socket_.CloseWhenFlushed();
  } else {
    state_ = State::kReading;
    ArmTimer();
  }
  if (!Reserve()) {
    Break();
    return;
  }
  if (state_ == State::kClosing) {
    return;
  }
  if (!socket_.input().empty() && !reading_request_) {
    loop_.Post([this] { OnData(); });
  }
}

void CallerChannel::Break() {
  Unregister();
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
  Unregister();
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
  Reject(http1::kRequestTimeout, {});
}

}  // namespace wagtailshore::http_channel
