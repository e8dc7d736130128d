#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "cli/commands/commands.h"
#include "transport/http_client/http_client.h"

namespace {

std::optional<std::string> ProcessEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

}  // namespace

int main(int argc, char** argv) {
  wagtailshore::http_client::InitializeLibrary();
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(wagtailshore::commands::Run(
      arguments, &ProcessEnvironment, std::cout, std::cerr));
}
