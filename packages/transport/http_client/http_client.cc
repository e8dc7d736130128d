#include "transport/http_client/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <string_view>

#include "common/event_log.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "protocol/http1/status.h"

namespace wagtailshore::http_client {
namespace {

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};
struct HeadersDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// Memory for all responses of this process together, in bytes, and what they
// take.
std::atomic<size_t> g_max_held_bytes = SIZE_MAX;
std::atomic<size_t> g_held_bytes = 0;
// A response that holds no more than this is not refused for the others.
constexpr size_t kSmallReplyBytes = size_t{64} << 10;
// Largest sum of all heads and trailers of a response, in bytes.
constexpr size_t kMaxHeadBytes = size_t{64} << 10;

// What a response holds of the memory for all.
class HeldBytes {
 public:
  HeldBytes() = default;
  ~HeldBytes() { g_held_bytes -= bytes_; }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  // Returns whether there was room for them.
  bool Add(size_t more) {
    bytes_ += more;
    return (g_held_bytes += more) <= g_max_held_bytes ||
           bytes_ <= kSmallReplyBytes;
  }
  // Counts the bytes that were read as gone.
  void Clear() { g_held_bytes -= std::exchange(bytes_, 0); }

 private:
  size_t bytes_ = 0;
};

// What has arrived of a response.
struct Received {
  // The body, as far as it was not read.
  std::string body;
  HeldBytes held;
  size_t head_bytes = 0;
  // Whether the latest head is complete.
  bool head_complete = false;
  // Why the response is refused; empty if it is not.
  std::string_view refused;
};

// The callbacks end the exchange by another result than the size.
constexpr size_t kRefuse = 0;

size_t AppendBody(char* data, size_t size, size_t count, void* into) {
  auto& received = *static_cast<Received*>(into);
  const size_t bytes = size * count;
  if (!received.held.Add(bytes)) {
    received.refused = "no memory is left for the response";
    return kRefuse;
  }
  received.body.append(data, bytes);
  return bytes;
}

// Gets the lines of all heads one by one, those of interim responses first, and
// those of a trailer.
size_t NoteHeadLine(char* data, size_t size, size_t count, void* into) {
  auto& received = *static_cast<Received*>(into);
  const std::string_view line(data, size * count);
  received.head_bytes += line.size();
  if (received.head_bytes > kMaxHeadBytes) {
    received.refused = "the response's heads exceed the size limit";
    return kRefuse;
  }
  if (line == "\r\n" || line == "\n") {
    received.head_complete = true;
  } else if (line.starts_with("HTTP/")) {
    received.head_complete = false;
  }
  return line.size();
}

}  // namespace

class Exchange::Impl {
 public:
  explicit Impl(Request request)
      : request_(std::move(request)),
        easy_(curl_easy_init()),
        multi_(curl_multi_init()) {
    WS_INVARIANT(easy_ != nullptr && multi_ != nullptr) << "out of memory";
    SetOptions();
    curl_multi_add_handle(multi_.get(), easy_.get());
  }

  // An easy handle must be removed from its multi handle before either is
  // freed.
  ~Impl() { curl_multi_remove_handle(multi_.get(), easy_.get()); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  ReadOutcome Read(common::Duration timeout) {
    const common::Time deadline = common::Clock::now() + timeout;
    while (true) {
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      if (received_.head_complete && !http1::IsStatus(status())) {
        return Failed{
            .sent = true,
            .reason = common::StrCat("the response's status is ", status())};
      }
      if (!received_.body.empty()) {
        received_.held.Clear();
        return Data{std::exchange(received_.body, {})};
      }
      if (running == 0) {
        return Result();
      }
      const common::Time now = common::Clock::now();
      if (now >= deadline) {
        return TimedOut{};
      }
      const int64_t wait_ms =
          std::max<int64_t>(1, common::ToMilliseconds(deadline - now));
      curl_multi_poll(multi_.get(), nullptr, 0, static_cast<int>(wait_ms),
                      nullptr);
    }
  }

  int status() const {
    long status = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
  }

  std::optional<common::Duration> retry_after() const {
    curl_off_t seconds = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RETRY_AFTER, &seconds);
    if (seconds <= 0) {
      return std::nullopt;
    }
    return common::seconds(seconds);
  }

 private:
  void SetOptions() {
    CURL* easy = easy_.get();
    curl_easy_setopt(easy, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    // Peers are addressed by IP within the system; disables any proxy that the
    // environment configures.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(
        easy, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(common::ToMilliseconds(request_.connect_timeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &received_);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &NoteHeadLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &received_);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    if (request_.method == "POST" || request_.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body.data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request_.body.size()));
      // Disables the wait for "100 Continue", which costs a round trip per
      // request.
      AddHeader("Expect:");
    }
    for (const auto& [name, value] : request_.headers) {
      AddHeader(common::StrCat(name, ": ", value));
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
  }

  void AddHeader(const std::string& line) {
    headers_.reset(curl_slist_append(headers_.release(), line.c_str()));
  }

  ReadOutcome Result() const {
    int left = 0;
    const CURLMsg* message = curl_multi_info_read(multi_.get(), &left);
    if (message != nullptr) {
      result_ = message->data.result;
    }
    if (result_ == CURLE_OK && received_.head_complete) {
      return Finished{};
    }
    if (!received_.refused.empty()) {
      common::LogEvent(
          common::EventId::kBadResponse,
          common::StrCat("url=", request_.url, " why=", received_.refused));
      return Failed{.sent = true, .reason = std::string(received_.refused)};
    }
    if (result_ == CURLE_OK) {
      // The library takes a connection that closes inside the head for the end
      // of a response without a body.
      return Failed{.sent = true, .reason = "the response's head was cut off"};
    }
    curl_off_t connected_us = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_CONNECT_TIME_T, &connected_us);
    const bool connected = result_ != CURLE_COULDNT_CONNECT && connected_us > 0;
    return Failed{.sent = connected, .reason = curl_easy_strerror(result_)};
  }

  Request request_;
  std::unique_ptr<curl_slist, HeadersDeleter> headers_;
  std::unique_ptr<CURL, EasyDeleter> easy_;
  std::unique_ptr<CURLM, MultiDeleter> multi_;
  Received received_;
  mutable CURLcode result_ = CURLE_OK;
};

Exchange::Exchange(Request request)
    : impl_(std::make_unique<Impl>(std::move(request))) {}

Exchange::~Exchange() = default;

ReadOutcome Exchange::Read(common::Duration timeout) {
  return impl_->Read(timeout);
}

int Exchange::status() const {
  return impl_->status();
}

std::optional<common::Duration> Exchange::retry_after() const {
  return impl_->retry_after();
}

std::variant<Reply, CallFailure> Call(Request request,
                                      common::Duration timeout) {
  const common::Time deadline = common::Clock::now() + timeout;
  const size_t max_reply_bytes = request.max_reply_bytes;
  const std::string url = request.url;
  Exchange exchange(std::move(request));
  Reply reply;
  HeldBytes held;
  while (true) {
    const common::Duration left =
        std::max(deadline - common::Clock::now(), common::Duration::zero());
    ReadOutcome outcome = exchange.Read(left);
    if (auto* data = std::get_if<Data>(&outcome)) {
      if (reply.body.size() + data->bytes.size() > max_reply_bytes ||
          !held.Add(data->bytes.size())) {
        constexpr std::string_view kWhy =
            "the response's body exceeds the size limit";
        common::LogEvent(common::EventId::kBadResponse,
                         common::StrCat("url=", url, " why=", kWhy));
        return CallFailure{.sent = true, .reason = std::string(kWhy)};
      }
      reply.body += data->bytes;
      continue;
    }
    if (std::holds_alternative<Finished>(outcome)) {
      reply.status = exchange.status();
      reply.retry_after = exchange.retry_after();
      return reply;
    }
    if (const auto* failed = std::get_if<Failed>(&outcome)) {
      return CallFailure{failed->sent, failed->reason};
    }
    return CallFailure{.sent = true, .reason = "timed out"};
  }
}

void InitializeLibrary(size_t max_held_bytes) {
  g_max_held_bytes = max_held_bytes;
  const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
  WS_INVARIANT(done == CURLE_OK) << "the HTTP library initializes";
}

}  // namespace wagtailshore::http_client
