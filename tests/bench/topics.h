#ifndef BENCH_TOPICS_H_
#define BENCH_TOPICS_H_

#include <ostream>

#include "bench/topic.h"

// Declares the function of each topic in topics.inc, one line each.
namespace wagtailshore::bench {

void MeasureRollout(const TopicOptions& options, std::ostream& out);
void MeasureOverload(const TopicOptions& options, std::ostream& out);
void MeasureRetries(const TopicOptions& options, std::ostream& out);
void MeasureRouting(const TopicOptions& options, std::ostream& out);
void MeasureAtMostOnce(const TopicOptions& options, std::ostream& out);
void MeasureCapacity(const TopicOptions& options, std::ostream& out);
void MeasurePlacement(const TopicOptions& options, std::ostream& out);

}  // namespace wagtailshore::bench

#endif  // BENCH_TOPICS_H_
