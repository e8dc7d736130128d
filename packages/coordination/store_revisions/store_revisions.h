#ifndef COORDINATION_STORE_REVISIONS_STORE_REVISIONS_H_
#define COORDINATION_STORE_REVISIONS_STORE_REVISIONS_H_

#include <cstddef>
#include <cstdint>
#include <set>

// Detects changes of the platform's store that a long poll did not deliver.
namespace wagtailshore::store_revisions {

struct StoreRevisionsOptions {
  // Revisions of rows that are remembered. A forgotten one counts as unread.
  size_t max_rows = 4096;
};

// Collects the revisions in all answers of the store, for all users of the
// store in one process. Each write raises the store's revision by one, whatever
// table it changes, and every answer contains the newest one. A long poll whose
// request or answer was lost looks like one without changes; a revision that is
// newer than the poll's, and that belongs to no row read elsewhere, shows that
// it may have been lost.
class StoreRevisions {
 public:
  explicit StoreRevisions(StoreRevisionsOptions options) : options_(options) {}

  // A row that was last written at `revision` was read, in any table. A write
  // changes one table only.
  void OnRow(uint64_t revision);
  // An answer states the store's newest revision.
  void OnAnswer(uint64_t newest);
  // Whether a table may have changed since `known`, the revision up to which
  // all of its changes were read.
  bool MayHaveChanged(uint64_t known) const;
  // The store went back to an older copy and uses revisions again.
  void OnStoreRestored();

 private:
  StoreRevisionsOptions options_;
  uint64_t newest_ = 0;
  std::set<uint64_t> rows_;
};

}  // namespace wagtailshore::store_revisions

#endif  // COORDINATION_STORE_REVISIONS_STORE_REVISIONS_H_
