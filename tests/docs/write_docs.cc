// Writes the pages of docs/ that come from tables in the code.

#include <fstream>
#include <iostream>
#include <string>

#include "docs/doc_pages.h"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: write_docs FOLDER\n";
    return 2;
  }
  const std::string folder = argv[1];
  std::ofstream(folder + "/SETTINGS.md")
      << wagtailshore::doc_pages::SettingsPage();
  std::ofstream(folder + "/EVENTS.md") << wagtailshore::doc_pages::EventsPage();
  return 0;
}
