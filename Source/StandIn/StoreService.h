/// \file
/// The store's HTTP service: watches, counts and faults around the model.

#ifndef BALSAMLATCH_STANDIN_STORESERVICE_H
#define BALSAMLATCH_STANDIN_STORESERVICE_H

#include "StoreModel.h"
#include "Worker.h"

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <vector>

namespace balsamlatch::standin {

class StoreService {
public:
  explicit StoreService(Environment &Shared) : Env(Shared) {}

  /// Serves one request whose path begins with "/store/".
  void serve(const http::Exchange &Exchange);
  void setFaults(const ServiceFaults &Wanted);
  /// Calls by kind, and the watches that wait now.
  boost::json::object counts() const;

private:
  struct Waiter {
    StoreWatch Watch;
    http::Responder Respond;
    std::unique_ptr<boost::asio::steady_timer> End;
  };

  void act(const StoreRequest &Request, const http::Exchange &Exchange);
  void wait(const StoreWatch &Watch, const http::Exchange &Exchange);
  void wake(const std::string &Key);
  bool losesAnswer();

  Environment &Env;
  StoreModel Model;
  ServiceFaults Faults;
  std::map<std::string, std::uint64_t, std::less<>> Calls;
  std::uint64_t NextWaiter = 0;
  std::map<std::uint64_t, Waiter> Waiters;
  // Requests that a hanging store never answers, until the fault ends.
  std::vector<http::Responder> Held;
};

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_STORESERVICE_H
