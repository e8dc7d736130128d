#include "crowd/transmissions.h"

#include "common/strings.h"

namespace wagtailshore::crowd {
namespace {

constexpr size_t kBlockBytes = size_t{64} << 10;
constexpr size_t kMaxHeadBytes = size_t{16} << 10;
constexpr size_t kHeadLineBytes = 1000;
constexpr size_t kEndlessBytes = size_t{2} << 20;
constexpr size_t kPipelinedRequests = 20'000;
constexpr size_t kRequestsWithLargeAnswers = 64;
constexpr size_t kExtensionBytes = 60;

std::string RequestLine(const std::string& method, const std::string& path) {
  return common::StrCat(method, " ", path, " HTTP/1.1\r\n");
}

std::string HeadWithLength(const TargetRequest& target, size_t length) {
  return common::StrCat(RequestLine("POST", target.path), target.headers,
                        "Content-Length: ", length, "\r\n\r\n");
}

std::string HeadWithChunks(const TargetRequest& target) {
  return common::StrCat(RequestLine("POST", target.path), target.headers,
                        "Transfer-Encoding: chunked\r\n\r\n");
}

std::string Bodiless(const TargetRequest& target, const std::string& path) {
  return common::StrCat(RequestLine("GET", path), target.headers, "\r\n");
}

// A body of `length` bytes, of which `missing` at its end are not sent.
Transmission WithLength(const TargetRequest& target,
                        size_t length,
                        size_t missing) {
  Transmission sent{
      .prefix = HeadWithLength(target, length) + target.body_begin,
      .unit = std::string(kBlockBytes, 'x')};
  const size_t middle =
      length - target.body_begin.size() - target.body_end.size();
  // At least one byte is left for the end.
  sent.repeats = (middle - 1) / kBlockBytes;
  sent.suffix =
      std::string(middle - sent.repeats * kBlockBytes, 'x') + target.body_end;
  sent.suffix.resize(sent.suffix.size() - missing);
  return sent;
}

Transmission LargeChunks(const TargetRequest& target, size_t bytes) {
  return {.prefix = HeadWithChunks(target),
          .unit = common::StrCat("10000\r\n", std::string(kBlockBytes, 'x'),
                                 "\r\n"),
          .repeats = bytes / kBlockBytes};
}

Transmission ManyFields(const TargetRequest& target) {
  const std::string field = "f:v\r\n";
  const std::string begin = RequestLine("POST", target.path) + target.headers;
  const std::string end = "Content-Length: 2\r\n\r\nx";
  return {.prefix = begin,
          .unit = field,
          .repeats = (kMaxHeadBytes - begin.size() - end.size()) / field.size(),
          .suffix = end};
}

Transmission HeadShort(const TargetRequest& target) {
  const std::string line =
      common::StrCat("Filler: ", std::string(kHeadLineBytes, 'x'), "\r\n");
  const std::string begin = RequestLine("POST", target.path) + target.headers;
  return {.prefix = begin,
          .unit = line,
          .repeats = (kMaxHeadBytes - begin.size()) / line.size()};
}

}  // namespace

Transmission TransmissionOf(Shape shape, const TargetRequest& target) {
  const size_t size = target.max_body_bytes;
  switch (shape) {
    case Shape::kWhole:
      return WithLength(target, size, /*missing=*/0);
    case Shape::kOneByteShort:
      return WithLength(target, size, /*missing=*/1);
    case Shape::kTrickle: {
      Transmission sent = WithLength(target, size, /*missing=*/0);
      sent.suffix.clear();
      sent.trickles = true;
      return sent;
    }
    case Shape::kLargeChunks:
      return LargeChunks(target, size);
    case Shape::kSmallChunks:
      return {.prefix = HeadWithChunks(target),
              .unit = "1\r\nx\r\n",
              .repeats = size / 4 * 3};
    case Shape::kExtensions:
      return {.prefix = HeadWithChunks(target),
              .unit = common::StrCat("1;", std::string(kExtensionBytes, 'e'),
                                     "\r\nx\r\n"),
              .repeats = size / 16};
    case Shape::kEndlessChunkLine:
      return {.prefix = HeadWithChunks(target) + "1;",
              .unit = std::string(kBlockBytes, 'e'),
              .repeats = kEndlessBytes / kBlockBytes};
    case Shape::kEndlessTrailer:
      return {.prefix = HeadWithChunks(target) + "0\r\n",
              .unit = common::StrCat(
                  "Filler: ", std::string(kHeadLineBytes, 'x'), "\r\n"),
              .repeats = kEndlessBytes / kHeadLineBytes};
    case Shape::kChunksOverLimit:
      return LargeChunks(target, 3 * size);
    case Shape::kLengthOverLimit:
      return WithLength(target, 3 * size, /*missing=*/0);
    case Shape::kTwoBodies: {
      Transmission sent = WithLength(target, size, /*missing=*/0);
      const Transmission once = sent;
      for (size_t i = 0; i < once.repeats; ++i) {
        sent.suffix += i == 0 ? once.prefix + once.unit : once.unit;
      }
      sent.suffix += once.suffix;
      return sent;
    }
    case Shape::kPipelined:
      return {.unit = Bodiless(target, target.bodiless_path),
              .repeats = kPipelinedRequests};
    case Shape::kAnswersNotRead:
      return {.unit = Bodiless(target, target.large_answer_path),
              .repeats = kRequestsWithLargeAnswers,
              .reads = false};
    case Shape::kManyFields:
      return ManyFields(target);
    case Shape::kHeadShort:
      return HeadShort(target);
    case Shape::kIdle:
      return {};
  }
  return {};
}

}  // namespace wagtailshore::crowd
