/// \file
/// Reads settings: inih splits the lines, a table of keys gives them meaning.

#include "balsamlatch/Daemon/Settings.h"

#include "balsamlatch/Base/Units.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <fmt/format.h>
#include <functional>
#include <ini.h>
#include <set>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t PublicKeyDigits = 64;
constexpr std::string_view Blanks = " \t\r";

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos) {
    return {};
  }
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// Sets one key's value; the error says what is wrong with it.
using Setter = std::function<absl::Status(Settings &, std::string_view)>;

struct Key {
  std::string_view Section;
  std::string_view Name;
  bool Required;
  /// What a value looks like, for the remedy.
  std::string_view Example;
  Setter Set;
};

absl::Status setText(std::string &Into, std::string_view Value) {
  if (Value.empty()) {
    return absl::InvalidArgumentError("the value is empty");
  }
  Into = std::string(Value);
  return absl::OkStatus();
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '.' || C == '_';
}

absl::Status setName(std::string &Into, std::string_view Value) {
  constexpr std::size_t MaxNameBytes = 64;
  if (Value.empty() || Value.size() > MaxNameBytes ||
      !std::all_of(Value.begin(), Value.end(), isNameCharacter)) {
    return absl::InvalidArgumentError(
        "a name has 1 to 64 of a-z, 0-9, '-', '.' and '_'");
  }
  Into = std::string(Value);
  return absl::OkStatus();
}

absl::Status setAddress(Address &Into, std::string_view Value) {
  absl::StatusOr<Address> Parsed = parseAddress(Value);
  if (!Parsed.ok()) {
    return Parsed.status();
  }
  Into = *std::move(Parsed);
  return absl::OkStatus();
}

absl::Status setSeedPeers(std::vector<SeedPeer> &Into, std::string_view Value) {
  while (!Value.empty()) {
    const std::size_t Comma = Value.find(',');
    const std::string_view One = trim(Value.substr(0, Comma));
    const std::size_t At = One.find('@');
    if (At == std::string_view::npos) {
      return absl::InvalidArgumentError(
          fmt::format("'{}' is not entry@address", One));
    }
    SeedPeer Peer;
    if (absl::Status Read = setName(Peer.Entry.Text, One.substr(0, At));
        !Read.ok()) {
      return Read;
    }
    if (absl::Status Read = setAddress(Peer.At, One.substr(At + 1));
        !Read.ok()) {
      return Read;
    }
    Into.push_back(std::move(Peer));
    Value = Comma == std::string_view::npos ? std::string_view()
                                            : trim(Value.substr(Comma + 1));
  }
  return absl::OkStatus();
}

template <typename Count>
absl::Status setCount(Count &Into, std::string_view Value) {
  constexpr std::uint64_t MaxCount = 1'000'000'000;
  const absl::StatusOr<std::uint64_t> Parsed = parseNumber(Value);
  if (!Parsed.ok()) {
    return Parsed.status();
  }
  if (*Parsed == 0 || *Parsed > MaxCount) {
    return absl::InvalidArgumentError(
        fmt::format("the number must be from 1 to {}", MaxCount));
  }
  Into = static_cast<Count>(*Parsed);
  return absl::OkStatus();
}

absl::Status setDuration(Duration &Into, std::string_view Value) {
  const absl::StatusOr<Duration> Parsed = parseDuration(Value);
  if (!Parsed.ok()) {
    return Parsed.status();
  }
  Into = *Parsed;
  return absl::OkStatus();
}

absl::Status setLevel(LogLevel &Into, std::string_view Value) {
  constexpr std::array<std::string_view, 4> Known = {"debug", "info", "warning",
                                                     "error"};
  if (std::find(Known.begin(), Known.end(), Value) == Known.end()) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not a log level", Value));
  }
  Into = parseLogLevel(Value);
  return absl::OkStatus();
}

bool isPublicKey(std::string_view Text) {
  return Text.size() == PublicKeyDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return std::isxdigit(C) != 0; });
}

/// A setter for a member.
template <typename Member, typename Set>
Setter into(Member Settings::*Where, Set SetValue) {
  return [Where, SetValue](Settings &All, std::string_view Value) {
    return SetValue(All.*Where, Value);
  };
}

/// A setter for a member of a member.
template <typename Part, typename Member, typename Set>
Setter into(Part Settings::*Outer, Member Part::*Inner, Set SetValue) {
  return [Outer, Inner, SetValue](Settings &All, std::string_view Value) {
    return SetValue(All.*Outer.*Inner, Value);
  };
}

const std::vector<Key> &keys() {
  static const std::vector<Key> Table = {
      {"entry", "name", true, "entry-1",
       into(&Settings::Entry, &EntryName::Text, setName)},
      {"entry", "region", true, "mittelland", into(&Settings::Region, setName)},
      {"entry", "data-centre", true, "bern",
       into(&Settings::DataCentre, &DataCentreName::Text, setName)},
      {"listen", "callers", true, "127.0.0.1:8080",
       into(&Settings::CallerAddress, setAddress)},
      {"listen", "peers", true, "127.0.0.1:8081",
       into(&Settings::PeerAddress, setAddress)},
      {"listen", "operators", true, "127.0.0.1:8082",
       into(&Settings::OperatorAddress, setAddress)},
      {"platform", "store", true, "127.0.0.1:7001",
       into(&Settings::StoreAddress, setAddress)},
      {"platform", "host-list", true, "127.0.0.1:7002",
       into(&Settings::HostListAddress, setAddress)},
      {"peers", "entries", false,
       "entry-2@127.0.0.1:8181, entry-3@127.0.0.1:8281",
       into(&Settings::SeedPeers, setSeedPeers)},
      {"peers", "secret-file", true, "/etc/balsamlatch/peer.secret",
       into(&Settings::PeerSecretPath, setText)},
      {"log", "level", false, "info", into(&Settings::MinLogLevel, setLevel)},
      {"log", "lines-per-reason", false, "200",
       into(&Settings::LogLinesPerReason, setCount<unsigned>)},
      {"tls", "certificate", false, "/etc/balsamlatch/entry.pem",
       into(&Settings::Tls, &TlsSettings::CertificateFile, setText)},
      {"tls", "private-key", false, "/etc/balsamlatch/entry.key",
       into(&Settings::Tls, &TlsSettings::PrivateKeyFile, setText)},
      {"tls", "authority", false, "/etc/balsamlatch/authority.pem",
       into(&Settings::Tls, &TlsSettings::AuthorityFile, setText)},
      {"limits", "body-bytes", false, "1000000",
       into(&Settings::ResourceLimits, &Limits::BodyBytes,
            setCount<std::size_t>)},
      {"limits", "connections", false, "4096",
       into(&Settings::ResourceLimits, &Limits::Connections,
            setCount<std::size_t>)},
      {"limits", "open-requests", false, "20000",
       into(&Settings::ResourceLimits, &Limits::OpenRequests,
            setCount<std::size_t>)},
      {"limits", "queued-per-pool", false, "20000",
       into(&Settings::ResourceLimits, &Limits::QueuedPerPool,
            setCount<std::size_t>)},
      {"limits", "explained-decisions", false, "20000",
       into(&Settings::ResourceLimits, &Limits::HistoryDecisions,
            setCount<std::size_t>)},
      {"limits", "stop-grace", false, "2s",
       into(&Settings::ResourceLimits, &Limits::StopGracePeriod, setDuration)},
      {"limits", "stop-wait", false, "60s",
       into(&Settings::ResourceLimits, &Limits::DrainTimeout, setDuration)},
  };
  return Table;
}

/// The section whose keys are the owners' names.
constexpr std::string_view OwnersSection = "owners";

/// Feeds inih line by line and knows where it is. Lines that inih would refuse
/// are reported here and handed on as blank, because inih tells only the first.
class SettingsReader {
public:
  SettingsReader(std::string_view Name, std::string_view Text)
      : File(Name), Rest(Text) {}

  SettingsParseResult parse() {
    ini_parse_stream(readLine, this, takePair, this);
    checkWhole();
    return std::move(Result);
  }

private:
  static char *readLine(char *Into, int Size, void *Self) {
    return static_cast<SettingsReader *>(Self)->nextLine(
        Into, static_cast<std::size_t>(Size));
  }

  static int takePair(void *Self, const char *Section, const char *Name,
                      const char *Value) {
    static_cast<SettingsReader *>(Self)->take(Section, Name, Value);
    return 1;
  }

  char *nextLine(char *Into, std::size_t Size) {
    if (Rest.empty()) {
      return nullptr;
    }
    const std::size_t End = Rest.find('\n');
    Line = Rest.substr(0, End);
    Rest = End == std::string_view::npos ? std::string_view()
                                         : Rest.substr(End + 1);
    ++LineNumber;
    // Indented lines would continue the value before; settings have none.
    const std::string_view Shown =
        acceptable(Size) ? trim(Line) : std::string_view();
    std::memcpy(Into, Shown.data(), Shown.size());
    Into[Shown.size()] = '\n';
    Into[Shown.size() + 1] = '\0';
    return Into;
  }

  bool acceptable(std::size_t Size) {
    const std::string_view Text = trim(Line);
    if (Text.find('\0') != std::string_view::npos) {
      report(1, "the line holds a zero byte", "remove it");
      return false;
    }
    if (Text.size() + 2 >= Size) {
      report(1, fmt::format("the line is longer than {} bytes", Size - 3),
             "shorten it");
      return false;
    }
    if (Text.empty() || Text.front() == ';' || Text.front() == '#') {
      return true;
    }
    if (Text.front() == '[') {
      return acceptableSection(Text);
    }
    if (Text.find_first_of("=:") == std::string_view::npos) {
      report(columnOf(Text), "the line is neither a section nor `name = value`",
             "write `name = value`");
      return false;
    }
    return true;
  }

  bool acceptableSection(std::string_view Text) {
    const std::size_t End = Text.find(']');
    if (End == std::string_view::npos) {
      report(columnOf(Text), "the section has no closing ']'",
             "write `[section]`");
      return false;
    }
    const std::string_view Name = Text.substr(1, End - 1);
    const auto IsNamed = [Name](const Key &K) { return K.Section == Name; };
    if (Name != OwnersSection &&
        std::none_of(keys().begin(), keys().end(), IsNamed)) {
      report(columnOf(Text) + 1, fmt::format("unknown section '{}'", Name),
             "use one of entry, listen, platform, peers, owners, log, tls, "
             "limits");
    }
    return true;
  }

  void take(std::string_view Section, std::string_view Name,
            std::string_view Value) {
    if (!Seen.insert({std::string(Section), std::string(Name)}).second) {
      report(nameColumn(),
             fmt::format("'{}' is set twice in [{}]", Name, Section),
             "keep one of the two lines");
      return;
    }
    if (Section == OwnersSection) {
      takeOwner(Name, Value);
      return;
    }
    const auto Found =
        std::find_if(keys().begin(), keys().end(), [&](const Key &K) {
          return K.Section == Section && K.Name == Name;
        });
    if (Found == keys().end()) {
      reportUnknown(Section, Name);
      return;
    }
    if (const absl::Status Set = Found->Set(Result.Config, Value); !Set.ok()) {
      report(valueColumn(),
             fmt::format("{}: {}", Name, std::string(Set.message())),
             fmt::format("write for example `{} = {}`", Name, Found->Example));
    }
  }

  void takeOwner(std::string_view Name, std::string_view Value) {
    std::string Owner;
    if (const absl::Status Read = setName(Owner, Name); !Read.ok()) {
      report(nameColumn(), std::string(Read.message()),
             "write the owner's name");
      return;
    }
    if (!isPublicKey(Value)) {
      report(valueColumn(), "an owner's public key has 64 hexadecimal digits",
             "copy it from the output of `balsamlatch keygen`");
      return;
    }
    Result.Config.GenesisOwners[OwnerName(Owner)] = std::string(Value);
  }

  void reportUnknown(std::string_view Section, std::string_view Name) {
    const auto HasSection = [&](const Key &K) { return K.Section == Section; };
    if (std::none_of(keys().begin(), keys().end(), HasSection)) {
      if (Section.empty()) {
        report(nameColumn(),
               fmt::format("'{}' stands before any section", Name),
               "put it below its section, for example [entry]");
      }
      return;
    }
    std::string Known;
    for (const Key &K : keys()) {
      if (K.Section == Section) {
        Known += fmt::format("{}{}", Known.empty() ? "" : ", ", K.Name);
      }
    }
    report(nameColumn(),
           fmt::format("unknown setting '{}' in [{}]", Name, Section),
           "use one of " + Known);
  }

  void checkWhole() {
    for (const Key &K : keys()) {
      if (K.Required &&
          !Seen.contains({std::string(K.Section), std::string(K.Name)})) {
        reportAtEnd(fmt::format("[{}] {} is missing", K.Section, K.Name),
                    fmt::format("add `{} = {}` below [{}]", K.Name, K.Example,
                                K.Section));
      }
    }
    constexpr std::size_t OwnersNeeded = 2;
    const auto &Owners = Result.Config.GenesisOwners;
    if (Owners.size() != OwnersNeeded) {
      reportAtEnd(
          fmt::format("[owners] names {} owners, not two", Owners.size()),
          "write one `name = public key` line for each co-owner");
    } else if (Owners.begin()->second == Owners.rbegin()->second) {
      reportAtEnd("[owners] gives both owners the same key",
                  "each co-owner needs a key of their own");
    }
    const TlsSettings &Tls = Result.Config.Tls;
    if (Tls.CertificateFile.empty() != Tls.PrivateKeyFile.empty()) {
      reportAtEnd("[tls] certificate and private-key belong together",
                  "set both or none");
    }
  }

  unsigned columnOf(std::string_view Part) const {
    return static_cast<unsigned>(Part.data() - Line.data()) + 1;
  }

  unsigned nameColumn() const { return columnOf(trim(Line)); }

  unsigned valueColumn() const {
    const std::size_t Sign = Line.find_first_of("=:");
    const std::string_view Value =
        Sign == std::string_view::npos ? Line : trim(Line.substr(Sign + 1));
    return Value.empty() ? static_cast<unsigned>(Line.size()) + 1
                         : columnOf(Value);
  }

  void report(unsigned Column, std::string Message, std::string Remedy) {
    Result.Problems.add(Finding{{std::string(File), LineNumber, Column},
                                Severity::Error,
                                std::move(Message),
                                std::move(Remedy),
                                std::string(Line)});
  }

  void reportAtEnd(std::string Message, std::string Remedy) {
    Result.Problems.add(Finding{{std::string(File), LineNumber + 1, 1},
                                Severity::Error,
                                std::move(Message),
                                std::move(Remedy),
                                {}});
  }

  std::string_view File;
  std::string_view Rest;
  // Invariant: the line that inih works on, and its number from 1.
  std::string_view Line;
  unsigned LineNumber = 0;
  std::set<std::pair<std::string, std::string>> Seen;
  SettingsParseResult Result;
};

} // namespace

SettingsParseResult parseSettings(std::string_view File,
                                  std::string_view Text) {
  return SettingsReader(File, Text).parse();
}

} // namespace balsamlatch::daemon
