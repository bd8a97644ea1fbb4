/// \file
/// Measures checking, verifying and adopting rules.

#include "balsamlatch/Rules/Adoption.h"
#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Landing.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <functional>

using namespace balsamlatch;

namespace {

constexpr unsigned ChangesADay = 4800;
constexpr double SecondsADay = 86400;

/// Processor time of the call, in milliseconds.
double milliseconds(const std::function<void()> &Call) {
  constexpr double PerSecond = 1000;
  const std::clock_t Start = std::clock();
  Call();
  return PerSecond * double(std::clock() - Start) / CLOCKS_PER_SEC;
}

PrivateKey keyOf(const std::string &Name) {
  return *PrivateKey::fromSeed(sha256(Name).Bytes);
}

/// A text of so many lines: pools, jobs and quotas.
std::string textOf(unsigned Lines, const PrivateKey &A, const PrivateKey &B,
                   bool Good) {
  constexpr unsigned LinesPerPool = 30;
  std::string Text = fmt::format("owner a key {} # a\nowner b key {} # b\n",
                                 toHex(A.publicKey()), toHex(B.publicKey()));
  for (unsigned I = 2; I < Lines; ++I) {
    const unsigned Pool = I / LinesPerPool;
    if (I % LinesPerPool == 0 || I == 2) {
      Text += fmt::format("pool pool-{} 100 hosts away 10% worker 64 cores 256 "
                          "GiB # Beat, counting room\n",
                          Pool);
    } else if (I % 3 == 0) {
      Text += fmt::format("job job-{} in pool-{} prompt within 2s size 1 core "
                          "512 MiB runs 200ms idempotent # Beat, drivers\n",
                          I, Pool);
    } else {
      Text += fmt::format("quota team-{} {} slots in pool-{} # Anna\n", I,
                          Good ? 10 : 900, Pool);
    }
  }
  return Text;
}

void benchCheck(const PrivateKey &A, const PrivateKey &B) {
  for (const bool Good : {true, false}) {
    for (const unsigned Lines : {1000U, 10000U}) {
      const std::string Text = textOf(Lines, A, B, Good);
      std::size_t Found = 0;
      double Worst = 0;
      for (int I = 0; I < 5; ++I) {
        Worst = std::max(Worst, milliseconds([&] {
                           Found = parseRules("x", Text).Problems.all().size();
                         }));
      }
      fmt::print("check: {} lines, {} bytes, {} findings: {:.1f} ms\n", Lines,
                 Text.size(), Found, Worst);
    }
  }
}

void benchChanges(unsigned Lines, const PrivateKey &A, const PrivateKey &B) {
  constexpr unsigned Rounds = 64;
  ChainView View =
      *startChain(textOf(Lines, A, B, true), RulesVersion(1), "n", A, B);
  const OwnerKeys Keys = sortedOwnerKeys(A.publicKey(), B.publicKey());
  Adoption Entry({Keys, RulesVersion()});
  Entry.handle(HeadReceived{"peer", 1, printHead(View.Head)}, Instant());
  Entry.handle(BaseReceived{"peer", printBase(View.Base)}, Instant());
  double Follow = 0;
  std::size_t HeadBytes = 0;
  std::size_t BaseBytes = 0;
  for (unsigned I = 0; I < Rounds; ++I) {
    std::string Text = View.Latest.text();
    const std::size_t Old = Text.find("quota team-4 ");
    Text.replace(Old, Text.find(" slots", Old) - Old,
                 fmt::format("quota team-4 {}", 11 + I));
    SignedChange Subject{
        *makeChange(View, {View.Latest.version(), View.Latest.text(), Text},
                    {OwnerName("a"), "more slots", 0, std::to_string(I)}),
        {}};
    Subject.Approvals = {approve(Subject.Content, A),
                         approve(Subject.Content, B)};
    const LandingPlan Plan = *planLanding(View, Subject, B);
    View = Plan.View;
    const std::string Head = printHead(View.Head);
    HeadBytes += Head.size();
    BaseBytes += Plan.IsBaseChanged ? printBase(View.Base).size() : 0;
    Follow += milliseconds([&] {
      Entry.handle(HeadReceived{"peer", I + 2, Head}, Instant());
    });
  }
  const std::string Head = printHead(View.Head);
  const std::string Base = printBase(View.Base);
  const double Fresh = milliseconds([&] {
    Adoption New({Keys, RulesVersion()});
    New.handle(HeadReceived{"peer", 1, Head}, Instant());
    New.handle(BaseReceived{"peer", Base}, Instant());
  });
  const double PerChange = Follow / Rounds;
  fmt::print("chain: {} lines, in force {}: {:.2f} ms a change to follow, "
             "{:.1f} ms for a fresh entry\n",
             Lines, Entry.rules()->Version.Value, PerChange, Fresh);
  fmt::print("  {} bytes of head a change, {} bytes of base a change, base "
             "{} bytes\n",
             HeadBytes / Rounds, BaseBytes / Rounds, Base.size());
  fmt::print("  {} changes a day: {:.3f}% of a core, {:.0f} bytes of head a "
             "second\n",
             ChangesADay, PerChange * ChangesADay / SecondsADay / 10,
             double(HeadBytes) / Rounds * ChangesADay / SecondsADay);
}

void benchSignature(const PrivateKey &A) {
  constexpr int Rounds = 2000;
  const Signature Signed = A.sign("message");
  int Good = 0;
  const double Verify = milliseconds([&] {
    for (int I = 0; I < Rounds; ++I) {
      Good += verifySignature(A.publicKey(), "message", Signed) ? 1 : 0;
    }
  });
  fmt::print("signature: {} verified, {:.3f} ms each\n", Good, Verify / Rounds);
}

} // namespace

int main() {
  const PrivateKey A = keyOf("a");
  const PrivateKey B = keyOf("b");
  benchSignature(A);
  benchCheck(A, B);
  benchChanges(100, A, B);
  benchChanges(2400, A, B);
}
