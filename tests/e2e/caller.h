#ifndef E2E_CALLER_H_
#define E2E_CALLER_H_

#include <cstdint>
#include <string>

namespace wagtailshore::e2e {

// What a caller got for one request.
struct CallerAnswer {
  // 0 when the exchange itself failed.
  int status = 0;
  // The generated text, or the body.
  std::string text;
  // Whether the stream came to its "done" event, or the body to its end.
  bool complete = false;
  // From a refusal.
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

// Each sends one request and waits for its end.
CallerAnswer Generate(const GenerateSpec& spec);
CallerAnswer Print(const PrintSpec& spec);
CallerAnswer LookUp(const PrintSpec& spec);

}  // namespace wagtailshore::e2e

#endif  // E2E_CALLER_H_
