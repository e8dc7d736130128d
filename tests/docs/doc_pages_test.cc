#include "docs/doc_pages.h"

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/manifest_codec/manifest_codec.h"
#include "state/refusal/refusal.h"

namespace wagtailshore::doc_pages {
namespace {

std::string ReadDocsFile(const std::string& name) {
  std::ifstream file(std::string(DOCS_DIR) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(DocPagesTest, SettingsPageIsThatOfTheTable) {
  EXPECT_EQ(ReadDocsFile("SETTINGS.md"), SettingsPage());
}

TEST(DocPagesTest, EventsPageIsThatOfTheCatalogue) {
  EXPECT_EQ(ReadDocsFile("EVENTS.md"), EventsPage());
}

bool Mentions(const std::string& page, std::string_view name) {
  return page.find("`" + std::string(name) + "`") != std::string::npos;
}

TEST(DocPagesTest, ApiPageNamesEveryRefusal) {
  const std::string page = ReadDocsFile("API.md");
  for (const auto& code : refusal::kCodeNames) {
    EXPECT_TRUE(Mentions(page, code.name)) << code.name;
  }
}

TEST(DocPagesTest, ManifestPageNamesEveryFieldAndPhase) {
  const std::string page = ReadDocsFile("MANIFEST.md");
  for (const auto& phase : manifest::kWindDownPhaseNames) {
    EXPECT_TRUE(Mentions(page, phase.name)) << phase.name;
  }
  manifest::Manifest manifest{.end_date = "2029-12-31"};
  manifest.groups.emplace_back();
  manifest.services.emplace_back();
  manifest.customers.emplace_back();
  manifest.endpoints.emplace_back();
  manifest.endpoints.push_back({.duty = manifest::ServiceReplica{}});
  const auto fields =
      nlohmann::json::parse(manifest_codec::Format(manifest)).flatten();
  for (const auto& [json_pointer, value] : fields.items()) {
    std::istringstream tokens(json_pointer);
    std::string name;
    while (std::getline(tokens, name, '/')) {
      const bool is_index =
          name.find_first_not_of("0123456789") == std::string::npos;
      EXPECT_TRUE(is_index || Mentions(page, name)) << name;
    }
  }
}

}  // namespace
}  // namespace wagtailshore::doc_pages
