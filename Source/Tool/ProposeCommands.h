/// \file
/// Commands that bring texts to the store: init, propose and rollback.

#ifndef BALSAMLATCH_TOOL_PROPOSECOMMANDS_H
#define BALSAMLATCH_TOOL_PROPOSECOMMANDS_H

#include "Command.h"

namespace balsamlatch {

Command initCommand();
Command proposeCommand();
Command rollbackCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_PROPOSECOMMANDS_H
