#include "protocol/http1/message_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <type_traits>
#include <utility>

#include "common/strings.h"

namespace wagtailshore::http1 {
namespace {

namespace beast = boost::beast;
using beast::error_code;
using BeastText = beast::string_view;

std::string_view AsStd(BeastText text) {
  return {text.data(), text.size()};
}

// Collects the head and the body. The names of the overridden methods come from
// Boost.Beast.
template <typename Head>
class Parser final
    : public beast::http::basic_parser<std::is_same_v<Head, RequestHead>> {
 public:
  explicit Parser(const ReaderOptions& options) {
    this->header_limit(static_cast<uint32_t>(
        std::min<size_t>(options.max_header_bytes, UINT32_MAX)));
    this->body_limit(options.max_body_bytes);
    this->eager(true);
    this->skip(options.without_body);
  }

  Head& head() { return head_; }
  std::string TakeBody() { return std::exchange(body_, {}); }

 private:
  void on_request_impl(beast::http::verb,
                       BeastText method,
                       BeastText target,
                       int version,
                       error_code& error) override {
    if constexpr (std::is_same_v<Head, RequestHead>) {
      head_.method = AsStd(method);
      head_.target = AsStd(target);
      head_.chunks_allowed = version >= kVersion11;
    }
    error = {};
  }

  void on_response_impl(int status,
                        BeastText reason,
                        int,
                        error_code& error) override {
    if constexpr (std::is_same_v<Head, ResponseHead>) {
      head_.status = status;
      head_.reason = AsStd(reason);
    }
    error = {};
  }

  void on_field_impl(beast::http::field,
                     BeastText name,
                     BeastText value,
                     error_code& error) override {
    head_.headers.Add(AsStd(name), AsStd(value));
    error = {};
  }

  void on_header_impl(error_code& error) override { error = {}; }

  void on_body_init_impl(const boost::optional<uint64_t>&,
                         error_code& error) override {
    error = {};
  }

  size_t on_body_impl(BeastText body, error_code& error) override {
    body_.append(body.data(), body.size());
    error = {};
    return body.size();
  }

  void on_chunk_header_impl(uint64_t, BeastText, error_code& error) override {
    error = {};
  }

  size_t on_chunk_body_impl(uint64_t,
                            BeastText body,
                            error_code& error) override {
    return on_body_impl(body, error);
  }

  void on_finish_impl(error_code& error) override { error = {}; }

  static constexpr int kVersion11 = 11;

  Head head_;
  std::string body_;
};

absl::Status ToStatus(const error_code& error) {
  const std::string message = error.message();
  if (error == beast::http::error::header_limit) {
    return absl::OutOfRangeError(message);
  }
  if (error == beast::http::error::body_limit) {
    return absl::ResourceExhaustedError(message);
  }
  return absl::InvalidArgumentError(message);
}

}  // namespace

ReadError ReadErrorOf(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kOutOfRange:
      return ReadError::kHeadTooLarge;
    case absl::StatusCode::kResourceExhausted:
      return ReadError::kBodyTooLarge;
    default:
      return ReadError::kBadMessage;
  }
}

template <typename Head>
class MessageReader<Head>::Impl {
 public:
  explicit Impl(const ReaderOptions& options) : parser_(options) {}

  absl::StatusOr<Progress> Read(std::string_view input) {
    Progress progress;
    while (!parser_.is_done() && progress.consumed < input.size()) {
      const std::string_view rest = input.substr(progress.consumed);
      error_code error;
      const size_t consumed =
          parser_.put(boost::asio::buffer(rest.data(), rest.size()), error);
      progress.consumed += consumed;
      if (error == beast::http::error::need_more) {
        break;
      }
      if (error) {
        return ToStatus(error);
      }
      if (consumed == 0) {
        break;
      }
    }
    if (!head_complete_ && parser_.is_header_done()) {
      head_complete_ = true;
      progress.head_complete = true;
      FinishHead();
      if (!HasSupportedCoding()) {
        return absl::InvalidArgumentError("unsupported transfer coding");
      }
    }
    progress.body = parser_.TakeBody();
    progress.complete = parser_.is_done();
    return progress;
  }

  absl::Status ReadEnd() {
    error_code error;
    parser_.put_eof(error);
    return error ? ToStatus(error) : absl::OkStatus();
  }

  bool head_complete() const { return head_complete_; }
  Head& head() { return parser_.head(); }
  std::optional<uint64_t> content_length() const {
    const auto length = parser_.content_length();
    return length.has_value() ? std::optional<uint64_t>(*length) : std::nullopt;
  }

 private:
  // Whether the body is chunked or has no transfer coding. Any other coding
  // would be forwarded without being decoded.
  bool HasSupportedCoding() {
    const Headers& headers = parser_.head().headers;
    const std::string* coding = headers.Find("Transfer-Encoding");
    return coding == nullptr || (headers.Count("Transfer-Encoding") == 1 &&
                                 EqualsIgnoreCase(*coding, "chunked"));
  }

  void FinishHead() {
    parser_.head().keep_alive = parser_.keep_alive();
    if constexpr (std::is_same_v<Head, ResponseHead>) {
      parser_.head().until_close = parser_.need_eof();
    }
  }

  Parser<Head> parser_;
  bool head_complete_ = false;
};

template <typename Head>
MessageReader<Head>::MessageReader(const ReaderOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

template <typename Head>
MessageReader<Head>::~MessageReader() = default;

template <typename Head>
MessageReader<Head>::MessageReader(MessageReader&&) noexcept = default;

template <typename Head>
MessageReader<Head>& MessageReader<Head>::operator=(MessageReader&&) noexcept =
    default;

template <typename Head>
absl::StatusOr<Progress> MessageReader<Head>::Read(std::string_view input) {
  return impl_->Read(input);
}

template <typename Head>
absl::Status MessageReader<Head>::ReadEnd() {
  return impl_->ReadEnd();
}

template <typename Head>
bool MessageReader<Head>::head_complete() const {
  return impl_->head_complete();
}

template <typename Head>
const Head& MessageReader<Head>::head() const {
  return impl_->head();
}

template <typename Head>
std::optional<uint64_t> MessageReader<Head>::content_length() const {
  return impl_->content_length();
}

template class MessageReader<RequestHead>;
template class MessageReader<ResponseHead>;

}  // namespace wagtailshore::http1
