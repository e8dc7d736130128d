#ifndef E2E_CALLER_H_
#define E2E_CALLER_H_

#include <cstdint>
#include <string>

namespace wagtailshore::e2e {

// The answer to one request as its caller received it.
struct CallerAnswer {
  // The HTTP status; 0 when no response was received.
  int status = 0;
  // The generated text of a stream, or the response body.
  std::string text;
  // Whether the stream ended with a "done" event and without an error, or the
  // response has the status 200.
  bool complete = false;
  // The fields of a refusal.
  std::string code;
  std::string ran;
  bool has_retry_after = false;
};

struct GenerateSpec {
  std::string url;
  std::string key;
  std::string prompt;
  uint64_t tokens = 0;
};

struct PrintSpec {
  std::string url;
  std::string key;
  std::string idempotency_key;
  std::string badge;
};

// Generates text from a streamed model request. Like the other functions here,
// sends one request and waits until it has ended.
CallerAnswer Generate(const GenerateSpec& spec);
// Calls "print" of the service "printing".
CallerAnswer Print(const PrintSpec& spec);
// Looks up the outcome of an earlier call.
CallerAnswer LookUp(const PrintSpec& spec);

}  // namespace wagtailshore::e2e

#endif  // E2E_CALLER_H_
