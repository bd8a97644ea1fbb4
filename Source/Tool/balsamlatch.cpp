/// \file
/// Entry point of `balsamlatch`, the operators' command-line tool.

#include "Command.h"
#include "HttpStoreCaller.h"

#include "balsamlatch/Base/Clock.h"

#include <iostream>

int main(int ArgumentCount, char **ArgumentValues) {
  const balsamlatch::SystemClock Clock;
  const balsamlatch::ToolIo Io{
      std::cout, std::cerr, balsamlatch::openHttpStore, [&Clock] {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::seconds>(
                Clock.wallNow().time_since_epoch())
                .count());
      }};
  return static_cast<int>(
      balsamlatch::runTool(ArgumentCount, ArgumentValues, Io));
}
