/// \file
/// The commands that print proposals and earlier versions: diff, log and show.

#ifndef BALSAMLATCH_TOOL_HISTORYCOMMANDS_H
#define BALSAMLATCH_TOOL_HISTORYCOMMANDS_H

#include "Command.h"

namespace balsamlatch {

Command diffCommand();
Command logCommand();
Command showCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_HISTORYCOMMANDS_H
