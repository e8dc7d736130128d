#ifndef STANDINS_ANSWER_TEXT_H_
#define STANDINS_ANSWER_TEXT_H_

#include <cstdint>
#include <string>

#include "common/digest.h"
#include "common/strings.h"

namespace wagtailshore::standins {

// The token at `index` of the engine stand-in's answer to `prompt`. A fixed
// function, so that any engine can go on where another one stopped and a test
// knows the whole answer.
inline std::string TokenAt(const std::string& prompt, uint64_t index) {
  constexpr size_t kTokenLength = 4;
  return common::Sha256Hex(common::StrCat(prompt, "/", index))
             .substr(0, kTokenLength) +
         " ";
}

// The whole answer.
inline std::string AnswerText(const std::string& prompt, uint64_t tokens) {
  std::string text;
  for (uint64_t i = 0; i < tokens; ++i) {
    text += TokenAt(prompt, i);
  }
  return text;
}

}  // namespace wagtailshore::standins

#endif  // STANDINS_ANSWER_TEXT_H_
