/// \file
/// The commands that work on a rules file without a store: check and fmt.

#ifndef BALSAMLATCH_TOOL_RULESFILECOMMANDS_H
#define BALSAMLATCH_TOOL_RULESFILECOMMANDS_H

#include "Command.h"

namespace balsamlatch {

Command checkCommand();
Command formatCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_RULESFILECOMMANDS_H
