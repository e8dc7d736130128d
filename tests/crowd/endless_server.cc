#include "crowd/endless_server.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"
#include "common/strings.h"
#include "transport/stream_socket/stream_socket.h"

namespace wagtailshore::crowd {
namespace {

// Bytes that are handed to the kernel before another connection's turn.
constexpr size_t kTurnBytes = size_t{64} << 10;

struct FloodBytes {
  std::string begin;
  std::string repeated;
};

std::string Head(std::string_view status,
                 std::string_view id,
                 std::string_view fields) {
  return common::StrCat("HTTP/1.1 ", status,
                        "\r\nX-Wagtailshore-Attempt-Id: ", id, "\r\n", fields,
                        "\r\n");
}

FloodBytes BytesOf(Flood flood, const std::string& id) {
  constexpr std::string_view kSeal = "X-Wagtailshore-Server-Seal: s\r\n";
  constexpr std::string_view kLetters = "aaaaaaaaaaaaaaaa";
  constexpr std::string_view kLongLength = "Content-Length: 1000000000000\r\n";
  const std::string chunked = Head(
      "200 OK", id, common::StrCat(kSeal, "Transfer-Encoding: chunked\r\n"));
  const std::string letters(kLetters);
  switch (flood) {
    case Flood::kLetters:
      return {"", letters};
    case Flood::kBlankLines:
      return {"", "\r\n"};
    case Flood::kZeroBytes:
      return {"", std::string(16, '\0')};
    case Flood::kStatusLine:
      return {"HTTP/1.1 200 ", letters};
    case Flood::kField:
      return {"HTTP/1.1 200 OK\r\nX-Field: ", letters};
    case Flood::kFields:
      return {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"};
    case Flood::kInterimResponses:
      return {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"};
    case Flood::kForeignResponse:
      return {Head("200 OK", "other", common::StrCat(kSeal, kLongLength)),
              letters};
    case Flood::kForeignResponses:
      return {"", Head("200 OK", "other",
                       common::StrCat(kSeal, "Content-Length: 2\r\n")) +
                      "ok"};
    case Flood::kBody:
      return {Head("200 OK", id, kSeal), letters};
    case Flood::kUnsealedBody:
      return {Head("200 OK", id, ""), letters};
    case Flood::kErrorBody:
      return {Head("500 Error", id, kSeal), letters};
    case Flood::kRefusalBody:
      return {Head("503 Full", id, "X-Wagtailshore-Not-Executed: 1\r\n"),
              letters};
    case Flood::kLongLength:
      return {Head("200 OK", id, common::StrCat(kSeal, kLongLength)), letters};
    case Flood::kChunkLine:
      return {chunked + "8;", letters};
    case Flood::kChunkSize:
      return {chunked, "00000000"};
    case Flood::kChunkExtensions:
      return {chunked, "1;" + std::string(1000, 'x') + "\r\na\r\n"};
    case Flood::kTinyChunks:
      return {chunked, "1\r\na\r\n"};
    case Flood::kTrailerFields:
      return {chunked + "2\r\nok\r\n0\r\n", "X-Field: value\r\n"};
    case Flood::kTrailerLine:
      return {chunked + "2\r\nok\r\n0\r\nX-Field: ", letters};
    case Flood::kEvent:
      return {Head("200 OK", id, kSeal) + "id: 1\ndata: ", letters};
    case Flood::kComments:
      return {Head("200 OK", id, kSeal), ": comment\n\n"};
    case Flood::kRepeatedEvent:
      return {Head("200 OK", id, kSeal), "id: 1\ndata: x\n\n"};
    case Flood::kBehindResponse:
      return {
          Head("200 OK", id, common::StrCat(kSeal, "Content-Length: 2\r\n")) +
              "ok",
          letters};
  }
  return {};
}

}  // namespace

class EndlessServer::Connection final : public stream_socket::StreamHandler {
 public:
  Connection(EndlessServer& server, int descriptor)
      : server_(server), socket_(server.loop_, descriptor, *this, {}) {}
  ~Connection() override { server_.loop_.Cancel(turn_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool connected() const { return socket_.connected(); }

  void OnData() override {
    const bool first = !std::exchange(answering_, true);
    socket_.Consume(socket_.input().size());
    if (first) {
      ++server_.requests_;
      socket_.Write(server_.begin_);
      TakeTurn();
    }
  }
  void OnFlushed() override { TakeTurn(); }
  void OnClosed(stream_socket::CloseReason) override {
    server_.loop_.Cancel(turn_);
    turn_ = event_loop::kNoTimer;
  }

 private:
  void TakeTurn() {
    if (!socket_.connected() || turn_ != event_loop::kNoTimer) {
      return;
    }
    socket_.Write(server_.repeated_);
    if (socket_.unsent() == 0) {
      turn_ = server_.loop_.RunAfter(common::Duration::zero(), [this] {
        turn_ = event_loop::kNoTimer;
        TakeTurn();
      });
    }
  }

  EndlessServer& server_;
  stream_socket::StreamSocket socket_;
  bool answering_ = false;
  event_loop::TimerId turn_ = event_loop::kNoTimer;
};

EndlessServer::EndlessServer(event_loop::EventLoop& loop,
                             Flood flood,
                             const std::string& id)
    : loop_(loop) {
  FloodBytes bytes = BytesOf(flood, id);
  begin_ = std::move(bytes.begin);
  while (repeated_.size() < kTurnBytes) {
    repeated_ += bytes.repeated;
  }
  auto listener = stream_socket::Listener::Open(
      loop_, "127.0.0.1:0", [this](int descriptor) {
        connections_.push_back(std::make_unique<Connection>(*this, descriptor));
      });
  WS_INVARIANT(listener.ok()) << "a port is free";
  listener_ = *std::move(listener);
}

EndlessServer::~EndlessServer() = default;

std::string EndlessServer::address() const {
  return common::StrCat("127.0.0.1:", listener_->port());
}

size_t EndlessServer::connected() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& connection) { return connection->connected(); }));
}

}  // namespace wagtailshore::crowd
