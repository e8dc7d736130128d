#include <cstdint>
#include <string>

#include "platform/engine.h"
#include "platform/requests.h"
#include "platform/settings.h"
#include "platform/store.h"

namespace wagtailshore::platform {
namespace {

void DecodeAll(const std::string& text) {
  const http_channel::CallAnswer answer{.status = 200, .body = text};
  const auto rows = DecodeRows(answer);
  if (rows.ok()) {
    (void)FindConfiguration(*rows);
  }
  (void)DecodeConfiguration(text);
  (void)DecodeEndpoint({.key = "e", .value = text});
  (void)DecodeEngineState(answer);
  (void)DecodeExpertCounts(answer);
  (void)DecodeExperts(answer);
  (void)DecodeSettings(text);
  http1::RequestReader reader{http1::ReaderOptions{}};
  const auto progress = reader.Read(text);
  if (progress.ok() && progress->complete) {
    (void)EncodeForwardedHead(
        DecodeCallerRequest(reader.head(), progress->body),
        {.endpoint_id = "e"});
  }
  http1::ResponseReader response{http1::ReaderOptions{}};
  if (response.Read(text).ok() && response.head_complete()) {
    (void)DecodeEndpointAnswer(response.head());
  }
}

}  // namespace
}  // namespace wagtailshore::platform

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  wagtailshore::platform::DecodeAll(std::string(data, data + size));
  return 0;
}
