#ifndef DOCS_DOC_PAGES_H_
#define DOCS_DOC_PAGES_H_

#include <string>

// The pages of docs/ that come from tables in the code.
namespace wagtailshore::doc_pages {

// docs/SETTINGS.md
std::string SettingsPage();
// docs/EVENTS.md
std::string EventsPage();

}  // namespace wagtailshore::doc_pages

#endif  // DOCS_DOC_PAGES_H_
