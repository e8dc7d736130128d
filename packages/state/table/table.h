#ifndef STATE_TABLE_TABLE_H_
#define STATE_TABLE_TABLE_H_

#include <cstdint>
#include <string>
#include <variant>

// The messages exchanged with the platform's transactional table. Decision
// code returns the requests and is given the outcomes.
namespace wagtailshore::table {

// A row's content at one version.
struct Row {
  // Counts the row's writes; 0 stands for a row that does not exist.
  uint64_t version = 0;
  std::string value;
  // Chosen by the writer, unique per write: tells after a lost answer whether
  // the write took effect.
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

// The row as read; version 0 when it does not exist.
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

// No answer. A write may have taken effect nevertheless.
struct Unavailable {};

using ReadOutcome = std::variant<RowRead, Unavailable>;
using WriteOutcome = std::variant<RowWritten, WriteConflict, Unavailable>;

// The content that `write` gives its row.
Row RowAfter(const WriteRow& write);

}  // namespace wagtailshore::table

#endif  // STATE_TABLE_TABLE_H_
