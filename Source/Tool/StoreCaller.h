/// \file
/// Interface for blocking store requests, one at a time.

#ifndef BALSAMLATCH_TOOL_STORECALLER_H
#define BALSAMLATCH_TOOL_STORECALLER_H

#include "balsamlatch/Platform/Store.h"

namespace balsamlatch {

/// Sends a request to the store and waits for the reply.
class StoreCaller {
public:
  virtual ~StoreCaller() = default;

  virtual StoreReply call(const StoreRequest &Request) = 0;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_STORECALLER_H
