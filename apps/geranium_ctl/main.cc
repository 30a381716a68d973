#include <iostream>
#include <span>

#include "geranium_ctl/run.h"

int main(int argc, char** argv) {
  const std::span<const char* const> arguments(argv, static_cast<std::size_t>(argc));
  return static_cast<int>(
      geraniumspread::ctl::Run(arguments.subspan(argc > 0 ? 1 : 0), std::cout, std::cerr));
}
