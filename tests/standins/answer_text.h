#ifndef STANDINS_ANSWER_TEXT_H_
#define STANDINS_ANSWER_TEXT_H_

#include <cstdint>
#include <string>

#include "common/digest.h"
#include "common/strings.h"

namespace wagtailshore::standins {

// Returns the token at `index` of the engine stand-in's answer to `prompt`. The
// answer is deterministic, so that any engine can continue where another one
// stopped and a test can predict the complete answer.
inline std::string TokenAt(const std::string& prompt, uint64_t index) {
  constexpr size_t kTokenLength = 4;
  return common::Sha256Hex(common::StrCat(prompt, "/", index))
             .substr(0, kTokenLength) +
         " ";
}

// Returns the complete answer, `tokens` tokens long.
inline std::string AnswerText(const std::string& prompt, uint64_t tokens) {
  std::string text;
  for (uint64_t i = 0; i < tokens; ++i) {
    text += TokenAt(prompt, i);
  }
  return text;
}

}  // namespace wagtailshore::standins

#endif  // STANDINS_ANSWER_TEXT_H_
