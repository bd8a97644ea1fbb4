/// \file
/// Implements the command `status`: prints a line for each entry, marks those
/// with older rules, and prints the pools and hosts that the first responding
/// entry reports.

#include "StatusCommand.h"

#include "ChainOptions.h"
#include "EntryClient.h"
#include "StatusText.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <fmt/format.h>
#include <thread>

namespace balsamlatch {

namespace {

constexpr std::chrono::seconds WatchPeriod(2);

void addOptions(cxxopts::Options &Options) {
  addEntryOptions(Options);
  Options.add_options()("hosts", "Show each host too.")(
      "watch", "Show again every two seconds.");
}

bool boolMember(const boost::json::object &Object, std::string_view Member) {
  const boost::json::value *Value = Object.if_contains(Member);
  return Value != nullptr && Value->is_bool() && Value->get_bool();
}

const boost::json::object &objectMember(const boost::json::object &Object,
                                        std::string_view Member) {
  static const boost::json::object EmptyObject;
  const boost::json::value *Value = Object.if_contains(Member);
  return Value != nullptr && Value->is_object() ? Value->get_object()
                                                : EmptyObject;
}

std::vector<boost::json::object> listMember(const boost::json::object &Object,
                                            std::string_view Member) {
  std::vector<boost::json::object> Objects;
  const boost::json::value *Value = Object.if_contains(Member);
  if (Value != nullptr && Value->is_array()) {
    for (const boost::json::value &Element : Value->get_array()) {
      if (Element.is_object()) {
        Objects.push_back(Element.get_object());
      }
    }
  }
  return Objects;
}

std::string entryLine(const boost::json::object &Page,
                      std::uint64_t NewestRules) {
  const std::uint64_t Rules = numberMember(Page, "rules");
  const boost::json::object &EndedRequests = objectMember(Page, "ended");
  return fmt::format(
      "{:<16} {:<10} rules {:<5} ledger {:<6} open {:<6} answered {} not-run "
      "{} unknown {}{}{}{}\n",
      textMember(Page, "entry"),
      boolMember(Page, "ready")      ? "ready"
      : boolMember(Page, "stopping") ? "stopping"
                                     : "not-ready",
      Rules, numberMember(objectMember(Page, "ledger"), "version"),
      numberMember(Page, "open_requests"),
      numberMember(EndedRequests, "answered"),
      numberMember(EndedRequests, "not_run"),
      numberMember(EndedRequests, "unknown"),
      boolMember(Page, "leads") ? " leads" : "",
      Rules < NewestRules ? " RULES BEHIND" : "",
      boolMember(Page, "embedded") ? " embedded" : "");
}

std::string poolLines(const boost::json::object &Page) {
  std::string Text = fmt::format("\n{:<16} {:>5} {:>5} {:>8} {:>8} {:>8} {:>8} "
                                 "{:>8}\n",
                                 "pool", "hosts", "away", "allowed", "slots",
                                 "in use", "queued", "ejected");
  for (const boost::json::object &Pool : listMember(Page, "pools")) {
    Text += fmt::format(
        "{:<16} {:>5} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
        textMember(Pool, "pool"), numberMember(Pool, "hosts"),
        numberMember(Pool, "away"), numberMember(Pool, "away_allowed"),
        numberMember(Pool, "slots_total"), numberMember(Pool, "slots_in_use"),
        numberMember(Pool, "queued_prompt") +
            numberMember(Pool, "queued_patient"),
        numberMember(Pool, "ejected"));
  }
  return Text;
}

std::string hostLines(const boost::json::object &Page) {
  const boost::json::object &Ledger = objectMember(Page, "ledger");
  std::string Text = fmt::format("\n{:<12} {:<12} {:<15} {:<10} {}\n", "host",
                                 "pool", "state", "rack", "operation");
  for (const boost::json::object &Host : listMember(Ledger, "hosts")) {
    Text +=
        fmt::format("{:<12} {:<12} {:<15} {:<10} {}\n",
                    textMember(Host, "host"), textMember(Host, "pool"),
                    textMember(Host, "state"), textMember(Host, "rack"),
                    textMember(Host, "operation").empty()
                        ? ""
                        : fmt::format("{} ({})", textMember(Host, "operation"),
                                      textMember(Host, "cause")));
  }
  return Text;
}

/// The status pages of the entries, and the messages of failed requests.
struct EntryPages {
  std::vector<boost::json::object> Pages;
  std::vector<std::string> Errors;
};

EntryPages fetchPages(const std::vector<Address> &Entries, bool ShowHosts) {
  EntryPages Result;
  for (const Address &Entry : Entries) {
    absl::StatusOr<boost::json::object> Page =
        fetchJson(Entry, ShowHosts ? "/v1/status?hosts=1" : "/v1/status");
    if (Page.ok()) {
      Result.Pages.push_back(*std::move(Page));
    } else {
      Result.Errors.push_back(messageOf(Page.status()));
    }
  }
  return Result;
}

std::string render(const EntryPages &Responses, bool ShowHosts) {
  std::uint64_t NewestRules = 0;
  for (const boost::json::object &Page : Responses.Pages) {
    NewestRules = std::max(NewestRules, numberMember(Page, "rules"));
  }
  std::string Text;
  for (const boost::json::object &Page : Responses.Pages) {
    Text += entryLine(Page, NewestRules);
  }
  if (Responses.Pages.empty()) {
    return Text;
  }
  const boost::json::object &FirstPage = Responses.Pages.front();
  const std::string HaltedBy =
      textMember(objectMember(FirstPage, "ledger"), "halted_by");
  if (!HaltedBy.empty()) {
    Text += fmt::format("operations halted by {}\n", HaltedBy);
  }
  Text += poolLines(FirstPage);
  return ShowHosts ? Text + hostLines(FirstPage) : Text;
}

ExitCode printStatus(const cxxopts::ParseResult &Options, const ToolIo &Io,
                     const std::vector<Address> &Entries) {
  const bool ShowHosts = Options.count("hosts") != 0;
  EntryPages Responses = fetchPages(Entries, ShowHosts);
  for (const std::string &Error : Responses.Errors) {
    Io.Err << fmt::format("balsamlatch status: {}\n", Error);
  }
  const std::string Text = render(Responses, ShowHosts);
  boost::json::array Pages(Responses.Pages.begin(), Responses.Pages.end());
  printResult(Options, Io, {{"entries", std::move(Pages)}}, Text);
  return Responses.Errors.empty() ? ExitCode::Done : ExitCode::Unavailable;
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::vector<Address>> Entries = entryAddresses(Options);
  if (!Entries.ok()) {
    return reportError(Options, Io, "status", Entries.status());
  }
  while (Options.count("watch") != 0) {
    printStatus(Options, Io, *Entries);
    Io.Out << std::endl;
    std::this_thread::sleep_for(WatchPeriod);
  }
  return printStatus(Options, Io, *Entries);
}

} // namespace

Command statusCommand() {
  return {"status", "Shows entries, pools and hosts, and who lags.", "",
          addOptions, run};
}

} // namespace balsamlatch
