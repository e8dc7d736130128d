#include "docs/doc_pages.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace wagtailshore::doc_pages {
namespace {

std::string FileText(const std::string& name) {
  std::ifstream file(std::string(DOCS_DIR) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(DocPagesTest, SettingsPageIsThatOfTheTable) {
  EXPECT_EQ(FileText("SETTINGS.md"), SettingsPage());
}

TEST(DocPagesTest, EventsPageIsThatOfTheCatalogue) {
  EXPECT_EQ(FileText("EVENTS.md"), EventsPage());
}

}  // namespace
}  // namespace wagtailshore::doc_pages
