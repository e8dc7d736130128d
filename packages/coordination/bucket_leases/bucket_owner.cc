#include "coordination/bucket_leases/bucket_owner.h"

#include <algorithm>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::bucket_leases {

BucketOwner::BucketOwner(BucketOwnerOptions options)
    : options_(std::move(options)) {}

OwnerActions BucketOwner::OnCall(const Call& call, common::Time now) {
  const auto record = row_.records.find(call.key);
  if (record != row_.records.end()) {
    return OnRecorded(call, record->second);
  }
  return OnNewCall(call, now);
}

OwnerActions BucketOwner::OnRecorded(const Call& call, const Record& record) {
  const auto running = running_.find(call.key);
  if (running != running_.end()) {
    running->second.push_back(call.request_id);
    return {};
  }
  if (record.state == RecordState::kDone) {
    return {Reply{call.request_id, claims::AttemptAnswered{record.answer}}};
  }
  return {Reply{call.request_id, claims::AttemptUnknown{}}};
}

OwnerActions BucketOwner::OnNewCall(const Call& call, common::Time now) {
  if (refused_requests_.contains(call.request_id) || !Owns(now)) {
    return Refuse(call);
  }
  if (row_.barred) {
    // An earlier owner may have run the call and lost its record, so this
    // request never runs. A caller that sent the key only once may retry with a
    // new key.
    refused_requests_.insert(call.request_id);
    return {Reply{call.request_id, claims::AttemptUnknown{}}};
  }
  row_.records[call.key] = {.state = RecordState::kStarted};
  has_unwritten_records_ = true;
  running_[call.key] = {call.request_id};
  return {RunCall{call.key}};
}

OwnerActions BucketOwner::Refuse(const Call& call) {
  refused_requests_.insert(call.request_id);
  return {Reply{call.request_id,
                claims::AttemptNotRun{refusal::Code::kSuperseded}}};
}

OwnerActions BucketOwner::OnServiceAnswer(const std::string& key,
                                          claims::ServiceAnswer answer) {
  return EndCall(key,
                 {.state = RecordState::kDone, .answer = std::move(answer)});
}

OwnerActions BucketOwner::OnServiceAnswerLost(const std::string& key) {
  return EndCall(key, {.state = RecordState::kUnknown});
}

OwnerActions BucketOwner::EndCall(const std::string& key, Record record) {
  const auto running = running_.find(key);
  WS_INVARIANT(running != running_.end()) << "a call ends once";
  const std::vector<std::string> request_ids = std::move(running->second);
  running_.erase(running);
  row_.records[key] = std::move(record);
  has_unwritten_records_ = true;
  OwnerActions replies;
  for (const std::string& request_id : request_ids) {
    const OwnerActions one =
        OnRecorded({.request_id = request_id, .key = key}, row_.records[key]);
    replies.insert(replies.end(), one.begin(), one.end());
  }
  return replies;
}

OwnerActions BucketOwner::OnTick(common::Time now) {
  if (operation_pending_) {
    return {};
  }
  if (held_ && !last_write_unknown_) {
    return TickAsOwner(now);
  }
  if (!held_ && now < next_read_) {
    return {};
  }
  operation_pending_ = true;
  next_read_ = now + options_.read_interval;
  return {table::ReadRow{options_.row_key}};
}

OwnerActions BucketOwner::TickAsOwner(common::Time now) {
  if (releasing_) {
    return running_.empty() ? Write(now, /*holds=*/false) : OwnerActions();
  }
  return has_unwritten_records_ || now >= next_renewal_
             ? Write(now, /*holds=*/true)
             : OwnerActions();
}

OwnerActions BucketOwner::Write(common::Time now, bool holds) {
  operation_pending_ = true;
  has_unwritten_records_ = false;
  next_renewal_ = now + options_.renew_interval;
  row_.held = holds;
  if (!holds) {
    // Stop deciding before the write that lets another process take over.
    lease_until_ = now;
  }
  last_token_ = options_.new_token();
  own_writes_[last_token_] = {
      .sent_at = now, .expected_version = *version_, .holds = holds};
  return {table::WriteRow{.key = options_.row_key,
                          .expected_version = *version_,
                          .value = Serialize(row_),
                          .token = last_token_}};
}

OwnerActions BucketOwner::OnWrite(const table::WriteOutcome& outcome,
                                  common::Time now) {
  operation_pending_ = false;
  if (const auto* written = std::get_if<table::RowWritten>(&outcome)) {
    OnOwnRow(last_token_, written->version);
    return {};
  }
  has_unwritten_records_ = true;
  if (const auto* conflict = std::get_if<table::WriteConflict>(&outcome)) {
    return OnRow(conflict->current, now);
  }
  last_write_unknown_ = true;
  next_read_ = now;
  return {};
}

OwnerActions BucketOwner::OnRead(const table::ReadOutcome& outcome,
                                 common::Time now) {
  operation_pending_ = false;
  if (const auto* read = std::get_if<table::RowRead>(&outcome)) {
    return OnRow(read->row, now);
  }
  return {};
}

OwnerActions BucketOwner::OnRow(const table::Row& row, common::Time now) {
  last_write_unknown_ = false;
  if (own_writes_.contains(row.token)) {
    OnOwnRow(row.token, row.version);
    return {};
  }
  if (held_) {
    OnLost(now);
  }
  if (version_ != row.version) {
    version_ = row.version;
    version_seen_since_ = now;
  }
  if (row.version == 0) {
    return OnForeignRow(BucketRow{}, now);
  }
  const absl::StatusOr<BucketRow> bucket = Parse(row.value);
  // A row that cannot be decoded is left as it is, and the bucket's calls do
  // not run.
  return bucket.ok() ? OnForeignRow(*bucket, now) : OwnerActions();
}

void BucketOwner::OnOwnRow(const std::string& token, uint64_t version) {
  const OwnWrite write = own_writes_.at(token);
  version_ = version;
  // Writes that expected an older version can no longer take effect.
  std::erase_if(own_writes_, [&](const auto& entry) {
    return entry.first != token && entry.second.expected_version < version;
  });
  held_ = write.holds;
  if (held_ && !releasing_) {
    lease_until_ = std::max(lease_until_, write.sent_at + options_.lease);
  }
}

void BucketOwner::OnLost(common::Time now) {
  WS_INVARIANT(now >= lease_until_)
      << "taken over before the lease ended: " << options_.row_key;
  held_ = false;
}

OwnerActions BucketOwner::OnForeignRow(const BucketRow& bucket,
                                       common::Time now) {
  if (releasing_) {
    return {};
  }
  // The owner's lease started before its write was first seen here, so waiting
  // from that moment is long enough.
  const common::Duration wait = bucket.held
                                    ? options_.lease + options_.drift_bound
                                    : options_.free_bucket_delay;
  return now - version_seen_since_ >= wait ? TakeOver(bucket, now)
                                           : OwnerActions();
}

OwnerActions BucketOwner::TakeOver(const BucketRow& bucket, common::Time now) {
  Merge(bucket.records);
  row_.owner = options_.process;
  row_.epoch = bucket.epoch + 1;
  row_.barred = bucket.barred || bucket.held;
  return Write(now, /*holds=*/true);
}

void BucketOwner::Merge(const std::map<std::string, Record>& records) {
  for (const auto& [key, record] : records) {
    Record& own = row_.records.try_emplace(key, record).first->second;
    if (own.state != RecordState::kDone && !running_.contains(key)) {
      own = record;
    }
    if (own.state == RecordState::kStarted && !running_.contains(key)) {
      // The process that ran the call no longer owns the bucket.
      own.state = RecordState::kUnknown;
    }
  }
}

}  // namespace wagtailshore::bucket_leases
