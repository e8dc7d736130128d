#include "soak/soak_ledger.h"

#include <set>

#include "common/strings.h"

namespace wagtailshore::soak {
namespace {

// HTTP statuses that guarantee that the request did not run and will not run.
const std::set<int> kNotRunStatuses = {408, 421, 429, 503};

}  // namespace

std::string SoakLedger::BodyOf(const std::string& id) {
  return common::StrCat("answer to ", id);
}

void SoakLedger::OnSent(const std::string& id, const SoakRequest& request) {
  entries_[id].request = request;
}

void SoakLedger::OnRun(const std::string& id, common::Time now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    OnViolation(common::StrCat("a request ran that no caller sent: ", id));
    return;
  }
  Entry& entry = found->second;
  if (++entry.runs > 1 && entry.request.kind == SoakKind::kOnce) {
    OnViolation(common::StrCat("request ran more than once: ", id));
  }
  const auto revoked = revoked_.find(entry.request.key);
  if (revoked != revoked_.end() &&
      entry.request.sent_at > revoked->second + revocation_bound_) {
    OnViolation(common::StrCat(
        "request ran with a revoked key: ", id, " sent ms after: ",
        common::ToMilliseconds(entry.request.sent_at - revoked->second),
        " ran ms after: ", common::ToMilliseconds(now - revoked->second)));
  }
}

void SoakLedger::OnAnswer(const std::string& id,
                          const hosted_world::CallerAnswer& answer) {
  Entry& entry = entries_[id];
  if (answer.status == 200 && answer.complete) {
    ++complete_;
    std::string expected = BodyOf(id);
    if (entry.request.kind == SoakKind::kStream) {
      expected.clear();
      for (int event = 0; event < kEvents; ++event) {
        common::StrAppend(&expected, "id: ", event, "\ndata: ", BodyOf(id),
                          "\n\n");
      }
    }
    if (answer.body != expected) {
      OnViolation(common::StrCat("complete answer with a wrong body: ", id,
                                 " got ", answer.body));
    }
    return;
  }
  if (kNotRunStatuses.contains(answer.status)) {
    ++refused_;
    entry.refused_as_not_run = true;
    return;
  }
  ++other_;
}

void SoakLedger::OnKeyRevoked(const std::string& key, common::Time now) {
  revoked_.emplace(key, now);
}

void SoakLedger::Finish() {
  for (const auto& [id, entry] : entries_) {
    if (entry.refused_as_not_run && entry.runs > 0 &&
        entry.request.kind == SoakKind::kOnce) {
      OnViolation(
          common::StrCat("request refused as not run, but it ran: ", id));
    }
  }
}

}  // namespace wagtailshore::soak
