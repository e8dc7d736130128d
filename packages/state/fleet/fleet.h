#ifndef STATE_FLEET_FLEET_H_
#define STATE_FLEET_FLEET_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"

// The endpoints that a gateway may send work to.
namespace wagtailshore::fleet {

// What an endpoint says of itself in the platform's list.
struct EndpointRecord {
  // Unique among processes that run at the same time.
  std::string id;
  std::string service;
  // "IP:port"
  std::string address;
  std::string failure_domain;
  int slots = 0;
  bool draining = false;
  // Tells a restarted process of the same id from the one before; 0 if unknown.
  int64_t started_at_ms = 0;

  bool operator==(const EndpointRecord&) const = default;
};

struct FleetOptions {
  // An entry that lapsed while the list was unavailable is back this long after
  // the list is, if its endpoint lives. Source: the platform's contract, "about
  // two seconds"; the list is back a little before it is read first.
  common::Duration relisting_time = common::milliseconds(2200);
};

// What changed with one reading of the list.
struct FleetChange {
  // New, or started anew.
  std::vector<std::string> started;
  std::vector<std::string> draining;
  std::vector<std::string> gone;

  bool empty() const {
    return started.empty() && draining.empty() && gone.empty();
  }
};

// Believes the list while it can be read, and keeps what it knew while it
// cannot. A draining endpoint never becomes usable again in the same lifetime.
class Fleet {
 public:
  explicit Fleet(FleetOptions options) : options_(options) {}

  // A reading of the list, asked for at `asked_at`.
  FleetChange OnList(const std::vector<EndpointRecord>& records,
                     common::Time asked_at);
  // The endpoint at that address is not, or not any more, the one listed as
  // `id`: it gets no new work in this lifetime.
  void OnMisdirected(const std::string& id);
  // A reading failed.
  void OnListUnavailable();

  // Null for endpoints that must not get new work: draining ones, and those
  // whose address has passed to a later process.
  const EndpointRecord* FindUsable(const std::string& id) const;
  const EndpointRecord* Find(const std::string& id) const;
  const std::map<std::string, EndpointRecord>& endpoints() const {
    return endpoints_;
  }
  // Whether the list was ever read.
  bool known() const { return read_at_.has_value(); }
  // Until then entries that are missing may have lapsed in an outage; nothing
  // when none may have.
  std::optional<common::Time> lapses_end_at() const {
    return was_unavailable_ && back_since_.has_value()
               ? std::optional(*back_since_ + options_.relisting_time)
               : std::nullopt;
  }
  // When the last successful reading was asked for.
  std::optional<common::Time> read_at() const { return read_at_; }

 private:
  void FindReplaced();

  FleetOptions options_;
  std::map<std::string, EndpointRecord> endpoints_;
  // Endpoints whose address answers, or is listed, for a later process.
  std::set<std::string> replaced_;
  std::optional<common::Time> read_at_;
  // The list has been readable again since then; unset while it is not.
  std::optional<common::Time> back_since_;
  bool was_unavailable_ = false;
  // Listed since the list was back: these did not lapse in the outage.
  std::set<std::string> listed_since_;
};

}  // namespace wagtailshore::fleet

#endif  // STATE_FLEET_FLEET_H_
