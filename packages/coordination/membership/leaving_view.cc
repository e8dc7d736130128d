#include "coordination/membership/leaving_view.h"

#include <utility>

namespace wagtailshore::membership {
namespace {

// A word older than this tells nothing any more.
constexpr common::Duration kWordHorizon = common::seconds(60);

}  // namespace

void LeavingView::OnWord(const std::string& endpoint,
                         const std::string& failure_domain,
                         bool leaving,
                         common::Time now) {
  words_[endpoint] = {
      .failure_domain = failure_domain, .leaving = leaving, .heard = now};
}

void LeavingView::OnDigest(const std::string& failure_domain,
                           std::set<std::string> leaving,
                           common::Time as_of) {
  digests_[failure_domain] = {.leaving = std::move(leaving), .as_of = as_of};
}

void LeavingView::OnInstanceList(std::set<std::string> leaving) {
  listed_ = std::move(leaving);
}

std::set<std::string> LeavingView::Leaving(common::Time now) const {
  std::set<std::string> leaving = listed_;
  for (const auto& [endpoint, word] : words_) {
    if (now - word.heard <= kWordHorizon && !word.leaving) {
      leaving.erase(endpoint);
    }
  }
  for (const auto& [failure_domain, digest] : digests_) {
    leaving.insert(digest.leaving.begin(), digest.leaving.end());
  }
  for (const auto& [endpoint, word] : words_) {
    if (now - word.heard > kWordHorizon || IsOutdated(word)) {
      continue;
    }
    if (word.leaving) {
      leaving.insert(endpoint);
    } else {
      leaving.erase(endpoint);
    }
  }
  return leaving;
}

bool LeavingView::IsOutdated(const Word& word) const {
  const auto digest = digests_.find(word.failure_domain);
  return digest != digests_.end() && digest->second.as_of > word.heard;
}

}  // namespace wagtailshore::membership
