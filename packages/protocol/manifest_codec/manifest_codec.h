#ifndef PROTOCOL_MANIFEST_CODEC_MANIFEST_CODEC_H_
#define PROTOCOL_MANIFEST_CODEC_MANIFEST_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "common/finding.h"
#include "state/manifest/manifest.h"

// The manifest's JSON form, described in docs/MANIFEST.md.
namespace wagtailshore::manifest_codec {

// Parses and checks. All findings are reported together; a field that the
// schema does not know is one.
std::variant<manifest::Manifest, common::Findings> Parse(std::string_view text);

// The JSON text that Parse() turns back into the same manifest.
std::string Format(const manifest::Manifest& manifest);

}  // namespace wagtailshore::manifest_codec

#endif  // PROTOCOL_MANIFEST_CODEC_MANIFEST_CODEC_H_
