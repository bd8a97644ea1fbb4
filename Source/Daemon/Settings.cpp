/// \file
/// Parses settings: inih splits the file into sections and pairs, and a table
/// of keys defines how each value is parsed.

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
constexpr std::string_view Whitespace = " \t\r";

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos) {
    return {};
  }
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

/// Parses a value and stores it in the settings, or returns why it is invalid.
using Setter = std::function<absl::Status(Settings &, std::string_view)>;

struct SettingKey {
  std::string_view Section;
  std::string_view Name;
  bool Required;
  /// A valid value, suggested in error messages.
  std::string_view Example;
  Setter Set;
};

absl::Status setText(std::string &Target, std::string_view Value) {
  if (Value.empty()) {
    return absl::InvalidArgumentError("the value is empty");
  }
  Target = std::string(Value);
  return absl::OkStatus();
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '.' || C == '_';
}

absl::Status setName(std::string &Target, std::string_view Value) {
  constexpr std::size_t MaxNameBytes = 64;
  if (Value.empty() || Value.size() > MaxNameBytes ||
      !std::all_of(Value.begin(), Value.end(), isNameCharacter)) {
    return absl::InvalidArgumentError(
        "a name has 1 to 64 of a-z, 0-9, '-', '.' and '_'");
  }
  Target = std::string(Value);
  return absl::OkStatus();
}

absl::Status setAddress(Address &Target, std::string_view Value) {
  absl::StatusOr<Address> Parsed = parseAddress(Value);
  if (!Parsed.ok()) {
    return Parsed.status();
  }
  Target = *std::move(Parsed);
  return absl::OkStatus();
}

absl::Status setSeedPeers(std::vector<SeedPeer> &Target,
                          std::string_view Value) {
  while (!Value.empty()) {
    const std::size_t Comma = Value.find(',');
    const std::string_view Item = trim(Value.substr(0, Comma));
    const std::size_t Separator = Item.find('@');
    if (Separator == std::string_view::npos) {
      return absl::InvalidArgumentError(
          fmt::format("'{}' is not entry@address", Item));
    }
    SeedPeer Peer;
    if (absl::Status Status =
            setName(Peer.Entry.Text, Item.substr(0, Separator));
        !Status.ok()) {
      return Status;
    }
    if (absl::Status Status =
            setAddress(Peer.PeerAddress, Item.substr(Separator + 1));
        !Status.ok()) {
      return Status;
    }
    Target.push_back(std::move(Peer));
    Value = Comma == std::string_view::npos ? std::string_view()
                                            : trim(Value.substr(Comma + 1));
  }
  return absl::OkStatus();
}

template <typename Count>
absl::Status setCount(Count &Target, std::string_view Value) {
  constexpr std::uint64_t MaxCount = 1'000'000'000;
  const absl::StatusOr<std::uint64_t> Parsed = parseNumber(Value);
  if (!Parsed.ok()) {
    return Parsed.status();
  }
  if (*Parsed == 0 || *Parsed > MaxCount) {
    return absl::InvalidArgumentError(
        fmt::format("the number must be from 1 to {}", MaxCount));
  }
  Target = static_cast<Count>(*Parsed);
  return absl::OkStatus();
}

absl::Status setDuration(Duration &Target, std::string_view Value) {
  const absl::StatusOr<Duration> Parsed = parseDuration(Value);
  if (!Parsed.ok()) {
    return Parsed.status();
  }
  Target = *Parsed;
  return absl::OkStatus();
}

absl::Status setLevel(LogLevel &Target, std::string_view Value) {
  constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                          "warning", "error"};
  if (std::find(LevelNames.begin(), LevelNames.end(), Value) ==
      LevelNames.end()) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not a log level", Value));
  }
  Target = parseLogLevel(Value);
  return absl::OkStatus();
}

bool isPublicKey(std::string_view Text) {
  return Text.size() == PublicKeyDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return std::isxdigit(C) != 0; });
}

/// Returns a setter for a field of the settings.
template <typename Member, typename Set>
Setter fieldSetter(Member Settings::*Field, Set SetValue) {
  return [Field, SetValue](Settings &Config, std::string_view Value) {
    return SetValue(Config.*Field, Value);
  };
}

/// Returns a setter for a field of a nested structure.
template <typename Part, typename Member, typename Set>
Setter fieldSetter(Part Settings::*Outer, Member Part::*Inner, Set SetValue) {
  return [Outer, Inner, SetValue](Settings &Config, std::string_view Value) {
    return SetValue(Config.*Outer.*Inner, Value);
  };
}

const std::vector<SettingKey> &settingKeys() {
  static const std::vector<SettingKey> Table = {
      {"entry", "name", true, "entry-1",
       fieldSetter(&Settings::Entry, &EntryName::Text, setName)},
      {"entry", "region", true, "mittelland",
       fieldSetter(&Settings::Region, setName)},
      {"entry", "data-centre", true, "bern",
       fieldSetter(&Settings::DataCentre, &DataCentreName::Text, setName)},
      {"listen", "callers", true, "127.0.0.1:8080",
       fieldSetter(&Settings::CallerAddress, setAddress)},
      {"listen", "peers", true, "127.0.0.1:8081",
       fieldSetter(&Settings::PeerAddress, setAddress)},
      {"listen", "operators", true, "127.0.0.1:8082",
       fieldSetter(&Settings::OperatorAddress, setAddress)},
      {"platform", "store", true, "127.0.0.1:7001",
       fieldSetter(&Settings::StoreAddress, setAddress)},
      {"platform", "host-list", true, "127.0.0.1:7002",
       fieldSetter(&Settings::HostListAddress, setAddress)},
      {"peers", "entries", false,
       "entry-2@127.0.0.1:8181, entry-3@127.0.0.1:8281",
       fieldSetter(&Settings::SeedPeers, setSeedPeers)},
      {"peers", "secret-file", true, "/etc/balsamlatch/peer.secret",
       fieldSetter(&Settings::PeerSecretPath, setText)},
      {"log", "level", false, "info",
       fieldSetter(&Settings::MinLogLevel, setLevel)},
      {"log", "lines-per-reason", false, "200",
       fieldSetter(&Settings::LogLinesPerReason, setCount<unsigned>)},
      {"tls", "certificate", false, "/etc/balsamlatch/entry.pem",
       fieldSetter(&Settings::Tls, &TlsSettings::CertificateFile, setText)},
      {"tls", "private-key", false, "/etc/balsamlatch/entry.key",
       fieldSetter(&Settings::Tls, &TlsSettings::PrivateKeyFile, setText)},
      {"tls", "authority", false, "/etc/balsamlatch/authority.pem",
       fieldSetter(&Settings::Tls, &TlsSettings::AuthorityFile, setText)},
      {"limits", "body-bytes", false, "1000000",
       fieldSetter(&Settings::ResourceLimits, &Limits::BodyBytes,
                   setCount<std::size_t>)},
      {"limits", "connections", false, "4096",
       fieldSetter(&Settings::ResourceLimits, &Limits::Connections,
                   setCount<std::size_t>)},
      {"limits", "open-requests", false, "20000",
       fieldSetter(&Settings::ResourceLimits, &Limits::OpenRequests,
                   setCount<std::size_t>)},
      {"limits", "queued-per-pool", false, "20000",
       fieldSetter(&Settings::ResourceLimits, &Limits::QueuedPerPool,
                   setCount<std::size_t>)},
      {"limits", "explained-decisions", false, "20000",
       fieldSetter(&Settings::ResourceLimits, &Limits::HistoryDecisions,
                   setCount<std::size_t>)},
      {"limits", "stop-grace", false, "2s",
       fieldSetter(&Settings::ResourceLimits, &Limits::StopGracePeriod,
                   setDuration)},
      {"limits", "stop-wait", false, "60s",
       fieldSetter(&Settings::ResourceLimits, &Limits::DrainTimeout,
                   setDuration)},
  };
  return Table;
}

/// The section in which each key is the name of an owner.
constexpr std::string_view OwnersSection = "owners";

/// Passes lines to inih and tracks the current position. Reports lines that
/// inih can't parse and replaces them by empty ones, because inih reports only
/// the first error.
class SettingsReader {
public:
  SettingsReader(std::string_view Name, std::string_view Text)
      : FileName(Name), RemainingText(Text) {}

  SettingsParseResult parse() {
    ini_parse_stream(readLine, this, handlePair, this);
    checkCompleteness();
    return std::move(Result);
  }

private:
  static char *readLine(char *Target, int Size, void *Reader) {
    return static_cast<SettingsReader *>(Reader)->copyNextLine(
        Target, static_cast<std::size_t>(Size));
  }

  static int handlePair(void *Reader, const char *Section, const char *Name,
                        const char *Value) {
    static_cast<SettingsReader *>(Reader)->setValue(Section, Name, Value);
    return 1;
  }

  char *copyNextLine(char *Target, std::size_t Size) {
    if (RemainingText.empty()) {
      return nullptr;
    }
    const std::size_t End = RemainingText.find('\n');
    Line = RemainingText.substr(0, End);
    RemainingText = End == std::string_view::npos
                        ? std::string_view()
                        : RemainingText.substr(End + 1);
    ++LineNumber;
    // Removes the indentation, since inih treats an indented line as a
    // continuation of the previous value.
    const std::string_view LineText =
        checkLine(Size) ? trim(Line) : std::string_view();
    std::memcpy(Target, LineText.data(), LineText.size());
    Target[LineText.size()] = '\n';
    Target[LineText.size() + 1] = '\0';
    return Target;
  }

  /// Returns whether inih can parse the current line; otherwise reports why
  /// not. \p Size is the size of the buffer that inih provides.
  bool checkLine(std::size_t Size) {
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
      return checkSection(Text);
    }
    if (Text.find_first_of("=:") == std::string_view::npos) {
      report(columnOf(Text), "the line is neither a section nor `name = value`",
             "write `name = value`");
      return false;
    }
    return true;
  }

  /// Returns whether the section header is well-formed. Also reports an unknown
  /// section.
  bool checkSection(std::string_view Text) {
    const std::size_t End = Text.find(']');
    if (End == std::string_view::npos) {
      report(columnOf(Text), "the section has no closing ']'",
             "write `[section]`");
      return false;
    }
    const std::string_view Name = Text.substr(1, End - 1);
    const auto HasName = [Name](const SettingKey &Setting) {
      return Setting.Section == Name;
    };
    if (Name != OwnersSection &&
        std::none_of(settingKeys().begin(), settingKeys().end(), HasName)) {
      report(columnOf(Text) + 1, fmt::format("unknown section '{}'", Name),
             "use one of entry, listen, platform, peers, owners, log, tls, "
             "limits");
    }
    return true;
  }

  void setValue(std::string_view Section, std::string_view Name,
                std::string_view Value) {
    if (!ParsedKeys.insert({std::string(Section), std::string(Name)}).second) {
      report(nameColumn(),
             fmt::format("'{}' is set twice in [{}]", Name, Section),
             "keep one of the two lines");
      return;
    }
    if (Section == OwnersSection) {
      setOwnerKey(Name, Value);
      return;
    }
    const auto It = std::find_if(settingKeys().begin(), settingKeys().end(),
                                 [&](const SettingKey &Setting) {
                                   return Setting.Section == Section &&
                                          Setting.Name == Name;
                                 });
    if (It == settingKeys().end()) {
      reportUnknown(Section, Name);
      return;
    }
    if (const absl::Status Status = It->Set(Result.Config, Value);
        !Status.ok()) {
      report(valueColumn(),
             fmt::format("{}: {}", Name, std::string(Status.message())),
             fmt::format("write for example `{} = {}`", Name, It->Example));
    }
  }

  void setOwnerKey(std::string_view Name, std::string_view Value) {
    std::string Owner;
    if (const absl::Status Status = setName(Owner, Name); !Status.ok()) {
      report(nameColumn(), std::string(Status.message()),
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
    const auto HasSection = [&](const SettingKey &Setting) {
      return Setting.Section == Section;
    };
    if (std::none_of(settingKeys().begin(), settingKeys().end(), HasSection)) {
      if (Section.empty()) {
        report(nameColumn(),
               fmt::format("'{}' stands before any section", Name),
               "put it below its section, for example [entry]");
      }
      return;
    }
    std::string ValidNames;
    for (const SettingKey &Setting : settingKeys()) {
      if (Setting.Section == Section) {
        ValidNames +=
            fmt::format("{}{}", ValidNames.empty() ? "" : ", ", Setting.Name);
      }
    }
    report(nameColumn(),
           fmt::format("unknown setting '{}' in [{}]", Name, Section),
           "use one of " + ValidNames);
  }

  void checkCompleteness() {
    for (const SettingKey &Setting : settingKeys()) {
      if (Setting.Required &&
          !ParsedKeys.contains(
              {std::string(Setting.Section), std::string(Setting.Name)})) {
        reportAtEnd(
            fmt::format("[{}] {} is missing", Setting.Section, Setting.Name),
            fmt::format("add `{} = {}` below [{}]", Setting.Name,
                        Setting.Example, Setting.Section));
      }
    }
    constexpr std::size_t RequiredOwners = 2;
    const auto &Owners = Result.Config.GenesisOwners;
    if (Owners.size() != RequiredOwners) {
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

  unsigned columnOf(std::string_view Text) const {
    return static_cast<unsigned>(Text.data() - Line.data()) + 1;
  }

  unsigned nameColumn() const { return columnOf(trim(Line)); }

  unsigned valueColumn() const {
    const std::size_t Separator = Line.find_first_of("=:");
    const std::string_view Value = Separator == std::string_view::npos
                                       ? Line
                                       : trim(Line.substr(Separator + 1));
    return Value.empty() ? static_cast<unsigned>(Line.size()) + 1
                         : columnOf(Value);
  }

  void report(unsigned Column, std::string Message, std::string Remedy) {
    Result.Problems.add(Finding{{std::string(FileName), LineNumber, Column},
                                Severity::Error,
                                std::move(Message),
                                std::move(Remedy),
                                std::string(Line)});
  }

  void reportAtEnd(std::string Message, std::string Remedy) {
    Result.Problems.add(Finding{{std::string(FileName), LineNumber + 1, 1},
                                Severity::Error,
                                std::move(Message),
                                std::move(Remedy),
                                {}});
  }

  std::string_view FileName;
  std::string_view RemainingText;
  // The line that inih currently parses, and its number, counted from 1.
  std::string_view Line;
  unsigned LineNumber = 0;
  std::set<std::pair<std::string, std::string>> ParsedKeys;
  SettingsParseResult Result;
};

} // namespace

SettingsParseResult parseSettings(std::string_view FileName,
                                  std::string_view Text) {
  return SettingsReader(FileName, Text).parse();
}

} // namespace balsamlatch::daemon
