/// \file
/// Printing and parsing of the documents in the store.

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

std::vector<std::string> linesOf(const JsonFields &Fields,
                                 std::string_view Name, bool &Good) {
  std::vector<std::string> Lines;
  Fields.each(Name, [&](const json::value &Line) {
    if (const json::string *Text = Line.if_string()) {
      Lines.emplace_back(*Text);
    } else {
      Good = false;
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

LineEdit editOf(const json::value &Value, bool &Good) {
  const JsonFields Fields(Value, Good);
  LineEdit Edit;
  const std::uint64_t Line = Fields.number("line");
  Good = Good && Line <= std::numeric_limits<std::uint32_t>::max();
  Edit.Line = static_cast<std::uint32_t>(Line);
  Edit.Above = Fields.text("above");
  Edit.Old = linesOf(Fields, "old", Good);
  Edit.New = linesOf(Fields, "new", Good);
  return Edit;
}

json::array editsJson(const std::vector<LineEdit> &Edits) {
  json::array List;
  for (const LineEdit &Edit : Edits) {
    List.push_back(editJson(Edit));
  }
  return List;
}

std::vector<LineEdit> editsOf(const JsonFields &Fields, std::string_view Name,
                              bool &Good) {
  std::vector<LineEdit> Edits;
  Fields.each(Name, [&](const json::value &Edit) {
    Edits.push_back(editOf(Edit, Good));
  });
  return Edits;
}

json::object approvalJson(const Approval &Given) {
  return {{"key", toHex(Given.Key)}, {"signature", toHex(Given.Signed)}};
}

Approval approvalOf(const json::value &Value, bool &Good) {
  const JsonFields Fields(Value, Good);
  return {Fields.hex<PublicKey>("key"), Fields.hex<Signature>("signature")};
}

json::array approvalsJson(const std::vector<Approval> &Approvals) {
  json::array List;
  for (const Approval &Given : Approvals) {
    List.push_back(approvalJson(Given));
  }
  return List;
}

std::vector<Approval> approvalsOf(const JsonFields &Fields, bool &Good) {
  std::vector<Approval> Approvals;
  Fields.each("approvals", [&](const json::value &Value) {
    Approvals.push_back(approvalOf(Value, Good));
  });
  return Approvals;
}

json::object landedJson(const LandedChange &Landed) {
  return {{"version", Landed.Version.Value},
          {"change", toJson(Landed.Subject)},
          {"textHash", toHex(Landed.TextHash)},
          {"landing", approvalJson(Landed.Landing)}};
}

const json::value &orNull(const json::value *Value) {
  static const json::value Null;
  return Value != nullptr ? *Value : Null;
}

LandedChange landedOf(const json::value &Value, bool &Good) {
  const JsonFields Fields(Value, Good);
  LandedChange Landed;
  Landed.Version = RulesVersion(Fields.number("version"));
  Landed.Subject = signedChangeOf(orNull(Fields.field("change")), Good);
  Landed.TextHash = Fields.hex<Digest>("textHash");
  Landed.Landing = approvalOf(orNull(Fields.field("landing")), Good);
  return Landed;
}

json::array landedListJson(const std::vector<LandedChange> &Changes) {
  json::array List;
  for (const LandedChange &Landed : Changes) {
    List.push_back(landedJson(Landed));
  }
  return List;
}

std::vector<LandedChange> landedListOf(const JsonFields &Fields,
                                       std::string_view Name, bool &Good) {
  std::vector<LandedChange> Changes;
  Fields.each(Name, [&](const json::value &Value) {
    Changes.push_back(landedOf(Value, Good));
  });
  return Changes;
}

json::object genesisJson(const Genesis &First) {
  return {{"version", First.Version.Value},
          {"textHash", toHex(First.TextHash)},
          {"nonce", First.Nonce},
          {"approvals", approvalsJson(First.Approvals)}};
}

Genesis genesisOf(const json::value &Value, bool &Good) {
  const JsonFields Fields(Value, Good);
  Genesis First;
  First.Version = RulesVersion(Fields.number("version"));
  First.TextHash = Fields.hex<Digest>("textHash");
  First.Nonce = Fields.text("nonce");
  First.Approvals = approvalsOf(Fields, Good);
  return First;
}

/// Digits of the change's digest followed by those of the text's hash.
std::string stepText(const ChainStep &Step) {
  return toHex(Step.Change) + toHex(Step.TextHash);
}

ChainStep stepOf(const json::value &Value, bool &Good) {
  ChainStep Step;
  const json::string *Text = Value.if_string();
  const std::size_t Digits = 2 * Step.Change.Bytes.size();
  if (Text == nullptr || Text->size() != 2 * Digits) {
    Good = false;
    return Step;
  }
  const std::string_view All(*Text);
  const bool Read = fromHex(All.substr(0, Digits), Step.Change.Bytes.data(),
                            Step.Change.Bytes.size()) &&
                    fromHex(All.substr(Digits), Step.TextHash.Bytes.data(),
                            Step.TextHash.Bytes.size());
  Good = Good && Read;
  return Step;
}

absl::Status faulty(std::string_view What) {
  return absl::DataLossError("not a " + std::string(What));
}

} // namespace

json::value toJson(const SignedChange &Subject) {
  const Change &Content = Subject.Content;
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
                      {"approvals", approvalsJson(Subject.Approvals)}};
}

SignedChange signedChangeOf(const json::value &Value, bool &Good) {
  const JsonFields Fields(Value, Good);
  SignedChange Subject;
  Change &Content = Subject.Content;
  Content.Base = RulesVersion(Fields.number("base"));
  Content.BaseChain = Fields.hex<Digest>("baseChain");
  Content.Proposer = OwnerName(Fields.text("proposer"));
  Content.Reason = Fields.text("reason");
  Content.ProposedAt = Fields.number("proposedAt");
  Content.Nonce = Fields.text("nonce");
  Content.Edits = editsOf(Fields, "edits", Good);
  Fields.each("newOwners", [&](const json::value &Key) {
    const json::string *Text = Key.if_string();
    const absl::StatusOr<PublicKey> Parsed =
        parseHex<PublicKey>(Text != nullptr ? std::string_view(*Text) : "");
    Good = Good && Parsed.ok();
    Content.NewOwners.push_back(Parsed.value_or(PublicKey()));
  });
  Subject.Approvals = approvalsOf(Fields, Good);
  return Subject;
}

std::string printHead(const HeadDocument &Head) {
  return json::serialize(
      json::object{{"version", Head.version().Value},
                   {"first", genesisJson(Head.First)},
                   {"keyChanges", landedListJson(Head.KeyChanges)},
                   {"base", Head.Base.Value},
                   {"changes", landedListJson(Head.Changes)}});
}

absl::StatusOr<HeadDocument> parseHead(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool Good = !Error;
  const JsonFields Fields(Value, Good);
  HeadDocument Head;
  Head.First = genesisOf(orNull(Fields.field("first")), Good);
  Head.KeyChanges = landedListOf(Fields, "keyChanges", Good);
  Head.Base = RulesVersion(Fields.number("base"));
  Head.Changes = landedListOf(Fields, "changes", Good);
  std::uint64_t Version = Head.Base.Value;
  for (const LandedChange &Landed : Head.Changes) {
    Good = Good && Landed.Version.Value == ++Version;
  }
  if (!Good) {
    return faulty("head document");
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
  bool Good = !Error;
  const JsonFields Fields(Value, Good);
  BaseDocument Base;
  Base.Version = RulesVersion(Fields.number("version"));
  Base.Text = Fields.text("text");
  Base.StartChain = Fields.hex<Digest>("startChain");
  Fields.each("steps", [&](const json::value &Step) {
    Base.Steps.push_back(stepOf(Step, Good));
  });
  if (!Good) {
    return faulty("base document");
  }
  return Base;
}

std::string printRetired(const std::vector<RetiredChange> &Changes) {
  json::array List;
  for (const RetiredChange &Retired : Changes) {
    json::object Entry = landedJson(Retired.Landed);
    Entry["undo"] = editsJson(Retired.Undo);
    List.push_back(std::move(Entry));
  }
  return json::serialize(json::object{{"changes", std::move(List)}});
}

absl::StatusOr<std::vector<RetiredChange>> parseRetired(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool Good = !Error;
  std::vector<RetiredChange> Changes;
  JsonFields(Value, Good).each("changes", [&](const json::value &Entry) {
    Changes.push_back({landedOf(Entry, Good),
                       editsOf(JsonFields(Entry, Good), "undo", Good)});
  });
  if (!Good) {
    return faulty("list of retired changes");
  }
  return Changes;
}

std::string printProposals(const Proposals &All) {
  json::array Open;
  for (const SignedChange &Subject : All.Open) {
    Open.push_back(toJson(Subject));
  }
  json::array Closed;
  for (const ClosedProposal &Gone : All.Closed) {
    Closed.push_back(
        json::object{{"id", Gone.Id}, {"by", Gone.By.Text}, {"how", Gone.How}});
  }
  return json::serialize(
      json::object{{"open", std::move(Open)}, {"closed", std::move(Closed)}});
}

absl::StatusOr<Proposals> parseProposals(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  bool Good = !Error;
  const JsonFields Fields(Value, Good);
  Proposals All;
  Fields.each("open", [&](const json::value &Subject) {
    All.Open.push_back(signedChangeOf(Subject, Good));
  });
  Fields.each("closed", [&](const json::value &Entry) {
    const JsonFields Gone(Entry, Good);
    All.Closed.push_back(
        {Gone.text("id"), OwnerName(Gone.text("by")), Gone.text("how")});
  });
  if (!Good) {
    return faulty("list of proposals");
  }
  return All;
}

} // namespace balsamlatch
