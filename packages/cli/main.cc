#include <iostream>
#include <string>
#include <vector>

#include "cli/commands/commands.h"
#include "transport/http_client/http_client.h"

int main(int argc, char** argv) {
  wagtailshore::http_client::InitializeLibrary();
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      wagtailshore::commands::Run(arguments, std::cout, std::cerr));
}
