#ifndef STATE_FLEET_FLEET_H_
#define STATE_FLEET_FLEET_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"

// The endpoints that a gateway may send requests to.
namespace wagtailshore::fleet {

// An endpoint's entry in the platform's list.
struct EndpointRecord {
  // Unique among processes that run at the same time.
  std::string id;
  std::string service;
  // "IP:port"
  std::string address;
  std::string failure_domain;
  int slots = 0;
  bool draining = false;
  // Distinguishes a restarted process from the previous one with the same id; 0
  // if unknown.
  int64_t started_at_ms = 0;

  bool operator==(const EndpointRecord&) const = default;
};

// Returns "ID/START", which names one process of an endpoint: a restarted one
// has another name.
std::string ProcessName(const EndpointRecord& endpoint);

struct FleetOptions {
  // Time after an outage of the list within which live endpoints are listed
  // again whose entries lapsed during it. The platform's contract says "about
  // two seconds"; the list is available again slightly before it is first read.
  common::Duration relisting_time = common::milliseconds(2200);
  // Time for which a list that went back to an older copy may contain processes
  // that had left: three heartbeats, after which silent entries lapse, and two
  // more for the platform to remove them.
  common::Duration resurrection_time = common::milliseconds(6000);
  // How long processes that left the list are remembered.
  common::Duration departure_memory = common::seconds(60);
};

// Changes from one read of the list to the next, as endpoint ids.
struct FleetChange {
  // New or restarted.
  std::vector<std::string> started;
  std::vector<std::string> draining;
  std::vector<std::string> gone;

  bool empty() const {
    return started.empty() && draining.empty() && gone.empty();
  }
};

// Follows the platform's list while it can be read, and keeps the last known
// endpoints while it cannot. A draining endpoint never becomes usable again
// until it restarts.
class Fleet {
 public:
  explicit Fleet(FleetOptions options) : options_(options) {}

  // Applies the list that was requested at `requested_at` and arrived at
  // `received_at`.
  FleetChange OnList(const std::vector<EndpointRecord>& records,
                     common::Time requested_at,
                     common::Time received_at);
  // Sets the services that the configuration names. An entry of any other
  // service names no endpoint to use and does not displace one at its address.
  void OnServices(std::set<std::string> services);
  // Another process than the one listed as `id` answered at its address: the
  // endpoint gets no new work until it restarts.
  void OnMisdirected(const std::string& id);
  // The process has said itself that it is leaving: it gets no new work,
  // whatever the list says. Returns whether that is new.
  bool OnLeaving(const std::string& id,
                 const std::string& process,
                 common::Time now);
  // The list could not be read.
  void OnListUnavailable();
  // The list went back to an older copy of itself. Live endpoints are listed
  // again as after an outage. Entries of the copy may lapse before that, so
  // unlike then a listed entry proves nothing. Processes that had left may be
  // listed for longer and stay gone.
  void OnListRestored(common::Time now);

  // Returns the endpoint, or null if it is unknown or must not get new work: it
  // is draining, or its address belongs to a later process.
  const EndpointRecord* FindUsable(const std::string& id) const;
  const EndpointRecord* Find(const std::string& id) const;
  const std::map<std::string, EndpointRecord>& endpoints() const {
    return endpoints_;
  }
  // Whether the list has been read at least once.
  bool has_list() const { return read_at_.has_value(); }
  // Until this time a missing entry may have lapsed during an outage of the
  // list or been lost with it, and its endpoint is kept. nullopt if the list is
  // unavailable or no entry can be missing for that reason.
  std::optional<common::Time> relisting_ends_at() const {
    return was_unavailable_ && available_since_.has_value()
               ? std::optional(*available_since_ + options_.relisting_time)
               : std::nullopt;
  }
  // Endpoints that are kept though the last list that was read lacks them.
  const std::set<std::string>& unlisted() const { return unlisted_; }
  // Time at which the last list that was read had been requested.
  std::optional<common::Time> read_at() const { return read_at_; }

 private:
  void FindReplaced();
  // Whether the list may still contain processes that left before it went back
  // to an older copy.
  bool MayResurrect(common::Time requested_at) const;
  // Whether the process had left before the list went back to an older copy.
  bool HasDeparted(const EndpointRecord& record) const;

  FleetOptions options_;
  std::set<std::string> services_;
  std::map<std::string, EndpointRecord> endpoints_;
  // Endpoints whose address belongs to a later process, by the list or by
  // OnMisdirected().
  std::set<std::string> replaced_;
  std::optional<common::Time> read_at_;
  // When the first list since the start or the last outage arrived; unset until
  // then. Its request may have waited for the end of the outage.
  std::optional<common::Time> available_since_;
  bool was_unavailable_ = false;
  // Endpoints listed since the end of the outage: if they are missing later,
  // they did not lapse in it.
  std::set<std::string> listed_since_;
  std::set<std::string> unlisted_;
  // Processes that said themselves that they are leaving, and when they were
  // last listed or said so. An entry may be removed and come back unchanged.
  std::map<std::string, common::Time> announced_;
  // When processes left the list, by name.
  std::map<std::string, common::Time> departed_;
  // When the list last went back to an older copy.
  std::optional<common::Time> restored_at_;
  // Whether the last outage ended with an older copy.
  bool older_copy_ = false;
};

}  // namespace wagtailshore::fleet

#endif  // STATE_FLEET_FLEET_H_
