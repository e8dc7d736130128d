#ifndef TRANSPORT_STREAM_SOCKET_STREAM_SOCKET_H_
#define TRANSPORT_STREAM_SOCKET_STREAM_SOCKET_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "common/time.h"
#include "transport/event_loop/event_loop.h"

// Non-blocking TCP sockets on an event loop.
namespace wagtailshore::stream_socket {

// How a connection ended.
enum class CloseReason {
  // The peer closed its direction of the connection in an orderly way.
  kEndOfStream,
  // Reset, timed out or unreachable.
  kBroken,
  // The connection attempt failed, so the peer has received nothing.
  kNotConnected,
};

// Receives the events of a connection.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void OnConnected() {}
  // There is new data in input().
  virtual void OnData() = 0;
  // All written data has been handed to the kernel.
  virtual void OnFlushed() {}
  // The peer has taken some of the data that waited to be sent.
  virtual void OnSendProgress() {}
  // The last call. The socket is already closed.
  virtual void OnClosed(CloseReason reason) = 0;
};

// Bytes read per system call; large enough for a streamed event and for most
// responses.
inline constexpr size_t kReadBytes = 16UL * 1024;

struct StreamOptions {
  // A connection attempt that takes longer fails.
  common::Duration connect_timeout = common::seconds(1);
  // A connection with data unacknowledged for this long is broken, as is one
  // with unanswered keep-alive probes.
  common::Duration silence_timeout = common::seconds(4);
  // Reading pauses while this much input is unconsumed.
  size_t max_input_bytes = 1 << 20;
  // Sizes of the kernel's buffers in bytes; the kernel chooses where 0.
  int kernel_receive_bytes = 0;
  int kernel_send_bytes = 0;
  // Whether the peer's close ends the connection though input is unread, as
  // that of a caller does, who no longer waits for an answer.
  bool close_discards_input = false;
  // What the connection is for, in one word, for event_loop::BusyPeriod.
  std::string_view activity = "connection";
};

// One TCP connection. The handler must outlive it. A callback must not destroy
// the socket directly, but can do so through EventLoop::Post().
class StreamSocket final : public event_loop::Watcher {
 public:
  // Takes over a connected descriptor.
  StreamSocket(event_loop::EventLoop& loop,
               int descriptor,
               StreamHandler& handler,
               StreamOptions options);
  // Starts to connect to "IP:port". Reports the result to the handler, never
  // before the constructor returns.
  StreamSocket(event_loop::EventLoop& loop,
               const std::string& address,
               StreamHandler& handler,
               StreamOptions options);
  ~StreamSocket() override;
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Received data that is not consumed yet.
  std::string_view input() const {
    return std::string_view(input_).substr(input_start_);
  }
  void Consume(size_t bytes);

  // Queues data and immediately hands as much of it to the kernel as it
  // accepts. Returns false when the connection is closed or broken; a break
  // that this call finds is reported to the handler later.
  bool Write(std::string_view data);
  // Bytes queued and not yet handed to the kernel.
  size_t unsent() const { return output_.size() - output_start_; }
  // Changes StreamOptions::max_input_bytes.
  void SetMaxInput(size_t bytes);
  // Memory that the buffers take, in bytes, with what the kernel may hold while
  // reading pauses or data waits to be sent.
  size_t held_bytes() const;
  // Whether any byte was handed to the kernel.
  bool sent_any() const { return sent_any_; }
  bool connected() const { return state_ == State::kOpen; }
  // Fails the connection if the peer has closed or reset it, also when that was
  // not read yet. Returns whether it has failed, in which case the handler was
  // called.
  bool FailIfPeerClosed();

  // Closes without a call to the handler. Discards queued data; data already
  // handed to the kernel is still delivered unless `reset` is set.
  void Close(bool reset = false);
  // Shuts down the sending direction once all queued data is handed to the
  // kernel, then waits for the peer to close, for a limited time. Closing with
  // unread input would reset the connection, and the peer could lose the end of
  // a response.
  void CloseWhenFlushed();

  void OnReadable() override;
  void OnWritable() override;
  std::string_view activity() const override { return options_.activity; }

 private:
  enum class State { kConnecting, kOpen, kClosed };

  void SetOptions();
  void Fail(CloseReason reason);
  void FailLater(CloseReason reason);
  bool Flush();
  // Hands as much of `data` to the kernel as it accepts and removes that from
  // it. Returns false when the connection is broken.
  bool Send(std::string_view& data);
  bool reading_paused() const {
    return input().size() >= options_.max_input_bytes;
  }
  void UpdateInterest();
  // While reading pauses, looks for the peer's close from time to time.
  void CheckWhilePaused();
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
  event_loop::TimerId pause_timer_ = event_loop::kNoTimer;
  event_loop::TimerId failure_timer_ = event_loop::kNoTimer;
  event_loop::TimerId linger_timer_ = event_loop::kNoTimer;
};

}  // namespace wagtailshore::stream_socket

#endif  // TRANSPORT_STREAM_SOCKET_STREAM_SOCKET_H_
