#include <utility>

#include "bamboowing/wire/codec.h"
#include "convert.h"

namespace bamboowing {
namespace detail {
namespace {

void WriteClaim(const job_claim& claim, rpc::JobClaim::Builder out) {
  out.setJobId(claim.job_id);
  out.setNumber(claim.number);
  out.setHoldUs(claim.hold.count());
  out.setHeld(claim.held);
}

job_claim ReadClaim(rpc::JobClaim::Reader in) {
  return {ToString(in.getJobId()), in.getNumber(), duration(in.getHoldUs()), in.getHeld()};
}

void WriteView(const registrar_view& view, rpc::RegistrarView::Builder out) {
  out.setNumber(view.number);
  WriteTexts(view.members, out.initMembers(view.members.size()));
  WriteTexts(view.previous, out.initPrevious(view.previous.size()));
}

registrar_view ReadView(rpc::RegistrarView::Reader in) {
  return {in.getNumber(), ReadTexts(in.getMembers()), ReadTexts(in.getPrevious())};
}

template <typename Builder>
void WriteStatus(const entry_status& status, Builder out) {
  out.setComplete(status.complete);
  out.setLeaving(status.leaving);
  out.setKnownView(status.known_view);
}

template <typename Reader>
entry_status ReadStatus(Reader in) {
  return {in.getComplete(), in.getLeaving(), in.getKnownView()};
}

void WriteRelease(const claim_release& release, rpc::ClaimRelease::Builder out) {
  out.setJobId(release.job_id);
  out.setNumber(release.number);
  out.setEnd(static_cast<std::uint8_t>(release.end));
  out.setRetentionUs(release.retention.count());
}

/// Returns false if a release has an unknown kind of end.
bool ReadReleases(capnp::List<rpc::ClaimRelease>::Reader in, std::vector<claim_release>& releases) {
  for (rpc::ClaimRelease::Reader item : in) {
    const std::optional<claim_end> end = ToEnum(item.getEnd(), claim_end::kCancelled);
    if (!end) {
      return false;
    }
    releases.push_back({ToString(item.getJobId()), item.getNumber(), *end, duration(item.getRetentionUs())});
  }
  return true;
}

/// An age that is negative if it is absent.
std::optional<duration> ReadAge(std::int64_t age_us) {
  return age_us >= 0 ? std::optional<duration>(duration(age_us)) : std::nullopt;
}

}  // namespace
}  // namespace detail

void Write(const claim_request& request, rpc::ClaimRequest::Builder out) {
  out.setAddress(request.address);
  out.setLife(request.incarnation);
  detail::WriteStatus(request.status, out);
  out.setFetchClaims(request.fetch_claims);
  out.setFetchAgents(request.fetch_agents);
  detail::WriteView(request.view, out.initView());
  capnp::List<rpc::JobClaim>::Builder claims = out.initClaims(request.claims.size());
  unsigned i = 0;
  for (const job_claim& claim : request.claims) {
    detail::WriteClaim(claim, claims[i++]);
  }
  capnp::List<rpc::ClaimRelease>::Builder releases = out.initReleases(request.releases.size());
  i = 0;
  for (const claim_release& release : request.releases) {
    detail::WriteRelease(release, releases[i++]);
  }
  capnp::List<rpc::JobCancel>::Builder cancels = out.initCancels(request.cancels.size());
  i = 0;
  for (const job_cancel& cancel : request.cancels) {
    rpc::JobCancel::Builder item = cancels[i++];
    item.setJobId(cancel.job_id);
    item.setRetentionUs(cancel.retention.count());
    item.setWasOpen(cancel.was_open);
  }
}

void Write(const claim_reply& reply, rpc::ClaimReply::Builder out) {
  out.setLife(reply.incarnation);
  out.setDecides(reply.decides);
  detail::WriteStatus(reply.status, out);
  detail::WriteView(reply.view, out.initView());
  if (reply.process_age) {
    out.setProcessAgeUs(reply.process_age->count());
  }
  if (reply.view_age) {
    out.setViewAgeUs(reply.view_age->count());
  }
  capnp::List<rpc::EntryProcess>::Builder processes = out.initNewProcesses(reply.new_processes.size());
  unsigned i = 0;
  for (const entry_process& process : reply.new_processes) {
    processes[i].setAddress(process.address);
    processes[i++].setLife(process.incarnation);
  }
  capnp::List<rpc::HeldClaim>::Builder held = out.initHeld(reply.held.size());
  i = 0;
  for (const held_claim& claim : reply.held) {
    rpc::HeldClaim::Builder item = held[i++];
    item.setHolder(claim.holder);
    item.setLife(claim.incarnation);
    detail::WriteClaim(claim.claim, item.initClaim());
  }
  capnp::List<rpc::ClaimRelease>::Builder forbidden = out.initForbidden(reply.forbidden.size());
  i = 0;
  for (const claim_release& release : reply.forbidden) {
    detail::WriteRelease(release, forbidden[i++]);
  }
  detail::WriteTexts(reply.peers, out.initPeers(reply.peers.size()));
  capnp::List<rpc::ClaimAnswer>::Builder answers = out.initAnswers(reply.answers.size());
  i = 0;
  for (const claim_answer& answer : reply.answers) {
    rpc::ClaimAnswer::Builder item = answers[i++];
    item.setJobId(answer.job_id);
    item.setNumber(answer.number);
    item.setVerdict(static_cast<std::uint8_t>(answer.verdict));
    item.setHolder(answer.holder);
    if (answer.starts_unknown_before) {
      item.setStartsUnknownBeforeUs(answer.starts_unknown_before->count());
    }
  }
  capnp::List<rpc::CancelAnswer>::Builder cancels = out.initCancelAnswers(reply.cancel_answers.size());
  i = 0;
  for (const cancel_answer& answer : reply.cancel_answers) {
    rpc::CancelAnswer::Builder item = cancels[i++];
    item.setJobId(answer.job_id);
    item.setRecorded(answer.recorded);
    item.setWasOpen(answer.was_open);
    item.setCompleted(answer.completed);
    item.setHolder(answer.holder);
  }
  detail::WriteTexts(reply.cancelled, out.initCancelled(reply.cancelled.size()));
  capnp::List<rpc::LostClaim>::Builder lost = out.initLost(reply.lost.size());
  i = 0;
  for (const lost_claim& claim : reply.lost) {
    lost[i].setJobId(claim.job_id);
    lost[i++].setAgeUs(claim.age.count());
  }
  if (reply.memory_age) {
    out.setMemoryAgeUs(reply.memory_age->count());
  }
  detail::WriteTexts(reply.agents, out.initAgents(reply.agents.size()));
}

std::optional<claim_request> Read(rpc::ClaimRequest::Reader in) {
  claim_request request;
  request.address = detail::ToString(in.getAddress());
  request.incarnation = in.getLife();
  request.status = detail::ReadStatus(in);
  request.fetch_claims = in.getFetchClaims();
  request.fetch_agents = in.getFetchAgents();
  request.view = detail::ReadView(in.getView());
  for (rpc::JobClaim::Reader item : in.getClaims()) {
    request.claims.push_back(detail::ReadClaim(item));
  }
  if (!detail::ReadReleases(in.getReleases(), request.releases)) {
    return std::nullopt;
  }
  for (rpc::JobCancel::Reader item : in.getCancels()) {
    request.cancels.push_back({detail::ToString(item.getJobId()), duration(item.getRetentionUs()), item.getWasOpen()});
  }
  return request;
}

std::optional<claim_reply> Read(rpc::ClaimReply::Reader in) {
  claim_reply reply;
  reply.incarnation = in.getLife();
  reply.decides = in.getDecides();
  reply.status = detail::ReadStatus(in);
  reply.view = detail::ReadView(in.getView());
  reply.process_age = detail::ReadAge(in.getProcessAgeUs());
  reply.view_age = detail::ReadAge(in.getViewAgeUs());
  for (rpc::EntryProcess::Reader item : in.getNewProcesses()) {
    reply.new_processes.push_back({detail::ToString(item.getAddress()), item.getLife()});
  }
  for (rpc::HeldClaim::Reader item : in.getHeld()) {
    reply.held.push_back({detail::ToString(item.getHolder()), item.getLife(), detail::ReadClaim(item.getClaim())});
  }
  if (!detail::ReadReleases(in.getForbidden(), reply.forbidden)) {
    return std::nullopt;
  }
  reply.peers = detail::ReadTexts(in.getPeers());
  for (rpc::ClaimAnswer::Reader item : in.getAnswers()) {
    const std::optional<claim_verdict> verdict = detail::ToEnum(item.getVerdict(), claim_verdict::kCancelled);
    if (!verdict) {
      return std::nullopt;
    }
    reply.answers.push_back({detail::ToString(item.getJobId()), item.getNumber(), *verdict,
                             detail::ToString(item.getHolder()), detail::ReadAge(item.getStartsUnknownBeforeUs())});
  }
  for (rpc::CancelAnswer::Reader item : in.getCancelAnswers()) {
    reply.cancel_answers.push_back({detail::ToString(item.getJobId()), item.getRecorded(), item.getWasOpen(),
                                    item.getCompleted(), detail::ToString(item.getHolder())});
  }
  reply.cancelled = detail::ReadTexts(in.getCancelled());
  for (rpc::LostClaim::Reader item : in.getLost()) {
    reply.lost.push_back({detail::ToString(item.getJobId()), duration(item.getAgeUs())});
  }
  reply.memory_age = detail::ReadAge(in.getMemoryAgeUs());
  reply.agents = detail::ReadTexts(in.getAgents());
  return reply;
}

}  // namespace bamboowing
