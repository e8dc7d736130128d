#include "daemon/node/platform_watch.h"

#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"
#include "coordination/rollout/submission.h"
#include "protocol/manifest_codec/manifest_codec.h"

namespace wagtailshore::node {

PlatformWatch::PlatformWatch(PlatformWatchOptions options)
    : options_(std::move(options)), thread_([this] { Run(); }) {}

PlatformWatch::~PlatformWatch() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void PlatformWatch::Run() {
  while (WaitForPollRequest()) {
    const bool manifest_answered = PollManifest();
    const bool instances_answered = PollInstances();
    const bool available = manifest_answered && instances_answered;
    UpdateAvailability(available);
    options_.on_polled(available);
  }
}

void PlatformWatch::RequestPoll() {
  {
    const std::lock_guard lock(mutex_);
    poll_requested_ = true;
  }
  wake_.notify_all();
}

bool PlatformWatch::WaitForPollRequest() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || poll_requested_; });
  poll_requested_ = false;
  return !stopping_;
}

bool PlatformWatch::PollManifest() {
  const table::ReadOutcome outcome =
      options_.platform->Read({rollout::kManifestRowKey});
  const auto* read = std::get_if<table::RowRead>(&outcome);
  if (read == nullptr) {
    return false;
  }
  if (read->row.version <= options_.current_version()) {
    return true;
  }
  absl::StatusOr<std::string> body = options_.platform->GetObject(
      rollout::ManifestObjectName(read->row.value));
  if (!body.ok()) {
    return false;
  }
  if (common::Sha256Hex(*body) != read->row.value) {
    common::LogEvent(common::EventId::kManifestRefused,
                     common::StrCat("version=", read->row.version,
                                    " reason=digest_mismatch"));
    return true;
  }
  auto parsed = manifest_codec::Parse(*body);
  auto* manifest = std::get_if<manifest::Manifest>(&parsed);
  if (manifest == nullptr) {
    common::LogEvent(
        common::EventId::kManifestRefused,
        common::StrCat("version=", read->row.version, " reason=findings"));
    return true;
  }
  manifest->version = read->row.version;
  options_.on_manifest(std::make_shared<const rollout::VersionedManifest>(
      rollout::VersionedManifest{.manifest = std::move(*manifest),
                                 .body = *std::move(body),
                                 .digest = read->row.value}));
  return true;
}

bool PlatformWatch::PollInstances() {
  auto instances = options_.platform->ListInstances();
  if (!instances.ok()) {
    return false;
  }
  options_.on_instances(*std::move(instances));
  return true;
}

void PlatformWatch::UpdateAvailability(bool available) {
  if (available == available_) {
    return;
  }
  available_ = available;
  common::LogEvent(available ? common::EventId::kPlatformBack
                             : common::EventId::kPlatformUnavailable,
                   "");
}

}  // namespace wagtailshore::node
