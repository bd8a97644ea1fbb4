/// \file
/// Implements the command `keygen`.

#include "KeygenCommand.h"

#include "StatusText.h"

#include "balsamlatch/Rules/Keys.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

void addOptions(cxxopts::Options &Options) {
  Options.add_options()("out", "Key file to write; NAME.key without.",
                        cxxopts::value<std::string>(),
                        "FILE")("json", "Print JSON.");
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const std::vector<std::string> Arguments = positionalArguments(Options);
  if (Arguments.size() != 1) {
    Io.Err << "balsamlatch keygen: name the co-owner\n";
    return ExitCode::Usage;
  }
  const std::string &Name = Arguments.front();
  const std::string Path = Options.count("out") != 0
                               ? Options["out"].as<std::string>()
                               : Name + ".key";
  const absl::StatusOr<PrivateKey> Key = PrivateKey::generate();
  const absl::Status WriteStatus =
      Key.ok() ? writeKeyFile(Path, *Key) : Key.status();
  if (!WriteStatus.ok()) {
    Io.Err << fmt::format("balsamlatch keygen: {}\n", messageOf(WriteStatus));
    return ExitCode::Refused;
  }
  const std::string PublicKeyHex = toHex(Key->publicKey());
  if (Options.count("json") != 0) {
    Io.Out << boost::json::serialize(boost::json::object{
                  {"owner", Name}, {"file", Path}, {"publicKey", PublicKeyHex}})
           << '\n';
  } else {
    Io.Out << fmt::format("owner {} key {} # {}\n", Name, PublicKeyHex, Name);
  }
  return ExitCode::Done;
}

} // namespace

Command keygenCommand() {
  return {"keygen", "Makes a co-owner's key and prints its rule.", "NAME",
          addOptions, run};
}

} // namespace balsamlatch
