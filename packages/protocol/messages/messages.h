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
#include "coordination/quarantine/quarantine.h"
#include "state/refusal/refusal.h"
#include "state/routing/router.h"
#include "state/stream/stream_assembler.h"

// Messages between the system's own processes, encoded as msgpack. Decoders
// treat their input as untrusted: they bound sizes and never throw.
namespace wagtailshore::messages {

// HTTP statuses with which an endpoint refuses an attempt that it did not run:
// kBusyStatus if no slot is free, kRefusedStatus otherwise.
inline constexpr int kRefusedStatus = 503;
inline constexpr int kBusyStatus = 429;

// Request from an entry to an endpoint to generate a part of an answer.
struct GenerateAttempt {
  stream::AttemptId id;
  // Name of the intended endpoint. Its address may by now belong to another
  // instance.
  std::string endpoint;
  std::string customer;
  std::string model;
  std::string prompt;
  // Number of tokens already delivered, and their text, which the engine
  // continues.
  uint64_t offset = 0;
  std::string text_so_far;
  uint64_t max_tokens = 0;
  // Time left until the caller's deadline, in milliseconds.
  int64_t deadline_ms = 0;
  std::string priority;
  // Whether the attempt may wait at an endpoint without a free slot.
  bool may_wait = true;
};

// Request from an entry to an endpoint to call its service, which is not a
// model engine.
struct CallAttempt {
  stream::AttemptId id;
  // Name of the intended endpoint.
  std::string endpoint;
  std::string customer;
  std::string service;
  std::string call;
  std::string body;
  std::string idempotency_key;
  // Time left until the caller's deadline, in milliseconds.
  int64_t deadline_ms = 0;
  // Set for non-idempotent calls only.
  std::optional<claims::Dispatch> dispatch;
};

// Result of a CallAttempt, as the endpoint reports it.
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
  // Why the call did not run; meaningful only if `result` is kNotRun.
  refusal::Code code = refusal::Code::kOverloaded;
  // Delay before a retry, in milliseconds; 0 for none.
  int64_t retry_after_ms = 0;
};

// A manifest as sent between processes.
struct ManifestTransfer {
  uint64_t version = 0;
  std::string body;
};

// Request and reply of the control exchange. Each side sends its own identity
// and load, and the state that the other side lacks.
struct PeerExchange {
  membership::PeerInfo info;
  routing::LoadReport load;
  // Set if the receiver is known to have an older version.
  std::optional<ManifestTransfer> manifest;
  // Peer addresses of entries from which the sender recently received messages.
  std::vector<std::string> entries;
  // Digests of failure domains whose endpoints do not send messages to the
  // receiver themselves.
  std::vector<dissemination::DomainDigest> domains;
  // Contents that were in flight when endpoints crashed.
  std::vector<quarantine::SharedRecord> crashed_contents;
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

// Splits a byte stream into messages. Each is preceded by its size in bytes, as
// a 4-byte big-endian integer.
class MessageSplitter {
 public:
  explicit MessageSplitter(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  void Append(std::string_view bytes) { buffer_ += bytes; }
  // Returns the next complete message, nullopt if more bytes are needed, or
  // ResourceExhausted if the announced size exceeds the limit.
  absl::StatusOr<std::optional<std::string>> Next();

 private:
  size_t max_message_bytes_;
  std::string buffer_;
};

// Returns `message` preceded by its size, as MessageSplitter expects it.
std::string AddSizePrefix(std::string_view message);

}  // namespace wagtailshore::messages

#endif  // PROTOCOL_MESSAGES_MESSAGES_H_
