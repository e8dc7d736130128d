#ifndef STATE_TABLE_TABLE_H_
#define STATE_TABLE_TABLE_H_

#include <cstdint>
#include <string>
#include <variant>

// Requests to the platform's transactional table and their outcomes. Decision
// code returns the requests as values and receives the outcomes.
namespace wagtailshore::table {

// The content of a row at one version.
struct Row {
  // Number of writes to the row; 0 for a row that does not exist.
  uint64_t version = 0;
  std::string value;
  // Chosen by the writer and unique per write: shows after a lost response
  // whether the write took effect.
  std::string token;
};

struct ReadRow {
  std::string key;
};

// Replaces the row if its version is still `expected_version`.
struct WriteRow {
  std::string key;
  uint64_t expected_version = 0;
  std::string value;
  std::string token;
};

// The row that was read; version 0 if it does not exist.
struct RowRead {
  Row row;
};

struct RowWritten {
  uint64_t version = 0;
};

// The write did not take effect: the row has another version.
struct WriteConflict {
  Row current;
};

// No response. A write may still have taken effect.
struct Unavailable {};

using ReadOutcome = std::variant<RowRead, Unavailable>;
using WriteOutcome = std::variant<RowWritten, WriteConflict, Unavailable>;

// Returns the content of the row after `write` has taken effect.
Row RowAfter(const WriteRow& write);

}  // namespace wagtailshore::table

#endif  // STATE_TABLE_TABLE_H_
