// wagtailshore-bench: compares the decision code with baseline strategies,
// under seeded load, with fakes at the interfaces and a virtual clock.

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

#include "bench/topics.h"

namespace wagtailshore::bench {

namespace {

struct Topic {
  std::string name;
  std::string help;
  TopicFunction run;
};

const std::vector<Topic>& Topics() {
  static const std::vector<Topic> topics = {
#include "bench/topics.inc"
  };
  return topics;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Compares the decision code with baselines.", '=');
  std::string names = "one of:";
  for (const Topic& topic : Topics()) {
    names += "\n  " + topic.name + ": " + topic.help;
  }
  TCLAP::UnlabeledValueArg<std::string> name("TOPIC", names, true, "", "topic",
                                             line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the generated load",
                                 false, 1, "number", line);
  TCLAP::ValueArg<std::string> size("", "size", "size of the system", false,
                                    "today", "name", line);
  line.parse(argc, argv);
  for (const Topic& topic : Topics()) {
    if (topic.name == name.getValue()) {
      topic.run({.seed = seed.getValue(), .size = size.getValue()}, std::cout);
      return 0;
    }
  }
  std::cerr << "unknown topic; expected " << names << "\n";
  return 2;
}

}  // namespace
}  // namespace wagtailshore::bench

int main(int argc, char** argv) {
  return wagtailshore::bench::Main(argc, argv);
}
