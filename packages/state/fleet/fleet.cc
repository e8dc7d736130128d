#include "state/fleet/fleet.h"

#include <algorithm>
#include <utility>

#include "common/strings.h"

namespace wagtailshore::fleet {

std::string ProcessName(const EndpointRecord& endpoint) {
  return common::StrCat(endpoint.id, "/", endpoint.started_at_ms);
}

FleetChange Fleet::OnList(const std::vector<EndpointRecord>& records,
                          common::Time requested_at,
                          common::Time received_at) {
  if (!available_since_.has_value()) {
    available_since_ = received_at;
  }
  read_at_ = requested_at;
  const bool may_resurrect = MayResurrect(requested_at);
  std::erase_if(departed_, [&](const auto& item) {
    return !may_resurrect &&
           item.second + options_.departure_memory < requested_at;
  });
  FleetChange change;
  std::set<std::string> listed;
  for (EndpointRecord record : records) {
    const auto announced = announced_.find(ProcessName(record));
    if (announced != announced_.end()) {
      announced->second = requested_at;
      record.draining = true;
    }
    if (may_resurrect && HasDeparted(record)) {
      continue;
    }
    listed.insert(record.id);
    const auto found = endpoints_.find(record.id);
    if (found != endpoints_.end() && may_resurrect &&
        record.started_at_ms < found->second.started_at_ms) {
      // An entry of the process before it.
      continue;
    }
    if (found == endpoints_.end() ||
        found->second.started_at_ms != record.started_at_ms) {
      if (found != endpoints_.end()) {
        departed_[ProcessName(found->second)] = requested_at;
      }
      endpoints_[record.id] = record;
      replaced_.erase(record.id);
      change.started.push_back(record.id);
      if (record.draining) {
        change.draining.push_back(record.id);
      }
      continue;
    }
    const bool was_draining = found->second.draining;
    found->second = record;
    found->second.draining = was_draining || record.draining;
    if (record.draining && !was_draining) {
      change.draining.push_back(record.id);
    }
  }
  const auto relisting_end = relisting_ends_at();
  const bool relisting_possible =
      relisting_end.has_value() && requested_at < *relisting_end;
  was_unavailable_ = relisting_possible;
  older_copy_ = older_copy_ && relisting_possible;
  unlisted_.clear();
  std::erase_if(endpoints_, [&](const auto& item) {
    const bool may_be_relisted =
        relisting_possible &&
        (older_copy_ || !listed_since_.contains(item.first));
    if (listed.contains(item.first)) {
      return false;
    }
    if (may_be_relisted) {
      unlisted_.insert(item.first);
      return false;
    }
    departed_[ProcessName(item.second)] = requested_at;
    change.gone.push_back(item.first);
    replaced_.erase(item.first);
    return true;
  });
  listed_since_.insert(listed.begin(), listed.end());
  std::erase_if(announced_, [&](const auto& item) {
    return item.second + options_.departure_memory < requested_at;
  });
  FindReplaced();
  return change;
}

void Fleet::FindReplaced() {
  std::map<std::string, const EndpointRecord*> latest;
  for (const auto& [id, record] : endpoints_) {
    if (!services_.contains(record.service)) {
      continue;
    }
    const EndpointRecord*& at_address = latest[record.address];
    if (at_address == nullptr) {
      at_address = &record;
      continue;
    }
    const bool later = record.started_at_ms > at_address->started_at_ms;
    replaced_.insert(later ? at_address->id : record.id);
    if (later) {
      at_address = &record;
    }
  }
}

void Fleet::OnServices(std::set<std::string> services) {
  services_ = std::move(services);
  FindReplaced();
}

void Fleet::OnMisdirected(const std::string& id) {
  if (endpoints_.contains(id)) {
    replaced_.insert(id);
  }
}

bool Fleet::OnLeaving(const std::string& id,
                      const std::string& process,
                      common::Time now) {
  announced_[process] = now;
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() || ProcessName(found->second) != process) {
    return false;
  }
  return !std::exchange(found->second.draining, true);
}

bool Fleet::MayResurrect(common::Time requested_at) const {
  return restored_at_.has_value() &&
         requested_at < *restored_at_ + options_.resurrection_time;
}

bool Fleet::HasDeparted(const EndpointRecord& record) const {
  const auto found = departed_.find(ProcessName(record));
  return found != departed_.end() && found->second <= *restored_at_;
}

void Fleet::OnListRestored(common::Time now) {
  restored_at_ = now;
  older_copy_ = true;
  OnListUnavailable();
}

void Fleet::OnListUnavailable() {
  was_unavailable_ = true;
  available_since_.reset();
  listed_since_.clear();
}

const EndpointRecord* Fleet::Find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const EndpointRecord* Fleet::FindUsable(const std::string& id) const {
  const EndpointRecord* record = Find(id);
  const bool usable =
      record != nullptr && !record->draining && !replaced_.contains(id);
  return usable ? record : nullptr;
}

}  // namespace wagtailshore::fleet
