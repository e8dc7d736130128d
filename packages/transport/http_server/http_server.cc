#include "transport/http_server/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "common/invariant.h"
#include "common/strings.h"

namespace wagtailshore::http_server {
namespace {

constexpr size_t kStreamBlockBytes = size_t{16} << 10;
// Connections accepted beyond `max_requests`, so that excess requests can be
// refused with a response and idle connections do not use up the limit.
constexpr uint32_t kSpareConnections = 256;
// Connections that were evicted and are not closed yet.
constexpr uint32_t kClosingConnections = 32;
constexpr char kRetryAfterSeconds[] = "1";

absl::StatusOr<sockaddr_in> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  uint32_t port = 0;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65535 ||
      inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) !=
          1) {
    return absl::InvalidArgumentError(
        common::StrCat("\"", address, "\" is not IP:port"));
  }
  parsed.sin_port = htons(static_cast<uint16_t>(port));
  return parsed;
}

// Memory of an entry of the maps of headers and arguments beside its text.
constexpr size_t kMapEntryBytes = 128;
// Copies of a body while its request runs: parsed, encoded for an endpoint, and
// in the client that sends it there.
constexpr size_t kCopiesWhileRunning = 8;

// A request whose body is still arriving.
struct PendingRequest {
  Request request;
  common::Time started_at;
  bool too_large = false;
  // Memory of the headers and arguments.
  size_t head_bytes = 0;
  // Bytes of the body that have arrived, and the size of the block that they
  // are in. The body itself may be taken back on another thread.
  size_t body_bytes = 0;
  size_t body_capacity = 0;
  // Length of the body that the head announces; 0 if it announces none.
  size_t announced_bytes = 0;
};

size_t MemoryOf(const std::map<std::string, std::string>& texts) {
  size_t bytes = 0;
  for (const auto& [name, value] : texts) {
    bytes += kMapEntryBytes + name.size() + value.size();
  }
  return bytes;
}

// One connection and its request. Another connection that needs its memory may
// take that back on its own thread.
class Connection final : public LimitedConnection {
 public:
  Connection(MHD_socket socket, ConnectionLimiter* limiter)
      : socket_(socket), limiter_(limiter) {
    if (limiter_ == nullptr) {
      return;
    }
    id_ = limiter_->Open(*this);
    if (!id_.has_value()) {
      Evict();
    }
  }
  ~Connection() override {
    if (id_.has_value()) {
      limiter_->Close(*id_);
    }
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Reserves `bytes` for the request; false if the budget is exhausted.
  bool Hold(size_t bytes, client_budget::Phase phase) {
    return limiter_ == nullptr ||
           (id_.has_value() && limiter_->Resize(*id_, bytes, phase));
  }
  void Release() {
    if (id_.has_value()) {
      limiter_->Release(*id_);
    }
  }
  void OnRefused() {
    if (limiter_ != nullptr) {
      limiter_->OnRefused();
    }
  }

  // Appends to the body, whose block grows to `capacity`. False if the
  // connection was evicted.
  bool Append(std::string& body, std::string_view data, size_t capacity) {
    const std::lock_guard lock(mutex_);
    if (evicted_) {
      return false;
    }
    body_ = &body;
    body.reserve(capacity);
    body.append(data);
    return true;
  }
  // From here on the body is not taken back. False if it has been.
  bool DisallowEviction() {
    const std::lock_guard lock(mutex_);
    body_ = nullptr;
    return !evicted_;
  }

  void Evict() override {
    const std::lock_guard lock(mutex_);
    evicted_ = true;
    if (body_ != nullptr) {
      std::string().swap(*body_);
    }
    // Wakes the connection's thread, which then closes it.
    shutdown(socket_, SHUT_RDWR);
  }

 private:
  MHD_socket socket_;
  ConnectionLimiter* limiter_;
  std::optional<client_budget::ClientId> id_;
  std::mutex mutex_;
  bool evicted_ = false;
  // The body that is arriving; null if there is none.
  std::string* body_ = nullptr;
};

Connection& ConnectionOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<Connection*>(info->socket_context);
}

MHD_Result CollectHeader(void* into,
                         MHD_ValueKind,
                         const char* name,
                         const char* value) {
  auto& headers = *static_cast<std::map<std::string, std::string>*>(into);
  headers[absl::AsciiStrToLower(name)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectArgument(void* into,
                           MHD_ValueKind,
                           const char* name,
                           const char* value) {
  auto& arguments = *static_cast<std::map<std::string, std::string>*>(into);
  arguments[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

// Passes the body from a BodySource to libmicrohttpd, which reads it in blocks.
struct StreamReader {
  std::unique_ptr<BodySource> source;
  std::string pending;

  static ssize_t Read(void* self, uint64_t, char* buffer, size_t max) {
    return static_cast<StreamReader*>(self)->Fill(buffer, max);
  }
  static void Free(void* self) { delete static_cast<StreamReader*>(self); }

  ssize_t Fill(char* buffer, size_t max) {
    while (pending.empty()) {
      BodyPart part = source->Next();
      if (auto* chunk = std::get_if<BodyChunk>(&part)) {
        pending = std::move(chunk->bytes);
      } else if (std::holds_alternative<BodyEnd>(part)) {
        return MHD_CONTENT_READER_END_OF_STREAM;
      } else {
        return MHD_CONTENT_READER_END_WITH_ERROR;
      }
    }
    const size_t size = std::min(max, pending.size());
    std::memcpy(buffer, pending.data(), size);
    pending.erase(0, size);
    return static_cast<ssize_t>(size);
  }
};

MHD_Result Queue(MHD_Connection* connection,
                 int status,
                 const std::string& content_type,
                 const ResponseHeaders& headers,
                 MHD_Response* response) {
  MHD_add_response_header(response, "Content-Type", content_type.c_str());
  for (const auto& [name, value] : headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result queued = MHD_queue_response(
      connection, static_cast<unsigned int>(status), response);
  MHD_destroy_response(response);
  return queued;
}

MHD_Result Send(MHD_Connection* connection, FullResponse& response) {
  return Queue(
      connection, response.status, response.content_type, response.headers,
      MHD_create_response_from_buffer(
          response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY));
}

MHD_Result Send(MHD_Connection* connection, StreamedResponse& response) {
  auto reader = std::make_unique<StreamReader>();
  reader->source = std::move(response.source);
  // The response owns the reader from here on and deletes it through Free().
  MHD_Response* raw = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, kStreamBlockBytes, &StreamReader::Read,
      reader.release(), &StreamReader::Free);
  return Queue(connection, response.status, response.content_type,
               response.headers, raw);
}

}  // namespace

class Server::Impl {
 public:
  Impl(ServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  ~Impl() {
    StopAccepting();
    if (daemon_ != nullptr) {
      MHD_stop_daemon(daemon_);
    }
    if (listener_ >= 0) {
      close(listener_);
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start() {
    const absl::StatusOr<sockaddr_in> address = ParseAddress(options_.address);
    if (!address.ok()) {
      return address.status();
    }
    const auto idle_seconds = static_cast<unsigned int>(
        std::chrono::ceil<std::chrono::seconds>(options_.idle_timeout).count());
    daemon_ = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC,
        /*port=*/0, nullptr, nullptr, &Impl::OnData, this, MHD_OPTION_SOCK_ADDR,
        &*address, MHD_OPTION_CONNECTION_LIMIT, MaxConnections(),
        MHD_OPTION_NOTIFY_CONNECTION, &Impl::OnConnection, this,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options_.max_header_bytes,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
        &Impl::OnCompleted, this, MHD_OPTION_END);
    if (daemon_ == nullptr) {
      return absl::UnavailableError(common::StrCat(
          "cannot listen on ", options_.address, ": ", std::strerror(errno)));
    }
    return absl::OkStatus();
  }

  void StopAccepting() {
    if (daemon_ == nullptr || listener_ >= 0) {
      return;
    }
    listener_ = MHD_quiesce_daemon(daemon_);
  }

  void WaitUntilIdle() {
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [this] { return requests_ == 0; });
  }

 private:
  // Beyond the limiter's maximum, so that a new connection can take the place
  // of one that was evicted and is not closed yet.
  uint32_t MaxConnections() const {
    const uint32_t most = options_.max_requests + kSpareConnections;
    return options_.limiter == nullptr
               ? most
               : static_cast<uint32_t>(std::min<size_t>(
                     most, options_.limiter->max_connections() +
                               kClosingConnections));
  }

  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code) {
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      delete static_cast<Connection*>(*context);
      *context = nullptr;
      return;
    }
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    *context = std::make_unique<Connection>(
                   info->connect_fd, static_cast<Impl*>(self)->options_.limiter)
                   .release();
  }

  // libmicrohttpd calls this first without data, then with each piece of the
  // body, and finally with size 0.
  static MHD_Result OnData(void* self,
                           MHD_Connection* connection,
                           const char* path,
                           const char* method,
                           const char*,
                           const char* data,
                           size_t* size,
                           void** state) {
    auto* impl = static_cast<Impl*>(self);
    if (*state == nullptr) {
      auto begun = Begin(connection, path, method);
      const bool admitted =
          impl->AdmitRequest() &&
          impl->HoldAnnounced(ConnectionOf(connection), *begun);
      *state = begun.release();
      return admitted ? MHD_YES : impl->RefuseOverload(connection);
    }
    auto* pending = static_cast<PendingRequest*>(*state);
    if (*size > 0) {
      if (common::Clock::now() - pending->started_at >
          impl->options_.body_timeout) {
        return MHD_NO;
      }
      if (!impl->AppendBody(ConnectionOf(connection), *pending,
                            {data, *size})) {
        return MHD_NO;
      }
      *size = 0;
      return MHD_YES;
    }
    return impl->Answer(connection, *pending);
  }

  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode) {
    if (*state == nullptr) {
      return;
    }
    Connection& limited = ConnectionOf(connection);
    (void)limited.DisallowEviction();
    limited.Release();
    delete static_cast<PendingRequest*>(*state);
    *state = nullptr;
    auto* impl = static_cast<Impl*>(self);
    const std::lock_guard lock(impl->mutex_);
    --impl->requests_;
    impl->idle_.notify_all();
  }

  static std::unique_ptr<PendingRequest> Begin(MHD_Connection* connection,
                                               const char* path,
                                               const char* method) {
    auto pending = std::make_unique<PendingRequest>();
    pending->started_at = common::Clock::now();
    pending->request.method = method;
    pending->request.path = path;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &pending->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                              &CollectArgument, &pending->request.arguments);
    pending->head_bytes = MemoryOf(pending->request.headers) +
                          MemoryOf(pending->request.arguments);
    const auto length = pending->request.headers.find("content-length");
    if (length != pending->request.headers.end()) {
      (void)absl::SimpleAtoi(length->second, &pending->announced_bytes);
    }
    return pending;
  }

  // Makes room for the body that the head announces. One that is too large is
  // not kept.
  bool HoldAnnounced(Connection& connection, PendingRequest& pending) const {
    if (pending.announced_bytes > options_.max_body_bytes) {
      pending.too_large = true;
      pending.announced_bytes = 0;
    }
    const bool held =
        connection.Hold(pending.head_bytes + pending.announced_bytes,
                        client_budget::Phase::kReceiving);
    if (!held) {
      connection.OnRefused();
    }
    return held;
  }

  // Counts a new request. Returns false when it exceeds `max_requests`; the
  // request still counts until it is completed.
  bool AdmitRequest() {
    const std::lock_guard lock(mutex_);
    ++requests_;
    return requests_ <= options_.max_requests;
  }

  MHD_Result RefuseOverload(MHD_Connection* connection) const {
    FullResponse response{.status = MHD_HTTP_SERVICE_UNAVAILABLE,
                          .headers = {{"Retry-After", kRetryAfterSeconds}},
                          .body = options_.overloaded_body};
    return Send(connection, response);
  }

  // Returns false if the connection has to be closed for want of room.
  bool AppendBody(Connection& connection,
                  PendingRequest& pending,
                  std::string_view data) const {
    std::string& body = pending.request.body;
    pending.body_bytes += data.size();
    if (!pending.too_large && pending.body_bytes > options_.max_body_bytes) {
      pending.too_large = true;
      if (!connection.DisallowEviction()) {
        return false;
      }
      std::string().swap(body);
      connection.Hold(pending.head_bytes, client_budget::Phase::kReceiving);
    }
    if (pending.too_large) {
      return true;
    }
    if (pending.body_bytes > pending.body_capacity) {
      // The old and the new block together take what the new one does once it
      // is full.
      pending.body_capacity =
          std::max({pending.body_bytes, 2 * pending.body_capacity,
                    pending.announced_bytes});
      if (pending.body_capacity != pending.announced_bytes &&
          !connection.Hold(pending.head_bytes + pending.body_capacity,
                           client_budget::Phase::kReceiving)) {
        connection.OnRefused();
        return false;
      }
    }
    return connection.Append(body, data, pending.body_capacity);
  }

  MHD_Result Answer(MHD_Connection* connection, PendingRequest& pending) {
    Connection& limited = ConnectionOf(connection);
    const size_t body_bytes = pending.too_large ? 0 : pending.body_bytes;
    const size_t running =
        pending.head_bytes + kCopiesWhileRunning * body_bytes;
    if (!limited.Hold(running, client_budget::Phase::kRunning)) {
      limited.OnRefused();
      return limited.DisallowEviction() ? RefuseOverload(connection) : MHD_NO;
    }
    if (!limited.DisallowEviction()) {
      return MHD_NO;
    }
    Response response =
        pending.too_large
            ? Response(FullResponse{.status = MHD_HTTP_CONTENT_TOO_LARGE,
                                    .body = options_.too_large_body})
            : handler_(std::move(pending.request));
    return std::visit([&](auto& kind) { return Send(connection, kind); },
                      response);
  }

  ServerOptions options_;
  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  MHD_socket listener_ = MHD_INVALID_SOCKET;
  std::mutex mutex_;
  std::condition_variable idle_;
  // Requests in progress, including those that are being refused.
  uint64_t requests_ = 0;
};

absl::StatusOr<std::unique_ptr<Server>> Server::Start(ServerOptions options,
                                                      Handler handler) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(handler));
  absl::Status status = impl->Start();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() = default;

void Server::StopAccepting() {
  impl_->StopAccepting();
}

void Server::WaitUntilIdle() {
  impl_->WaitUntilIdle();
}

}  // namespace wagtailshore::http_server
