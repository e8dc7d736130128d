#include "coordination/rollout/submission.h"

#include <utility>

#include "common/strings.h"

namespace wagtailshore::rollout {
namespace {

constexpr uint32_t kMaxTries = 3;

}  // namespace

std::string ManifestObjectName(const std::string& digest) {
  return common::StrCat("manifest-", digest);
}

Submission::Submission(SubmissionOptions options)
    : options_(std::move(options)), tries_left_(kMaxTries) {}

SubmissionAction Submission::Start() {
  return Write();
}

SubmissionAction Submission::Write() {
  if (tries_left_ == 0) {
    return SubmissionUnknown{};
  }
  --tries_left_;
  return table::WriteRow{.key = kManifestRowKey,
                         .expected_version = options_.base_version,
                         .value = options_.digest,
                         .token = options_.token};
}

SubmissionAction Submission::OnWrite(const table::WriteOutcome& outcome) {
  if (const auto* written = std::get_if<table::RowWritten>(&outcome)) {
    return Accepted{written->version};
  }
  if (const auto* conflict = std::get_if<table::WriteConflict>(&outcome)) {
    return OnRow(conflict->current);
  }
  return table::ReadRow{kManifestRowKey};
}

SubmissionAction Submission::OnRead(const table::ReadOutcome& outcome) {
  if (const auto* read = std::get_if<table::RowRead>(&outcome)) {
    return OnRow(read->row);
  }
  return Write();
}

SubmissionAction Submission::OnRow(const table::Row& row) {
  if (row.token == options_.token) {
    return Accepted{row.version};
  }
  if (row.version == options_.base_version) {
    return Write();
  }
  return Conflict{row.version, row.value};
}

}  // namespace wagtailshore::rollout
