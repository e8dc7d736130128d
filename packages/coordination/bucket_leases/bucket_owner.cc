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
  return Decide(call, now);
}

OwnerActions BucketOwner::OnRecorded(const Call& call, const Record& record) {
  const auto running = running_.find(call.key);
  if (running != running_.end()) {
    running->second.push_back(call.sending);
    return {};
  }
  if (record.state == RecordState::kDone) {
    return {Reply{call.sending, claims::AttemptAnswered{record.answer}}};
  }
  return {Reply{call.sending, claims::AttemptUnknown{}}};
}

OwnerActions BucketOwner::Decide(const Call& call, common::Time now) {
  if (refused_.contains(call.sending) || !Owns(now)) {
    return Refuse(call);
  }
  if (row_.barred) {
    // An earlier owner may have run it and lost its record. This sending never
    // runs; a caller who sent the key only once may take a new one.
    refused_.insert(call.sending);
    return {Reply{call.sending, claims::AttemptUnknown{}}};
  }
  row_.records[call.key] = {.state = RecordState::kStarted};
  unwritten_ = true;
  running_[call.key] = {call.sending};
  return {RunCall{call.key}};
}

OwnerActions BucketOwner::Refuse(const Call& call) {
  refused_.insert(call.sending);
  return {
      Reply{call.sending, claims::AttemptNotRun{refusal::Code::kSuperseded}}};
}

OwnerActions BucketOwner::OnServiceAnswer(const std::string& key,
                                          claims::ServiceAnswer answer) {
  return End(key, {.state = RecordState::kDone, .answer = std::move(answer)});
}

OwnerActions BucketOwner::OnServiceSilent(const std::string& key) {
  return End(key, {.state = RecordState::kUnknown});
}

OwnerActions BucketOwner::End(const std::string& key, Record record) {
  const auto running = running_.find(key);
  WS_INVARIANT(running != running_.end()) << "a call ends once";
  const std::vector<std::string> sendings = std::move(running->second);
  running_.erase(running);
  row_.records[key] = std::move(record);
  unwritten_ = true;
  OwnerActions replies;
  for (const std::string& sending : sendings) {
    const OwnerActions one =
        OnRecorded({.sending = sending, .key = key}, row_.records[key]);
    replies.insert(replies.end(), one.begin(), one.end());
  }
  return replies;
}

OwnerActions BucketOwner::OnTick(common::Time now) {
  if (operation_under_way_) {
    return {};
  }
  if (held_ && !unresolved_) {
    return TickAsOwner(now);
  }
  if (!held_ && now < next_look_) {
    return {};
  }
  operation_under_way_ = true;
  next_look_ = now + options_.look_interval;
  return {table::ReadRow{options_.row_key}};
}

OwnerActions BucketOwner::TickAsOwner(common::Time now) {
  if (releasing_) {
    return running_.empty() ? Write(now, /*holds=*/false) : OwnerActions();
  }
  return unwritten_ || now >= next_renewal_ ? Write(now, /*holds=*/true)
                                            : OwnerActions();
}

OwnerActions BucketOwner::Write(common::Time now, bool holds) {
  operation_under_way_ = true;
  unwritten_ = false;
  next_renewal_ = now + options_.renew_interval;
  row_.held = holds;
  if (!holds) {
    // The right to decide ends before the write that gives it to others.
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
  operation_under_way_ = false;
  if (const auto* written = std::get_if<table::RowWritten>(&outcome)) {
    OnOwnRow(last_token_, written->version);
    return {};
  }
  unwritten_ = true;
  if (const auto* conflict = std::get_if<table::WriteConflict>(&outcome)) {
    return OnRow(conflict->current, now);
  }
  unresolved_ = true;
  next_look_ = now;
  return {};
}

OwnerActions BucketOwner::OnRead(const table::ReadOutcome& outcome,
                                 common::Time now) {
  operation_under_way_ = false;
  if (const auto* read = std::get_if<table::RowRead>(&outcome)) {
    return OnRow(read->row, now);
  }
  return {};
}

OwnerActions BucketOwner::OnRow(const table::Row& row, common::Time now) {
  unresolved_ = false;
  if (own_writes_.contains(row.token)) {
    OnOwnRow(row.token, row.version);
    return {};
  }
  if (held_) {
    OnLost(now);
  }
  if (version_ != row.version) {
    version_ = row.version;
    seen_since_ = now;
  }
  if (row.version == 0) {
    return OnOthersRow(BucketRow{}, now);
  }
  const absl::StatusOr<BucketRow> bucket = Parse(row.value);
  // A row that cannot be read is left alone: nothing is run without it.
  return bucket.ok() ? OnOthersRow(*bucket, now) : OwnerActions();
}

void BucketOwner::OnOwnRow(const std::string& token, uint64_t version) {
  const OwnWrite write = own_writes_.at(token);
  version_ = version;
  // Older writes can no longer take effect.
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

OwnerActions BucketOwner::OnOthersRow(const BucketRow& bucket,
                                      common::Time now) {
  if (releasing_) {
    return {};
  }
  // The owner's lease began before its write was seen here.
  const common::Duration wait = bucket.held
                                    ? options_.lease + options_.drift_bound
                                    : options_.wait_when_free;
  return now - seen_since_ >= wait ? Take(bucket, now) : OwnerActions();
}

OwnerActions BucketOwner::Take(const BucketRow& bucket, common::Time now) {
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
      // Whoever ran it is gone.
      own.state = RecordState::kUnknown;
    }
  }
}

}  // namespace wagtailshore::bucket_leases
