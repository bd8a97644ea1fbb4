/// \file
/// Converts the documents in the store to JSON text and back.

#include "balsamlatch/Rules/ChainJson.h"

#include "JsonFields.h"

#include <boost/json.hpp>
#include <limits>

namespace balsamlatch {

namespace json = boost::json;

namespace {

json::array linesJson(const std::vector<std::string> &Lines) {
  json::array List;
  for (const std::string &Line : Lines) {
    List.push_back(json::string(Line));
  }
  return List;
}

std::vector<std::string> parseLines(const JsonFields &Fields,
                                    std::string_view Name, bool &IsValid) {
  std::vector<std::string> Lines;
  Fields.forEach(Name, [&](const json::value &Line) {
    if (const json::string *Text = Line.if_string()) {
      Lines.emplace_back(*Text);
    } else {
      IsValid = false;
    }
  });
  return Lines;
}

json::object editJson(const LineEdit &Edit) {
  return {{"line", Edit.Line},
          {"above", Edit.Above},
          {"old", linesJson(Edit.Old)},
          {"new", linesJson(Edit.New)}};
}

LineEdit parseEdit(const json::value &Value, bool &IsValid) {
  const JsonFields Fields(Value, IsValid);
  LineEdit Edit;
  const std::uint64_t Line = Fields.number("line");
  IsValid = IsValid && Line <= std::numeric_limits<std::uint32_t>::max();
  Edit.Line = static_cast<std::uint32_t>(Line);
  Edit.Above = Fields.text("above");
  Edit.Old = parseLines(Fields, "old", IsValid);
  Edit.New = parseLines(Fields, "new", IsValid);
  return Edit;
}

json::array editsJson(const std::vector<LineEdit> &Edits) {
  json::array List;
  for (const LineEdit &Edit : Edits) {
    List.push_back(editJson(Edit));
  }
  return List;
}

std::vector<LineEdit> parseEdits(const JsonFields &Fields,
                                 std::string_view Name, bool &IsValid) {
  std::vector<LineEdit> Edits;
  Fields.forEach(Name, [&](const json::value &Edit) {
    Edits.push_back(parseEdit(Edit, IsValid));
  });
  return Edits;
}

json::object approvalJson(const Approval &Entry) {
  return {{"key", toHex(Entry.Key)}, {"signature", toHex(Entry.Signed)}};
}

Approval parseApproval(const json::value &Value, bool &IsValid) {
  const JsonFields Fields(Value, IsValid);
  return {Fields.hex<PublicKey>("key"), Fields.hex<Signature>("signature")};
}

json::array approvalsJson(const std::vector<Approval> &Approvals) {
  json::array List;
  for (const Approval &Entry : Approvals) {
    List.push_back(approvalJson(Entry));
  }
  return List;
}

std::vector<Approval> parseApprovals(const JsonFields &Fields, bool &IsValid) {
  std::vector<Approval> Approvals;
  Fields.forEach("approvals", [&](const json::value &Value) {
    Approvals.push_back(parseApproval(Value, IsValid));
  });
  return Approvals;
}

json::object landedChangeJson(const LandedChange &Entry) {
  return {{"version", Entry.Version.Value},
          {"change", toJson(Entry.Subject)},
          {"textHash", toHex(Entry.TextHash)},
          {"landing", approvalJson(Entry.Landing)}};
}

/// The value, or a JSON null for a missing field.
const json::value &valueOrNull(const json::value *Value) {
  static const json::value Null;
  return Value != nullptr ? *Value : Null;
}

LandedChange parseLandedChange(const json::value &Value, bool &IsValid) {
  const JsonFields Fields(Value, IsValid);
  LandedChange Entry;
  Entry.Version = RulesVersion(Fields.number("version"));
  Entry.Subject =
      parseSignedChange(valueOrNull(Fields.field("change")), IsValid);
  Entry.TextHash = Fields.hex<Digest>("textHash");
  Entry.Landing = parseApproval(valueOrNull(Fields.field("landing")), IsValid);
  return Entry;
}

json::array landedChangesJson(const std::vector<LandedChange> &Changes) {
  json::array List;
  for (const LandedChange &Entry : Changes) {
    List.push_back(landedChangeJson(Entry));
  }
  return List;
}

std::vector<LandedChange> parseLandedChanges(const JsonFields &Fields,
                                             std::string_view Name,
                                             bool &IsValid) {
  std::vector<LandedChange> Changes;
  Fields.forEach(Name, [&](const json::value &Value) {
    Changes.push_back(parseLandedChange(Value, IsValid));
  });
  return Changes;
}

json::object genesisJson(const Genesis &FirstVersion) {
  return {{"version", FirstVersion.Version.Value},
          {"textHash", toHex(FirstVersion.TextHash)},
          {"nonce", FirstVersion.Nonce},
          {"approvals", approvalsJson(FirstVersion.Approvals)}};
}

Genesis parseGenesis(const json::value &Value, bool &IsValid) {
  const JsonFields Fields(Value, IsValid);
  Genesis FirstVersion;
  FirstVersion.Version = RulesVersion(Fields.number("version"));
  FirstVersion.TextHash = Fields.hex<Digest>("textHash");
  FirstVersion.Nonce = Fields.text("nonce");
  FirstVersion.Approvals = parseApprovals(Fields, IsValid);
  return FirstVersion;
}

/// The hexadecimal digits of the digest of the change, followed by those of the
/// text hash.
std::string stepText(const ChainStep &Step) {
  return toHex(Step.Change) + toHex(Step.TextHash);
}

ChainStep parseStep(const json::value &Value, bool &IsValid) {
  ChainStep Step;
  const json::string *Text = Value.if_string();
  const std::size_t HashDigits = 2 * Step.Change.Bytes.size();
  if (Text == nullptr || Text->size() != 2 * HashDigits) {
    IsValid = false;
    return Step;
  }
  const std::string_view Hashes(*Text);
  const bool IsHex =
      fromHex(Hashes.substr(0, HashDigits), Step.Change.Bytes.data(),
              Step.Change.Bytes.size()) &&
      fromHex(Hashes.substr(HashDigits), Step.TextHash.Bytes.data(),
              Step.TextHash.Bytes.size());
  IsValid = IsValid && IsHex;
  return Step;
}

absl::Status makeParseError(std::string_view DocumentKind) {
  return absl::DataLossError("not a " + std::string(DocumentKind));
}

} // namespace

json::value toJson(const SignedChange &Proposal) {
  const Change &Content = Proposal.Content;
  json::array NewOwners;
  for (const PublicKey &Key : Content.NewOwners) {
    NewOwners.push_back(json::string(toHex(Key)));
  }
  return json::object{{"base", Content.Base.Value},
                      {"baseChain", toHex(Content.BaseChain)},
                      {"proposer", Content.Proposer.Text},
                      {"reason", Content.Reason},
                      {"proposedAt", Content.ProposedAt},
                      {"nonce", Content.Nonce},
                      {"edits", editsJson(Content.Edits)},
                      {"newOwners", std::move(NewOwners)},
                      {"approvals", approvalsJson(Proposal.Approvals)}};
}

SignedChange parseSignedChange(const json::value &Value, bool &IsValid) {
  const JsonFields Fields(Value, IsValid);
  SignedChange Proposal;
  Change &Content = Proposal.Content;
  Content.Base = RulesVersion(Fields.number("base"));
  Content.BaseChain = Fields.hex<Digest>("baseChain");
  Content.Proposer = OwnerName(Fields.text("proposer"));
  Content.Reason = Fields.text("reason");
  Content.ProposedAt = Fields.number("proposedAt");
  Content.Nonce = Fields.text("nonce");
  Content.Edits = parseEdits(Fields, "edits", IsValid);
  Fields.forEach("newOwners", [&](const json::value &Key) {
    const json::string *Text = Key.if_string();
    const absl::StatusOr<PublicKey> Parsed =
        parseHex<PublicKey>(Text != nullptr ? std::string_view(*Text) : "");
    IsValid = IsValid && Parsed.ok();
    Content.NewOwners.push_back(Parsed.value_or(PublicKey()));
  });
  Proposal.Approvals = parseApprovals(Fields, IsValid);
  return Proposal;
}

std::string printHead(const HeadDocument &Head) {
  return json::serialize(
      json::object{{"version", Head.version().Value},
                   {"first", genesisJson(Head.First)},
                   {"keyChanges", landedChangesJson(Head.KeyChanges)},
                   {"base", Head.Base.Value},
                   {"changes", landedChangesJson(Head.Changes)}});
}

absl::StatusOr<HeadDocument> parseHead(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool IsValid = !Error;
  const JsonFields Fields(Value, IsValid);
  HeadDocument Head;
  Head.First = parseGenesis(valueOrNull(Fields.field("first")), IsValid);
  Head.KeyChanges = parseLandedChanges(Fields, "keyChanges", IsValid);
  Head.Base = RulesVersion(Fields.number("base"));
  Head.Changes = parseLandedChanges(Fields, "changes", IsValid);
  std::uint64_t Version = Head.Base.Value;
  for (const LandedChange &Entry : Head.Changes) {
    IsValid = IsValid && Entry.Version.Value == ++Version;
  }
  if (!IsValid) {
    return makeParseError("head document");
  }
  return Head;
}

std::string printBase(const BaseDocument &Base) {
  json::array Steps;
  for (const ChainStep &Step : Base.Steps) {
    Steps.push_back(json::string(stepText(Step)));
  }
  return json::serialize(json::object{{"version", Base.Version.Value},
                                      {"text", Base.Text},
                                      {"startChain", toHex(Base.StartChain)},
                                      {"steps", std::move(Steps)}});
}

absl::StatusOr<BaseDocument> parseBase(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool IsValid = !Error;
  const JsonFields Fields(Value, IsValid);
  BaseDocument Base;
  Base.Version = RulesVersion(Fields.number("version"));
  Base.Text = Fields.text("text");
  Base.StartChain = Fields.hex<Digest>("startChain");
  Fields.forEach("steps", [&](const json::value &Step) {
    Base.Steps.push_back(parseStep(Step, IsValid));
  });
  if (!IsValid) {
    return makeParseError("base document");
  }
  return Base;
}

std::string printRetired(const std::vector<RetiredChange> &Changes) {
  json::array List;
  for (const RetiredChange &Entry : Changes) {
    json::object Object = landedChangeJson(Entry.Landed);
    Object["undo"] = editsJson(Entry.Undo);
    List.push_back(std::move(Object));
  }
  return json::serialize(json::object{{"changes", std::move(List)}});
}

absl::StatusOr<std::vector<RetiredChange>> parseRetired(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool IsValid = !Error;
  std::vector<RetiredChange> Changes;
  JsonFields(Value, IsValid).forEach("changes", [&](const json::value &Entry) {
    Changes.push_back(
        {parseLandedChange(Entry, IsValid),
         parseEdits(JsonFields(Entry, IsValid), "undo", IsValid)});
  });
  if (!IsValid) {
    return makeParseError("list of retired changes");
  }
  return Changes;
}

std::string printProposals(const Proposals &Document) {
  json::array OpenList;
  for (const SignedChange &Proposal : Document.Open) {
    OpenList.push_back(toJson(Proposal));
  }
  json::array ClosedList;
  for (const ClosedProposal &Entry : Document.Closed) {
    ClosedList.push_back(json::object{
        {"id", Entry.Id}, {"by", Entry.By.Text}, {"how", Entry.How}});
  }
  return json::serialize(json::object{{"open", std::move(OpenList)},
                                      {"closed", std::move(ClosedList)}});
}

absl::StatusOr<Proposals> parseProposals(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool IsValid = !Error;
  const JsonFields Fields(Value, IsValid);
  Proposals Document;
  Fields.forEach("open", [&](const json::value &Proposal) {
    Document.Open.push_back(parseSignedChange(Proposal, IsValid));
  });
  Fields.forEach("closed", [&](const json::value &Entry) {
    const JsonFields EntryFields(Entry, IsValid);
    Document.Closed.push_back({EntryFields.text("id"),
                               OwnerName(EntryFields.text("by")),
                               EntryFields.text("how")});
  });
  if (!IsValid) {
    return makeParseError("list of proposals");
  }
  return Document;
}

} // namespace balsamlatch
