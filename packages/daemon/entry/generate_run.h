#ifndef DAEMON_ENTRY_GENERATE_RUN_H_
#define DAEMON_ENTRY_GENERATE_RUN_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "coordination/exchange/exchange.h"
#include "daemon/entry/admitted.h"
#include "daemon/entry/entry_control.h"
#include "protocol/http_api/http_api.h"
#include "protocol/messages/messages.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::entry {

// Serves one model request: sends its attempts to endpoints and returns the
// answer's text piece by piece. Blocks the calling connection's thread.
class GenerateRun {
 public:
  GenerateRun(EntryControl& control,
              Admitted admitted,
              http_api::GenerateCall call);
  // Ends the attempt in flight, if any.
  ~GenerateRun();
  GenerateRun(const GenerateRun&) = delete;
  GenerateRun& operator=(const GenerateRun&) = delete;

  // Returns the next piece of text, or the refusal that ends the request. Must
  // not be called again after the last piece or a refusal.
  std::variant<exchange::DeliverText, refusal::Refusal> Next();

  // Tokens returned so far.
  uint64_t tokens() const { return exchange_.assembler().next_offset(); }

 private:
  void RecordPiece(const exchange::DeliverText& piece);
  exchange::Action Perform(const exchange::StartAttempt& start);
  exchange::Action Perform(const exchange::ReadFrame& read);
  exchange::Action OnData(const std::string& bytes);
  exchange::Action EndAttempt(exchange::AttemptEnd end,
                              std::optional<common::Duration> retry_after);
  // Chooses an endpoint; waits while the quarantine's rules require it.
  ContentPick PickEndpoint(const exchange::StartAttempt& start);
  // Reports to the router and the quarantine how the current attempt ended.
  void ReportEnd(AttemptResult result, ContentEnd end);

  EntryControl& control_;
  Admitted admitted_;
  http_api::GenerateCall call_;
  exchange::Exchange exchange_;
  std::vector<routing::Prefix> prefixes_;
  // Digest of the model name and the prompt; identifies the content.
  std::string digest_;
  uint64_t content_attempt_ = 0;
  PickedEndpoint endpoint_;
  // Whether the router counts an attempt of this run as in flight.
  bool attempt_in_flight_ = false;
  common::Time sent_at_{};
  std::optional<common::Duration> first_token_;
  // The current attempt's connection and the data received on it.
  std::unique_ptr<http_client::Exchange> connection_;
  std::optional<messages::MessageSplitter> splitter_;
  bool started_ = false;
  metrics::AnswerTimes times_;
  // Tokens that `times_` already includes.
  uint64_t counted_tokens_ = 0;
};

}  // namespace wagtailshore::entry

#endif  // DAEMON_ENTRY_GENERATE_RUN_H_
