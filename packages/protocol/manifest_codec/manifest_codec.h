#ifndef PROTOCOL_MANIFEST_CODEC_MANIFEST_CODEC_H_
#define PROTOCOL_MANIFEST_CODEC_MANIFEST_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "common/finding.h"
#include "state/manifest/manifest.h"

// The JSON format of the manifest, described in docs/MANIFEST.md.
namespace wagtailshore::manifest_codec {

// Parses and checks a manifest. Returns either the manifest or all findings
// together. A field that is not in the schema is a finding.
std::variant<manifest::Manifest, common::Findings> Parse(std::string_view text);

// Returns JSON text from which Parse() restores an equal manifest.
std::string Format(const manifest::Manifest& manifest);

}  // namespace wagtailshore::manifest_codec

#endif  // PROTOCOL_MANIFEST_CODEC_MANIFEST_CODEC_H_
