/// \file
/// The command `explain`: the recorded decisions about a request or a host.

#ifndef BALSAMLATCH_TOOL_EXPLAINCOMMAND_H
#define BALSAMLATCH_TOOL_EXPLAINCOMMAND_H

#include "Command.h"

namespace balsamlatch {

Command explainCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_EXPLAINCOMMAND_H
