#ifndef BENCH_TOPIC_H_
#define BENCH_TOPIC_H_

#include <cstdint>
#include <ostream>
#include <string>

// A topic is one benchmark of wagtailshore-bench. It prints its results as
// tables. The same seed gives the same results, except for columns that show
// processor time.
namespace wagtailshore::bench {

struct TopicOptions {
  uint64_t seed = 1;
  // Name of a system size, such as "today" or "target". Topics without such a
  // size use their default.
  std::string size = "today";
};

using TopicFunction = void (*)(const TopicOptions&, std::ostream&);

}  // namespace wagtailshore::bench

#endif  // BENCH_TOPIC_H_
