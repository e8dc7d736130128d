#include "state/routing/router.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "common/invariant.h"

namespace wagtailshore::routing {
namespace {

// Weight of a new sample in exponentially smoothed values.
constexpr double kSmoothingFactor = 0.1;
// A first-token time or error share counts as excessive above this multiple of
// the target's average.
constexpr double kSlowFactor = 2;
// The penalty for a slow first token halves in this time, so that the endpoint
// is tried again.
constexpr double kSlowHalfLifeMs = 10000;
// Assumed duration of an attempt until one has been measured.
constexpr double kDefaultDurationMs = 1000;

double ToMs(common::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void Smooth(double& value, double sample) {
  value = value == 0 ? sample : value + kSmoothingFactor * (sample - value);
}

void SmoothShare(double& share, double sample) {
  share += kSmoothingFactor * (sample - share);
}

}  // namespace

Router::Router(RouterOptions options)
    : options_(std::move(options)),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      hints_(options_.max_prefixes) {}

Candidate* Router::Find(const std::string& endpoint) {
  const auto found = candidates_.find(endpoint);
  return found == candidates_.end() ? nullptr : &found->second;
}

void Router::Upsert(const std::string& endpoint,
                    const std::string& failure_domain,
                    const std::string& target) {
  Candidate& candidate = candidates_[endpoint];
  if (candidate.id == 0) {
    candidate.id = next_id_++;
    candidate.name = endpoint;
  }
  candidate.failure_domain = failure_domain;
  candidate.target = target;
  RebuildPools();
}

void Router::KeepOnly(const std::set<std::string>& listed) {
  for (const auto& [name, candidate] : candidates_) {
    if (!listed.contains(name)) {
      hints_.RemoveEndpoint(candidate.id);
    }
  }
  std::erase_if(candidates_,
                [&](const auto& item) { return !listed.contains(item.first); });
  RebuildPools();
}

void Router::RebuildPools() {
  by_id_.clear();
  for (auto& [target, pool] : pools_) {
    pool.own_domain.clear();
    pool.other_domains.clear();
  }
  for (auto& [name, candidate] : candidates_) {
    by_id_[candidate.id] = &candidate;
    Pool& pool = pools_[candidate.target];
    const bool is_own = candidate.failure_domain == options_.failure_domain;
    (is_own ? pool.own_domain : pool.other_domains).push_back(&candidate);
  }
}

void Router::OnReport(const std::string& endpoint,
                      LoadReport report,
                      common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate == nullptr) {
    return;
  }
  candidate->report = report;
  const uint32_t total = report.queued + report.running;
  const uint32_t own = candidate->own_load.InFlightAt(now - report.age);
  candidate->other_load = total > own ? total - own : 0;
  if (report.slots > 0) {
    candidate->slots = report.slots;
  } else if (report.queued > 0 && report.running > 0) {
    candidate->slots = report.running;
  }
}

void Router::OnCacheEvent(const std::string& endpoint,
                          const CacheEvent& event) {
  const Candidate* candidate = Find(endpoint);
  if (candidate != nullptr) {
    hints_.OnEvent(candidate->id, event);
  }
}

void Router::SetSlowEndpoints(const std::set<std::string>& endpoints) {
  for (auto& [name, candidate] : candidates_) {
    candidate.slow = endpoints.contains(name);
  }
}

void Router::OnLeaving(const std::string& endpoint) {
  Candidate* candidate = Find(endpoint);
  if (candidate != nullptr) {
    candidate->leaving = true;
  }
}

void Router::OnRestarted(const std::string& endpoint) {
  Candidate* candidate = Find(endpoint);
  if (candidate == nullptr) {
    return;
  }
  candidate->leaving = false;
  candidate->other_load = 0;
  candidate->own_load.Reset();
  hints_.RemoveEndpoint(candidate->id);
}

bool Router::IsEligible(const std::string& endpoint,
                        const std::set<std::string>& avoid) const {
  const auto found = candidates_.find(endpoint);
  return found != candidates_.end() && !found->second.leaving &&
         !avoid.contains(endpoint);
}

void Router::BeginAttempt(const std::string& endpoint, common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate != nullptr) {
    candidate->own_load.Begin(now);
  }
}

void Router::OnSuccess(const std::string& endpoint,
                       AttemptTimes times,
                       common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate == nullptr) {
    return;
  }
  candidate->own_load.End(now);
  candidate->consecutive_failures = 0;
  candidate->ejected_until = common::Time{};
  Smooth(candidate->first_token_ms, ToMs(times.first_token));
  Smooth(candidate->duration_ms, ToMs(times.total));
  candidate->measured_at = now;
  SmoothShare(candidate->error_share, 0);
  SmoothShare(pools_[candidate->target].error_share, 0);
  Smooth(pools_[candidate->target].first_token_ms, ToMs(times.first_token));
}

void Router::OnFailure(const std::string& endpoint, common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate == nullptr) {
    return;
  }
  candidate->own_load.End(now);
  constexpr uint32_t kMaxDoublings = 16;
  const uint32_t doublings =
      std::min(candidate->consecutive_failures, kMaxDoublings);
  ++candidate->consecutive_failures;
  if (!MayEject(*candidate, now)) {
    return;
  }
  const common::Duration ejection = std::min(
      options_.ejection_base * (1 << doublings), options_.ejection_max);
  candidate->ejected_until = now + ejection;
}

void Router::OnBusy(const std::string& endpoint, common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate == nullptr) {
    return;
  }
  candidate->own_load.End(now);
  if (candidate->slots == 0) {
    candidate->slots = std::max(1U, candidate->load());
  }
  const uint32_t own = candidate->own_load.in_flight();
  if (candidate->slots > own) {
    candidate->other_load =
        std::max(candidate->other_load, candidate->slots - own);
  }
}

void Router::OnErrorResponse(const std::string& endpoint, common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate == nullptr) {
    return;
  }
  candidate->own_load.End(now);
  SmoothShare(candidate->error_share, 1);
  SmoothShare(pools_[candidate->target].error_share, 1);
}

void Router::OnAbandoned(const std::string& endpoint, common::Time now) {
  Candidate* candidate = Find(endpoint);
  if (candidate != nullptr) {
    candidate->own_load.End(now);
  }
}

bool Router::MayEject(const Candidate& candidate, common::Time now) const {
  if (candidate.ejected_until > now) {
    return true;
  }
  const Pool& pool = pools_.at(candidate.target);
  size_t ejected = 1;
  for (const auto* part : {&pool.own_domain, &pool.other_domains}) {
    ejected += std::count_if(part->begin(), part->end(), [&](const auto* item) {
      return item->ejected_until > now;
    });
  }
  const size_t all = pool.own_domain.size() + pool.other_domains.size();
  return static_cast<double>(ejected) <=
         std::max(1.0, options_.max_ejected_share * static_cast<double>(all));
}

double Router::WaitMs(const Candidate& candidate,
                      const Pool& pool,
                      common::Time now) const {
  const uint32_t load = candidate.load();
  double wait = options_.wait_per_running_ms * load +
                (candidate.slow ? options_.slow_penalty_ms : 0);
  if (candidate.slots > 0 && load >= candidate.slots) {
    const double duration =
        candidate.duration_ms > 0 ? candidate.duration_ms : kDefaultDurationMs;
    wait += (load - candidate.slots + 1) * duration / candidate.slots;
  }
  const double excess =
      candidate.first_token_ms - kSlowFactor * pool.first_token_ms;
  if (excess > 0) {
    wait += excess *
            std::exp2(-ToMs(now - candidate.measured_at) / kSlowHalfLifeMs);
  }
  const double excess_errors =
      candidate.error_share - kSlowFactor * pool.error_share;
  if (excess_errors > 0) {
    wait += excess_errors * options_.error_penalty_ms;
  }
  return wait;
}

bool Router::CanPick(const PickRequest& request) const {
  const auto found = pools_.find(request.target);
  if (found == pools_.end()) {
    return false;
  }
  const auto usable = [&](const Candidate* candidate) {
    return !candidate->leaving && !request.avoid.contains(candidate->name);
  };
  const Pool& pool = found->second;
  return std::any_of(pool.own_domain.begin(), pool.own_domain.end(), usable) ||
         std::any_of(pool.other_domains.begin(), pool.other_domains.end(),
                     usable);
}

bool Router::IsUsable(const Candidate& candidate,
                      const PickRequest& request,
                      common::Time now,
                      bool with_ejected) const {
  return !candidate.leaving &&
         (with_ejected || candidate.ejected_until <= now) &&
         !request.avoid.contains(candidate.name);
}

void Router::Consider(Candidate* candidate,
                      const Pool& pool,
                      double bonus_ms,
                      common::Time now,
                      Choice& best) const {
  const double score = WaitMs(*candidate, pool, now) - bonus_ms;
  if (best.candidate == nullptr || score < best.score_ms) {
    best = {.candidate = candidate, .score_ms = score};
  }
}

void Router::ConsiderHolders(const std::vector<Candidate*>& from,
                             const Pool& pool,
                             const PickRequest& request,
                             common::Time now,
                             Choice& best) const {
  for (const Prefix& prefix : request.prefixes) {
    const std::vector<uint32_t>* holders = hints_.Holders(prefix.hash);
    if (holders == nullptr) {
      continue;
    }
    for (const uint32_t id : *holders) {
      const auto found = by_id_.find(id);
      if (found == by_id_.end()) {
        continue;
      }
      Candidate* holder = found->second;
      const bool in_part =
          holder->target == request.target &&
          (&from == &pool.own_domain) ==
              (holder->failure_domain == options_.failure_domain);
      if (in_part && IsUsable(*holder, request, now, false)) {
        Consider(holder, pool,
                 prefix.tokens * options_.saved_per_cached_token_ms, now, best);
      }
    }
  }
}

Router::Choice Router::BestOf(std::vector<Candidate*>& from,
                              const Pool& pool,
                              const PickRequest& request,
                              common::Time now,
                              bool with_ejected) {
  Choice best;
  const uint32_t choices = request.busy_refusals > 0 ? 1 : options_.choices;
  uint32_t compared = 0;
  // A partial Fisher-Yates shuffle visits each candidate at most once, so that
  // a single usable one among many is always found.
  for (size_t i = 0; i < from.size() && compared < choices; ++i) {
    std::uniform_int_distribution<size_t> index(i, from.size() - 1);
    std::swap(from[i], from[index(random_)]);
    if (IsUsable(*from[i], request, now, with_ejected)) {
      Consider(from[i], pool, 0, now, best);
      ++compared;
    }
  }
  if (request.busy_refusals == 0) {
    ConsiderHolders(from, pool, request, now, best);
  }
  return best;
}

Router::Choice Router::BestInPool(Pool& pool,
                                  const PickRequest& request,
                                  common::Time now,
                                  bool with_ejected) {
  const Choice own = BestOf(pool.own_domain, pool, request, now, with_ejected);
  if (own.candidate != nullptr) {
    Smooth(pool.own_wait_ms, WaitMs(*own.candidate, pool, now));
    if (pool.own_wait_ms > options_.spill_above_ms) {
      pool.spilling = true;
    } else if (pool.own_wait_ms < options_.spill_below_ms) {
      pool.spilling = false;
    }
    if (!pool.spilling) {
      return own;
    }
  }
  Choice other = BestOf(pool.other_domains, pool, request, now, with_ejected);
  other.score_ms += options_.other_domain_penalty_ms;
  const bool own_is_better =
      own.candidate != nullptr && own.score_ms <= other.score_ms;
  return other.candidate == nullptr || own_is_better ? own : other;
}

Candidate* Router::FindPreferred(const PickRequest& request, common::Time now) {
  for (const std::string& endpoint : request.prefer) {
    Candidate* candidate = Find(endpoint);
    if (candidate != nullptr && candidate->target == request.target &&
        !candidate->slow && IsUsable(*candidate, request, now, false)) {
      return candidate;
    }
  }
  return nullptr;
}

std::optional<std::string> Router::Pick(const PickRequest& request,
                                        common::Time now) {
  const auto found = pools_.find(request.target);
  if (found == pools_.end()) {
    return std::nullopt;
  }
  Choice choice{.candidate = FindPreferred(request, now)};
  if (choice.candidate == nullptr) {
    choice = BestInPool(found->second, request, now, false);
  }
  if (choice.candidate == nullptr) {
    // Without another endpoint, an ejected one is used.
    choice = BestInPool(found->second, request, now, true);
  }
  Candidate* picked = choice.candidate;
  if (picked == nullptr) {
    return std::nullopt;
  }
  WS_INVARIANT(!picked->leaving) << "a leaving endpoint gets no new work";
  WS_INVARIANT(!request.avoid.contains(picked->name))
      << "an avoided endpoint is not picked";
  picked->own_load.Begin(now);
  for (const Prefix& prefix : request.prefixes) {
    hints_.Add(prefix.hash, picked->id);
  }
  return picked->name;
}

double Router::PredictedWaitMs(const std::string& target,
                               common::Time now) const {
  double best = std::numeric_limits<double>::infinity();
  const auto found = pools_.find(target);
  if (found == pools_.end()) {
    return best;
  }
  const Pool& pool = found->second;
  for (const auto* part : {&pool.own_domain, &pool.other_domains}) {
    for (const Candidate* candidate : *part) {
      if (!candidate->leaving) {
        best =
            std::min(best, WaitMs(*candidate, pool, now) + pool.first_token_ms);
      }
    }
  }
  return best;
}

}  // namespace wagtailshore::routing
