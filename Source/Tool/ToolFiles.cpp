/// \file
/// Implements reading and writing of whole files.

#include "ToolFiles.h"

#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace balsamlatch {

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream Input(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Input || std::filesystem::is_directory(Path) ||
      !(Text << Input.rdbuf())) {
    // Copying an empty file sets the output stream's fail bit, too.
    std::error_code Error;
    if (Input && std::filesystem::file_size(Path, Error) == 0 && !Error) {
      return std::string();
    }
    return absl::NotFoundError(Path + ": can't be read");
  }
  return Text.str();
}

absl::Status writeFile(const std::string &Path, const std::string &Text) {
  const std::string TemporaryPath = Path + ".new";
  {
    std::ofstream Output(TemporaryPath, std::ios::binary | std::ios::trunc);
    if (!(Output << Text) || !Output.flush()) {
      return absl::UnavailableError(TemporaryPath + ": can't be written");
    }
  }
  std::error_code Error;
  std::filesystem::rename(TemporaryPath, Path, Error);
  return Error ? absl::UnavailableError(Path + ": " + Error.message())
               : absl::OkStatus();
}

boost::json::array findingsJson(const Findings &All) {
  boost::json::array List;
  for (const Finding &Item : All.all()) {
    List.push_back(boost::json::object{
        {"file", Item.Place.File},
        {"line", Item.Place.Line},
        {"column", Item.Place.Column},
        {"level", Item.Level == Severity::Error ? "error" : "warning"},
        {"message", Item.Message},
        {"remedy", Item.Remedy}});
  }
  return List;
}

} // namespace balsamlatch
