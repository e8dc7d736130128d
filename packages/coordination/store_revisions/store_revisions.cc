#include "coordination/store_revisions/store_revisions.h"

#include <algorithm>
#include <iterator>

namespace wagtailshore::store_revisions {

void StoreRevisions::OnRow(uint64_t revision) {
  rows_.insert(revision);
  if (rows_.size() > options_.max_rows) {
    rows_.erase(rows_.begin());
  }
}

void StoreRevisions::OnAnswer(uint64_t newest) {
  newest_ = std::max(newest_, newest);
}

bool StoreRevisions::MayHaveChanged(uint64_t known) const {
  if (newest_ <= known) {
    return false;
  }
  const auto read =
      std::distance(rows_.upper_bound(known), rows_.upper_bound(newest_));
  return static_cast<uint64_t>(read) < newest_ - known;
}

void StoreRevisions::OnStoreRestored() {
  newest_ = 0;
  rows_.clear();
}

}  // namespace wagtailshore::store_revisions
