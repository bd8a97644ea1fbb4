/// \file
/// Reading and writing of whole files.

#include "ToolFiles.h"

#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace balsamlatch {

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (!In || std::filesystem::is_directory(Path) || !(Text << In.rdbuf())) {
    // An empty file sets the stream's fail bit too.
    std::error_code Error;
    if (In && std::filesystem::file_size(Path, Error) == 0 && !Error) {
      return std::string();
    }
    return absl::NotFoundError(Path + ": can't be read");
  }
  return Text.str();
}

absl::Status writeFile(const std::string &Path, const std::string &Text) {
  const std::string Temporary = Path + ".new";
  {
    std::ofstream Out(Temporary, std::ios::binary | std::ios::trunc);
    if (!(Out << Text) || !Out.flush()) {
      return absl::UnavailableError(Temporary + ": can't be written");
    }
  }
  std::error_code Error;
  std::filesystem::rename(Temporary, Path, Error);
  return Error ? absl::UnavailableError(Path + ": " + Error.message())
               : absl::OkStatus();
}

boost::json::array findingsJson(const Findings &All) {
  boost::json::array List;
  for (const Finding &F : All.all()) {
    List.push_back(boost::json::object{
        {"file", F.Place.File},
        {"line", F.Place.Line},
        {"column", F.Place.Column},
        {"level", F.Level == Severity::Error ? "error" : "warning"},
        {"message", F.Message},
        {"remedy", F.Remedy}});
  }
  return List;
}

} // namespace balsamlatch
