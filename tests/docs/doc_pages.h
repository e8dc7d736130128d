#ifndef DOCS_DOC_PAGES_H_
#define DOCS_DOC_PAGES_H_

#include <string>

// Generates the pages of docs/ from tables in the code.
namespace wagtailshore::doc_pages {

// Returns the text of docs/SETTINGS.md.
std::string SettingsPage();
// Returns the text of docs/EVENTS.md.
std::string EventsPage();

}  // namespace wagtailshore::doc_pages

#endif  // DOCS_DOC_PAGES_H_
