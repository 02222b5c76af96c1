#include "bamboowing/wire/codec.h"
#include "convert.h"

namespace bamboowing {
namespace detail {
namespace {

void WriteClaims(const std::vector<job_claim>& claims, capnp::List<rpc::JobClaim>::Builder out) {
  unsigned i = 0;
  for (const job_claim& claim : claims) {
    rpc::JobClaim::Builder item = out[i++];
    item.setJobId(claim.job_id);
    item.setNumber(claim.number);
    item.setHoldUs(claim.hold.count());
  }
}

std::vector<job_claim> ReadClaims(capnp::List<rpc::JobClaim>::Reader in) {
  std::vector<job_claim> claims;
  claims.reserve(in.size());
  for (rpc::JobClaim::Reader item : in) {
    claims.push_back({ToString(item.getJobId()), item.getNumber(), duration(item.getHoldUs())});
  }
  return claims;
}

}  // namespace
}  // namespace detail

void Write(const claim_request& request, rpc::ClaimRequest::Builder out) {
  out.setAddress(request.address);
  out.setLife(request.incarnation);
  out.setFetchClaims(request.fetch_claims);
  detail::WriteClaims(request.claims, out.initClaims(request.claims.size()));
  capnp::List<rpc::ClaimRelease>::Builder releases = out.initReleases(request.releases.size());
  unsigned i = 0;
  for (const claim_release& release : request.releases) {
    rpc::ClaimRelease::Builder item = releases[i++];
    item.setJobId(release.job_id);
    item.setNumber(release.number);
    item.setEnd(static_cast<std::uint8_t>(release.end));
  }
}

void Write(const claim_reply& reply, rpc::ClaimReply::Builder out) {
  out.setLife(reply.incarnation);
  detail::WriteClaims(reply.held, out.initHeld(reply.held.size()));
  capnp::List<rpc::ClaimAnswer>::Builder answers = out.initAnswers(reply.answers.size());
  unsigned i = 0;
  for (const claim_answer& answer : reply.answers) {
    rpc::ClaimAnswer::Builder item = answers[i++];
    item.setJobId(answer.job_id);
    item.setNumber(answer.number);
    item.setVerdict(static_cast<std::uint8_t>(answer.verdict));
    item.setHolder(answer.holder);
  }
}

std::optional<claim_request> Read(rpc::ClaimRequest::Reader in) {
  claim_request request;
  request.address = detail::ToString(in.getAddress());
  request.incarnation = in.getLife();
  request.fetch_claims = in.getFetchClaims();
  request.claims = detail::ReadClaims(in.getClaims());
  for (rpc::ClaimRelease::Reader item : in.getReleases()) {
    const std::optional<claim_end> end = detail::ToEnum(item.getEnd(), claim_end::kNotRepeatable);
    if (!end) {
      return std::nullopt;
    }
    request.releases.push_back({detail::ToString(item.getJobId()), item.getNumber(), *end});
  }
  return request;
}

std::optional<claim_reply> Read(rpc::ClaimReply::Reader in) {
  claim_reply reply;
  reply.incarnation = in.getLife();
  reply.held = detail::ReadClaims(in.getHeld());
  for (rpc::ClaimAnswer::Reader item : in.getAnswers()) {
    const std::optional<claim_verdict> verdict = detail::ToEnum(item.getVerdict(), claim_verdict::kUndecided);
    if (!verdict) {
      return std::nullopt;
    }
    reply.answers.push_back(
        {detail::ToString(item.getJobId()), item.getNumber(), *verdict, detail::ToString(item.getHolder())});
  }
  return reply;
}

}  // namespace bamboowing
