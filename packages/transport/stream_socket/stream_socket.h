#ifndef TRANSPORT_STREAM_SOCKET_STREAM_SOCKET_H_
#define TRANSPORT_STREAM_SOCKET_STREAM_SOCKET_H_

#include <memory>
#include <string>
#include <string_view>

#include "common/time.h"
#include "transport/event_loop/event_loop.h"

// Non-blocking TCP on an event loop.
namespace wagtailshore::stream_socket {

// How a connection ended.
enum class CloseReason {
  // The peer ended its direction in order.
  kEndOfStream,
  // Reset, timed out or unreachable.
  kBroken,
  // A connection attempt failed: the peer has received nothing.
  kNotConnected,
};

// Told what happens on a connection.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void OnConnected() {}
  // There is new data in input().
  virtual void OnData() = 0;
  // Everything that was written has gone to the kernel.
  virtual void OnFlushed() {}
  // The last call; the socket is closed after it.
  virtual void OnClosed(CloseReason reason) = 0;
};

struct StreamOptions {
  // A connection attempt that takes longer has failed.
  common::Duration connect_timeout = common::seconds(1);
  // Unacknowledged data for this long breaks the connection, as do unanswered
  // keep-alive probes.
  common::Duration silence_timeout = common::seconds(4);
  // Reading pauses while this much is unconsumed.
  size_t max_input = 1 << 20;
};

// One TCP connection. The handler must outlive it. The handler may destroy the
// socket from within a callback only through EventLoop::Post().
class StreamSocket final : public event_loop::Watcher {
 public:
  // Takes over a connected descriptor.
  StreamSocket(event_loop::EventLoop& loop,
               int descriptor,
               StreamHandler& handler,
               StreamOptions options);
  // Begins to connect to "IP:port"; the handler hears how that ends, never
  // before this returns.
  StreamSocket(event_loop::EventLoop& loop,
               const std::string& address,
               StreamHandler& handler,
               StreamOptions options);
  ~StreamSocket() override;
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Data received and not consumed yet.
  std::string_view input() const {
    return std::string_view(input_).substr(input_start_);
  }
  void Consume(size_t bytes);

  // Queues data; it goes out at once as far as the kernel takes it. Returns
  // false when the connection has turned out to be broken, in which case the
  // handler is told later.
  bool Write(std::string_view data);
  // Bytes queued and not yet taken by the kernel.
  size_t unsent() const { return output_.size() - output_start_; }
  // Whether any byte was handed to the kernel.
  bool sent_any() const { return sent_any_; }
  bool connected() const { return state_ == State::kOpen; }

  // Closes without telling the handler. Queued data is dropped; data that the
  // kernel has taken is still delivered unless `reset` is set.
  void Close(bool reset = false);
  // Ends this direction as soon as everything queued has gone out, then waits
  // a while for the peer to close: closing with unread input would reset the
  // connection and could cost the peer the end of an answer.
  void CloseWhenFlushed();

  void OnReadable() override;
  void OnWritable() override;

 private:
  enum class State { kConnecting, kOpen, kClosed };

  void SetOptions();
  void Fail(CloseReason reason);
  void FailLater(CloseReason reason);
  bool Flush();
  void UpdateInterest();
  void BeginLinger();

  event_loop::EventLoop& loop_;
  StreamHandler& handler_;
  StreamOptions options_;
  State state_ = State::kOpen;
  int descriptor_ = -1;
  std::string input_;
  size_t input_start_ = 0;
  std::string output_;
  size_t output_start_ = 0;
  bool sent_any_ = false;
  bool close_when_flushed_ = false;
  bool lingering_ = false;
  event_loop::TimerId connect_timer_ = event_loop::kNoTimer;
  event_loop::TimerId failure_timer_ = event_loop::kNoTimer;
  event_loop::TimerId linger_timer_ = event_loop::kNoTimer;
};

}  // namespace wagtailshore::stream_socket

#endif  // TRANSPORT_STREAM_SOCKET_STREAM_SOCKET_H_
