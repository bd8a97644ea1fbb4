/// \file
/// One store request at a time, for commands.

#ifndef BALSAMLATCH_TOOL_STORECALLER_H
#define BALSAMLATCH_TOOL_STORECALLER_H

#include "balsamlatch/Platform/Store.h"

namespace balsamlatch {

/// Calls the store and waits for the reply.
class StoreCaller {
public:
  virtual ~StoreCaller() = default;

  virtual StoreReply call(const StoreRequest &Request) = 0;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_STORECALLER_H
