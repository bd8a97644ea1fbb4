/// \file
/// The ledger's names of states and its text form: JSON with one short array a
/// host.

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

// Places in a host's array.
enum HostField { Pool, State, Rack, Centre, Version, Maintained, Hand };

std::int64_t secondsOf(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Time.time_since_epoch())
      .count();
}

WallTime timeOf(const json::value &Seconds) {
  return WallTime(std::chrono::seconds(Seconds.to_number<std::int64_t>()));
}

template <typename Enum, std::size_t Count>
Enum enumOf(const json::value &Code, const std::array<const char *, Count> &) {
  const auto Value = Code.to_number<std::size_t>();
  if (Value >= Count) {
    throw std::out_of_range("unknown code");
  }
  return static_cast<Enum>(Value);
}

std::string textOf(const json::value &Text) {
  return std::string(Text.as_string());
}

json::array encodeOperation(const Operation &Hand) {
  return {static_cast<int>(Hand.Kind),
          Hand.Id,
          Hand.Target.Text,
          Hand.Cause,
          secondsOf(Hand.Since),
          Hand.BootBefore,
          Hand.Cancelled ? 1 : 0,
          Hand.Replaces.Text};
}

Operation decodeOperation(const json::array &Fields) {
  Operation Hand;
  Hand.Kind = enumOf<OperationKind>(Fields.at(0), OperationCodes);
  Hand.Id = textOf(Fields.at(1));
  Hand.Target = PoolName(textOf(Fields.at(2)));
  Hand.Cause = textOf(Fields.at(3));
  Hand.Since = timeOf(Fields.at(4));
  Hand.BootBefore = Fields.at(5).to_number<std::uint64_t>();
  Hand.Cancelled = Fields.at(6).to_number<int>() != 0;
  Hand.Replaces = HostName(textOf(Fields.at(7)));
  return Hand;
}

json::array encodeHost(const HostRecord &Host) {
  json::array Fields = {Host.Pool.Text,    static_cast<int>(Host.State),
                        Host.Rack.Text,    Host.DataCentre.Text,
                        Host.StateVersion, secondsOf(Host.LastMaintained)};
  if (Host.InHand != Operation()) {
    Fields.push_back(encodeOperation(Host.InHand));
  }
  return Fields;
}

HostRecord decodeHost(const json::array &Fields) {
  HostRecord Host;
  Host.Pool = PoolName(textOf(Fields.at(HostField::Pool)));
  Host.State = enumOf<HostState>(Fields.at(HostField::State), StateCodes);
  Host.Rack = RackName(textOf(Fields.at(HostField::Rack)));
  Host.DataCentre = DataCentreName(textOf(Fields.at(HostField::Centre)));
  Host.StateVersion = Fields.at(HostField::Version).to_number<std::uint64_t>();
  Host.LastMaintained = timeOf(Fields.at(HostField::Maintained));
  if (Fields.size() > HostField::Hand) {
    Host.InHand = decodeOperation(Fields.at(HostField::Hand).as_array());
  }
  return Host;
}

WaveRecord decodeWave(const json::array &Fields) {
  WaveRecord Wave;
  Wave.Size = Fields.at(0).to_number<std::uint32_t>();
  Wave.Started = Fields.at(1).to_number<std::uint32_t>();
  Wave.Lost = Fields.at(2).to_number<std::uint32_t>();
  Wave.Stopped = textOf(Fields.at(3));
  return Wave;
}

Ledger decodeChecked(std::string_view Text) {
  const json::value Parsed = json::parse(Text);
  const json::object &Whole = Parsed.as_object();
  Ledger Value;
  Value.HaltedBy = textOf(Whole.at("halt"));
  Value.WriterToken = textOf(Whole.at("writer"));
  Value.Wave = decodeWave(Whole.at("wave").as_array());
  for (const auto &Item : Whole.at("hosts").as_object()) {
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
  json::object Whole;
  Whole["writer"] = Value.WriterToken;
  Whole["halt"] = Value.HaltedBy;
  Whole["wave"] = json::array{Wave.Size, Wave.Started, Wave.Lost, Wave.Stopped};
  Whole["hosts"] = std::move(Hosts);
  return json::serialize(Whole);
}

absl::StatusOr<Ledger> decodeLedger(std::string_view Text) {
  try {
    return decodeChecked(Text);
  } catch (const std::exception &Fault) {
    return absl::InvalidArgumentError(std::string("not a ledger: ") +
                                      Fault.what());
  }
}

} // namespace balsamlatch::fleet
