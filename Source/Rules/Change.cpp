/// \file
/// Digests and approvals of changes.

#include "balsamlatch/Rules/Change.h"

#include "Canonical.h"

#include <algorithm>

namespace balsamlatch {

namespace {

std::string approvalMessage(const Change &Subject) {
  Canonical Message("balsamlatch change approval 1");
  Message.add(changeDigest(Subject));
  return Message.text();
}

} // namespace

Digest changeDigest(const Change &Subject) {
  Canonical Fields("balsamlatch change 1");
  Fields.add(Subject.Base.Value);
  Fields.add(Subject.BaseChain);
  Fields.add(Subject.Proposer.Text);
  Fields.add(Subject.Reason);
  Fields.add(Subject.ProposedAt);
  Fields.add(Subject.Nonce);
  Fields.add(static_cast<std::uint64_t>(Subject.Edits.size()));
  for (const LineEdit &Edit : Subject.Edits) {
    Fields.add(static_cast<std::uint64_t>(Edit.Line));
    Fields.add(Edit.Above);
    Fields.add(Edit.Old);
    Fields.add(Edit.New);
  }
  Fields.add(static_cast<std::uint64_t>(Subject.NewOwners.size()));
  for (const PublicKey &Key : Subject.NewOwners) {
    Fields.add(Key);
  }
  return Fields.digest();
}

Approval approve(const Change &Subject, const PrivateKey &Key) {
  return {Key.publicKey(), Key.sign(approvalMessage(Subject))};
}

bool approvedBy(const SignedChange &Subject, const PublicKey &Key) {
  const auto Found =
      std::find_if(Subject.Approvals.begin(), Subject.Approvals.end(),
                   [&](const Approval &Given) { return Given.Key == Key; });
  return Found != Subject.Approvals.end() &&
         verifySignature(Key, approvalMessage(Subject.Content), Found->Signed);
}

} // namespace balsamlatch
