#include "state/fleet/fleet.h"

#include <algorithm>

namespace wagtailshore::fleet {

FleetChange Fleet::OnList(const std::vector<EndpointRecord>& records,
                          common::Time asked_at) {
  if (!back_since_.has_value()) {
    back_since_ = asked_at;
  }
  read_at_ = asked_at;
  FleetChange change;
  std::set<std::string> listed;
  for (const EndpointRecord& record : records) {
    listed.insert(record.id);
    const auto found = endpoints_.find(record.id);
    if (found == endpoints_.end() ||
        found->second.started_at_ms != record.started_at_ms) {
      endpoints_[record.id] = record;
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
  const bool lapses_possible =
      was_unavailable_ && asked_at - *back_since_ < options_.relisting_time;
  if (lapses_possible) {
    return change;
  }
  was_unavailable_ = false;
  std::erase_if(endpoints_, [&](const auto& item) {
    if (listed.contains(item.first)) {
      return false;
    }
    change.gone.push_back(item.first);
    return true;
  });
  return change;
}

void Fleet::OnListUnavailable(common::Time) {
  was_unavailable_ = true;
  back_since_.reset();
}

const EndpointRecord* Fleet::Find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const EndpointRecord* Fleet::FindUsable(const std::string& id) const {
  const EndpointRecord* record = Find(id);
  return record == nullptr || record->draining ? nullptr : record;
}

}  // namespace wagtailshore::fleet
