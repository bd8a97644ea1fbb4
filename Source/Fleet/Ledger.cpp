/// \file
/// State and operation names, and the ledger's text form: JSON with one short
/// array per host.

#include "balsamlatch/Fleet/Ledger.h"

#include <array>
#include <boost/json.hpp>
#include <stdexcept>

namespace balsamlatch::fleet {

namespace {

namespace json = boost::json;

constexpr std::array StateCodes = {"in-service",     "leaving",      "drained",
                                   "in-maintenance", "on-probation", "failed"};
constexpr std::array OperationCodes = {"none", "maintain", "drain", "move"};

// Indices of the fields in a host's array.
enum HostField {
  Pool,
  State,
  Rack,
  Centre,
  Version,
  Maintained,
  OperationInProgress
};

std::int64_t toSeconds(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Time.time_since_epoch())
      .count();
}

WallTime toWallTime(const json::value &Seconds) {
  return WallTime(std::chrono::seconds(Seconds.to_number<std::int64_t>()));
}

template <typename Enum, std::size_t Count>
Enum toEnum(const json::value &Code, const std::array<const char *, Count> &) {
  const auto Value = Code.to_number<std::size_t>();
  if (Value >= Count) {
    throw std::out_of_range("unknown code");
  }
  return static_cast<Enum>(Value);
}

std::string toText(const json::value &Text) {
  return std::string(Text.as_string());
}

json::array encodeOperation(const Operation &Op) {
  return {static_cast<int>(Op.Kind),
          Op.Id,
          Op.Target.Text,
          Op.Cause,
          toSeconds(Op.Since),
          Op.PreRebootBootCount,
          Op.Cancelled ? 1 : 0,
          Op.Replaces.Text};
}

Operation decodeOperation(const json::array &Fields) {
  Operation Op;
  Op.Kind = toEnum<OperationKind>(Fields.at(0), OperationCodes);
  Op.Id = toText(Fields.at(1));
  Op.Target = PoolName(toText(Fields.at(2)));
  Op.Cause = toText(Fields.at(3));
  Op.Since = toWallTime(Fields.at(4));
  Op.PreRebootBootCount = Fields.at(5).to_number<std::uint64_t>();
  Op.Cancelled = Fields.at(6).to_number<int>() != 0;
  Op.Replaces = HostName(toText(Fields.at(7)));
  return Op;
}

json::array encodeHost(const HostRecord &Host) {
  json::array Fields = {Host.Pool.Text,    static_cast<int>(Host.State),
                        Host.Rack.Text,    Host.DataCentre.Text,
                        Host.StateVersion, toSeconds(Host.LastMaintained)};
  if (Host.CurrentOperation != Operation()) {
    Fields.push_back(encodeOperation(Host.CurrentOperation));
  }
  return Fields;
}

HostRecord decodeHost(const json::array &Fields) {
  HostRecord Host;
  Host.Pool = PoolName(toText(Fields.at(HostField::Pool)));
  Host.State = toEnum<HostState>(Fields.at(HostField::State), StateCodes);
  Host.Rack = RackName(toText(Fields.at(HostField::Rack)));
  Host.DataCentre = DataCentreName(toText(Fields.at(HostField::Centre)));
  Host.StateVersion = Fields.at(HostField::Version).to_number<std::uint64_t>();
  Host.LastMaintained = toWallTime(Fields.at(HostField::Maintained));
  if (Fields.size() > HostField::OperationInProgress) {
    Host.CurrentOperation =
        decodeOperation(Fields.at(HostField::OperationInProgress).as_array());
  }
  return Host;
}

WaveRecord decodeWave(const json::array &Fields) {
  WaveRecord Wave;
  Wave.DueHosts = Fields.at(0).to_number<std::uint32_t>();
  Wave.StartedHosts = Fields.at(1).to_number<std::uint32_t>();
  Wave.LostHosts = Fields.at(2).to_number<std::uint32_t>();
  Wave.StopReason = toText(Fields.at(3));
  return Wave;
}

Ledger decodeOrThrow(std::string_view Text) {
  const json::value Parsed = json::parse(Text);
  const json::object &Root = Parsed.as_object();
  Ledger Value;
  Value.HaltedBy = toText(Root.at("halt"));
  Value.WriterToken = toText(Root.at("writer"));
  Value.Wave = decodeWave(Root.at("wave").as_array());
  for (const auto &Item : Root.at("hosts").as_object()) {
    Value.Hosts.emplace(HostName(std::string(Item.key())),
                        decodeHost(Item.value().as_array()));
  }
  return Value;
}

} // namespace

const char *stateCode(HostState State) {
  return StateCodes.at(static_cast<std::size_t>(State));
}

const char *operationCode(OperationKind Kind) {
  return OperationCodes.at(static_cast<std::size_t>(Kind));
}

bool HostRecord::accepting() const {
  return State == HostState::InService || State == HostState::OnProbation;
}

bool HostRecord::away() const { return !accepting(); }

std::string encodeLedger(const Ledger &Value) {
  json::object Hosts;
  Hosts.reserve(Value.Hosts.size());
  for (const auto &[Host, Record] : Value.Hosts) {
    Hosts.emplace(Host.Text, encodeHost(Record));
  }
  const WaveRecord &Wave = Value.Wave;
  json::object Root;
  Root["writer"] = Value.WriterToken;
  Root["halt"] = Value.HaltedBy;
  Root["wave"] = json::array{Wave.DueHosts, Wave.StartedHosts, Wave.LostHosts,
                             Wave.StopReason};
  Root["hosts"] = std::move(Hosts);
  return json::serialize(Root);
}

absl::StatusOr<Ledger> decodeLedger(std::string_view Text) {
  try {
    return decodeOrThrow(Text);
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(std::string("not a ledger: ") +
                                      Error.what());
  }
}

} // namespace balsamlatch::fleet
