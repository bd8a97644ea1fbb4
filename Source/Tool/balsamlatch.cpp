/// \file
/// The operators' tool.

#include "Command.h"
#include "HttpStoreCaller.h"

#include "balsamlatch/Base/Clock.h"

#include <iostream>

int main(int Count, char **Words) {
  const balsamlatch::SystemClock Time;
  const balsamlatch::ToolIo Io{
      std::cout, std::cerr, balsamlatch::openHttpStore, [&Time] {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::seconds>(
                Time.wallNow().time_since_epoch())
                .count());
      }};
  return static_cast<int>(balsamlatch::runTool(Count, Words, Io));
}
