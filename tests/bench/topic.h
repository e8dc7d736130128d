#ifndef BENCH_TOPIC_H_
#define BENCH_TOPIC_H_

#include <cstdint>
#include <ostream>
#include <string>

// A topic of the measuring program prints one table per run. The same seed
// gives the same table, but for columns that measure processor time.
namespace wagtailshore::bench {

struct TopicOptions {
  uint64_t seed = 1;
  // A name that the topic knows, such as "today" or "target".
  std::string size = "today";
};

using TopicFunction = void (*)(const TopicOptions&, std::ostream&);

}  // namespace wagtailshore::bench

#endif  // BENCH_TOPIC_H_
