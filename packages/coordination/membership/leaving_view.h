#ifndef COORDINATION_MEMBERSHIP_LEAVING_VIEW_H_
#define COORDINATION_MEMBERSHIP_LEAVING_VIEW_H_

#include <map>
#include <set>
#include <string>

#include "common/time.h"

namespace wagtailshore::membership {

// Which endpoints are leaving, as one entry knows from three sources: their
// own word, the digests of other failure domains, and the platform's lagging
// instance list. The newer of word and digest decides; a fresh word also goes
// before the list, which may still tell of the process before.
class LeavingView {
 public:
  // An endpoint spoke for itself.
  void OnWord(const std::string& endpoint,
              const std::string& failure_domain,
              bool leaving,
              common::Time now);
  // The leaving endpoints of `failure_domain`, by its digest of `as_of`.
  void OnDigest(const std::string& failure_domain,
                std::set<std::string> leaving,
                common::Time as_of);
  // The leaving endpoints by the instance list.
  void OnInstanceList(std::set<std::string> leaving);

  std::set<std::string> Leaving(common::Time now) const;

 private:
  struct Digest {
    std::set<std::string> leaving;
    common::Time as_of{};
  };
  struct Word {
    std::string failure_domain;
    bool leaving = false;
    common::Time heard{};
  };
  std::map<std::string, Word> words_;
  // Whether the digest of the word's failure domain is newer than the word.
  bool IsOutdated(const Word& word) const;

  std::map<std::string, Digest> digests_;
  std::set<std::string> listed_;
};

}  // namespace wagtailshore::membership

#endif  // COORDINATION_MEMBERSHIP_LEAVING_VIEW_H_
