#ifndef BENCH_TOPICS_H_
#define BENCH_TOPICS_H_

#include <ostream>

#include "bench/topic.h"

// The function of every topic, one line each; topics.inc names them.
namespace wagtailshore::bench {

// Declarations begin here.
void RolloutTopic(const TopicOptions& options, std::ostream& out);
void MeasureOverload(const TopicOptions& options, std::ostream& out);
void MeasureRetries(const TopicOptions& options, std::ostream& out);
void MeasureRouting(const TopicOptions& options, std::ostream& out);
void AtMostOnce(const TopicOptions& options, std::ostream& out);
void Capacity(const TopicOptions& options, std::ostream& out);
void MeasurePlacement(const TopicOptions& options, std::ostream& out);

}  // namespace wagtailshore::bench

#endif  // BENCH_TOPICS_H_
