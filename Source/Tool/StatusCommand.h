/// \file
/// The command `status`: the state of entries, pools and hosts.

#ifndef BALSAMLATCH_TOOL_STATUSCOMMAND_H
#define BALSAMLATCH_TOOL_STATUSCOMMAND_H

#include "Command.h"

namespace balsamlatch {

Command statusCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_STATUSCOMMAND_H
