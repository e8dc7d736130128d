#ifndef PROTOCOL_MESSAGES_MESSAGES_H_
#define PROTOCOL_MESSAGES_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "coordination/claims/endpoint_claim.h"
#include "coordination/dissemination/digest_book.h"
#include "coordination/membership/peer_table.h"
#include "state/refusal/refusal.h"
#include "state/routing/router.h"
#include "state/stream/stream_assembler.h"

// The messages between the system's own processes and their msgpack form.
// Decoders treat their input as hostile: they bound sizes and never throw.
namespace wagtailshore::messages {

// HTTP status of an endpoint that refuses an attempt as not run: at all, or
// because no slot is free.
inline constexpr int kRefusedStatus = 503;
inline constexpr int kBusyStatus = 429;

// An entry asks an endpoint to generate a part of an answer.
struct GenerateAttempt {
  stream::AttemptId id;
  // Name of the endpoint that is meant: addresses pass to other instances.
  std::string endpoint;
  std::string customer;
  std::string model;
  std::string prompt;
  // Tokens already delivered, and their text, which the engine continues.
  uint64_t offset = 0;
  std::string text_so_far;
  uint64_t max_tokens = 0;
  // Time left until the caller's deadline, in milliseconds.
  int64_t deadline_ms = 0;
  std::string priority;
  // Whether the attempt may wait at an endpoint without a free slot.
  bool may_wait = true;
};

// An entry asks an endpoint to call its plain service.
struct CallAttempt {
  stream::AttemptId id;
  // Name of the endpoint that is meant.
  std::string endpoint;
  std::string customer;
  std::string service;
  std::string call;
  std::string body;
  std::string idempotency_key;
  int64_t deadline_ms = 0;
  // Set for non-idempotent calls only.
  std::optional<claims::Dispatch> dispatch;
};

// An endpoint's word on a CallAttempt.
enum class CallResult { kAnswered, kNotRun, kUnknown };

inline constexpr common::EnumNames<CallResult, 3> kCallResultNames = {{
    {CallResult::kAnswered, "answered"},
    {CallResult::kNotRun, "not_run"},
    {CallResult::kUnknown, "unknown"},
}};

struct CallReply {
  stream::AttemptId id;
  CallResult result = CallResult::kUnknown;
  claims::ServiceAnswer answer;
  // Why it did not run, when `result` is kNotRun.
  refusal::Code code = refusal::Code::kOverloaded;
  // In milliseconds; 0 for none.
  int64_t retry_after_ms = 0;
};

// A manifest on its way between processes.
struct ManifestTransfer {
  uint64_t version = 0;
  std::string body;
};

// The control exchange, request and reply alike: each side tells what it is
// and how loaded, and hands over what the other lacks.
struct PeerExchange {
  membership::PeerInfo info;
  routing::LoadReport load;
  // Sent when the receiver is known to hold an older one.
  std::optional<ManifestTransfer> manifest;
  // Peer addresses of entries that the sender heard lately.
  std::vector<std::string> entries;
  // Of failure domains whose endpoints the receiver does not hear itself.
  std::vector<dissemination::DomainDigest> domains;
};

std::string Encode(const GenerateAttempt& message);
std::string Encode(const CallAttempt& message);
std::string Encode(const CallReply& message);
std::string Encode(const PeerExchange& message);
std::string Encode(const stream::Frame& message);

absl::StatusOr<GenerateAttempt> DecodeGenerateAttempt(std::string_view bytes);
absl::StatusOr<CallAttempt> DecodeCallAttempt(std::string_view bytes);
absl::StatusOr<CallReply> DecodeCallReply(std::string_view bytes);
absl::StatusOr<PeerExchange> DecodePeerExchange(std::string_view bytes);
absl::StatusOr<stream::Frame> DecodeFrame(std::string_view bytes);

// Splits a byte stream into messages. Each is preceded by its size, four
// bytes, most significant first.
class MessageSplitter {
 public:
  explicit MessageSplitter(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  void Append(std::string_view bytes) { buffer_ += bytes; }
  // The next whole message; nothing when more bytes are needed; an error when
  // the announced size is beyond the limit.
  absl::StatusOr<std::optional<std::string>> Next();

 private:
  size_t max_message_bytes_;
  std::string buffer_;
};

// `message` with its size before it.
std::string WithSize(std::string_view message);

}  // namespace wagtailshore::messages

#endif  // PROTOCOL_MESSAGES_MESSAGES_H_
