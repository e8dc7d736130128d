#ifndef COORDINATION_ROLLOUT_SUBMISSION_H_
#define COORDINATION_ROLLOUT_SUBMISSION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "state/table/table.h"

namespace wagtailshore::rollout {

// The table row whose version is the version of the manifest in force and
// whose value is the digest of the manifest's body in the object store.
inline constexpr char kManifestRowKey[] = "manifest";

// Returns the name of the object that holds the body with this digest.
std::string ManifestObjectName(const std::string& digest);

struct SubmissionOptions {
  // The version that the operator's change is based on; 0 for the first.
  uint64_t base_version = 0;
  std::string digest;
  // Identifies the submission; a retry of the same submission has the same one.
  std::string token;
};

// Final outcomes.
struct Accepted {
  uint64_t version = 0;
};
struct Conflict {
  uint64_t current_version = 0;
  std::string current_digest;
};
// The manifest may have been accepted. Submitting again with the same token
// shows whether it was.
struct SubmissionUnknown {};

using SubmissionAction = std::variant<table::ReadRow,
                                      table::WriteRow,
                                      Accepted,
                                      Conflict,
                                      SubmissionUnknown>;

// Moves the manifest row from the base version to the next one, at most once
// even if answers are lost. The body must be in the object store before
// Start(). Does no I/O: the caller carries out the returned actions and reports
// the outcomes.
class Submission {
 public:
  explicit Submission(SubmissionOptions options);

  SubmissionAction Start();
  SubmissionAction OnWrite(const table::WriteOutcome& outcome);
  SubmissionAction OnRead(const table::ReadOutcome& outcome);

 private:
  SubmissionAction Write();
  SubmissionAction OnRow(const table::Row& row);

  SubmissionOptions options_;
  uint32_t tries_left_;
};

}  // namespace wagtailshore::rollout

#endif  // COORDINATION_ROLLOUT_SUBMISSION_H_
