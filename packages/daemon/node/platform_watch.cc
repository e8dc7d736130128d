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
  while (WaitForNextLook()) {
    const bool manifest_seen = LookForManifest();
    const bool instances_seen = LookForInstances();
    const bool available = manifest_seen && instances_seen;
    NoteAvailability(available);
    options_.on_looked(available);
  }
}

void PlatformWatch::Look() {
  {
    const std::lock_guard lock(mutex_);
    asked_ = true;
  }
  wake_.notify_all();
}

bool PlatformWatch::WaitForNextLook() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || asked_; });
  asked_ = false;
  return !stopping_;
}

bool PlatformWatch::LookForManifest() {
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

bool PlatformWatch::LookForInstances() {
  auto instances = options_.platform->ListInstances();
  if (!instances.ok()) {
    return false;
  }
  options_.on_instances(*std::move(instances));
  return true;
}

void PlatformWatch::NoteAvailability(bool available) {
  if (available == available_) {
    return;
  }
  available_ = available;
  common::LogEvent(available ? common::EventId::kPlatformBack
                             : common::EventId::kPlatformUnavailable,
                   "");
}

}  // namespace wagtailshore::node
