#include "state/table/table.h"

namespace wagtailshore::table {

Row RowAfter(const WriteRow& write) {
  return {.version = write.expected_version + 1,
          .value = write.value,
          .token = write.token};
}

}  // namespace wagtailshore::table
