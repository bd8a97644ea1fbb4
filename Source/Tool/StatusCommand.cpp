/// \file
/// Shows entries side by side, so that one sees who lags, and the pools and
/// hosts as the first entry that answers knows them.

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

bool boolMember(const boost::json::object &From, std::string_view Member) {
  const boost::json::value *Found = From.if_contains(Member);
  return Found != nullptr && Found->is_bool() && Found->get_bool();
}

const boost::json::object &objectMember(const boost::json::object &From,
                                        std::string_view Member) {
  static const boost::json::object None;
  const boost::json::value *Found = From.if_contains(Member);
  return Found != nullptr && Found->is_object() ? Found->get_object() : None;
}

std::vector<boost::json::object> listMember(const boost::json::object &From,
                                            std::string_view Member) {
  std::vector<boost::json::object> All;
  const boost::json::value *Found = From.if_contains(Member);
  if (Found != nullptr && Found->is_array()) {
    for (const boost::json::value &One : Found->get_array()) {
      if (One.is_object()) {
        All.push_back(One.get_object());
      }
    }
  }
  return All;
}

std::string entryLine(const boost::json::object &Page, std::uint64_t Newest) {
  const std::uint64_t Rules = numberMember(Page, "rules");
  const boost::json::object &Ended = objectMember(Page, "ended");
  return fmt::format(
      "{:<16} {:<10} rules {:<5} ledger {:<6} open {:<6} answered {} not-run "
      "{} unknown {}{}{}{}\n",
      textMember(Page, "entry"),
      boolMember(Page, "ready")      ? "ready"
      : boolMember(Page, "stopping") ? "stopping"
                                     : "not-ready",
      Rules, numberMember(objectMember(Page, "ledger"), "version"),
      numberMember(Page, "open_requests"), numberMember(Ended, "answered"),
      numberMember(Ended, "not_run"), numberMember(Ended, "unknown"),
      boolMember(Page, "leads") ? " leads" : "",
      Rules < Newest ? " RULES BEHIND" : "",
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

/// What the entries answered, and which gave no answer.
struct Shown {
  std::vector<boost::json::object> Pages;
  std::vector<std::string> Faults;
};

Shown ask(const std::vector<Address> &Entries, bool WithHosts) {
  Shown Found;
  for (const Address &Entry : Entries) {
    absl::StatusOr<boost::json::object> Page =
        fetchJson(Entry, WithHosts ? "/v1/status?hosts=1" : "/v1/status");
    if (Page.ok()) {
      Found.Pages.push_back(*std::move(Page));
    } else {
      Found.Faults.push_back(messageOf(Page.status()));
    }
  }
  return Found;
}

std::string render(const Shown &Found, bool WithHosts) {
  std::uint64_t Newest = 0;
  for (const boost::json::object &Page : Found.Pages) {
    Newest = std::max(Newest, numberMember(Page, "rules"));
  }
  std::string Text;
  for (const boost::json::object &Page : Found.Pages) {
    Text += entryLine(Page, Newest);
  }
  if (Found.Pages.empty()) {
    return Text;
  }
  const boost::json::object &First = Found.Pages.front();
  const std::string Halt =
      textMember(objectMember(First, "ledger"), "halted_by");
  if (!Halt.empty()) {
    Text += fmt::format("operations halted by {}\n", Halt);
  }
  Text += poolLines(First);
  return WithHosts ? Text + hostLines(First) : Text;
}

ExitCode showOnce(const cxxopts::ParseResult &Options, const ToolIo &Io,
                  const std::vector<Address> &Entries) {
  const bool WithHosts = Options.count("hosts") != 0;
  Shown Found = ask(Entries, WithHosts);
  for (const std::string &Fault : Found.Faults) {
    Io.Err << fmt::format("balsamlatch status: {}\n", Fault);
  }
  const std::string Text = render(Found, WithHosts);
  boost::json::array Pages(Found.Pages.begin(), Found.Pages.end());
  printResult(Options, Io, {{"entries", std::move(Pages)}}, Text);
  return Found.Faults.empty() ? ExitCode::Done : ExitCode::Unavailable;
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::vector<Address>> Entries = entryAddresses(Options);
  if (!Entries.ok()) {
    return reportError(Options, Io, "status", Entries.status());
  }
  while (Options.count("watch") != 0) {
    showOnce(Options, Io, *Entries);
    Io.Out << std::endl;
    std::this_thread::sleep_for(WatchPeriod);
  }
  return showOnce(Options, Io, *Entries);
}

} // namespace

Command statusCommand() {
  return {"status", "Shows entries, pools and hosts, and who lags.", "",
          addOptions, run};
}

} // namespace balsamlatch
