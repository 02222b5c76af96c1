#include "bamboowing/wire/codec.h"
#include "convert.h"

namespace bamboowing {
namespace detail {
namespace {

void WriteJob(const job_spec& job, rpc::JobSpec::Builder out) {
  out.setJobId(job.job_id);
  out.setTeam(job.team);
  out.setService(job.service);
  out.setDeadlineUs(job.deadline.count());
  out.setFirstSentAgoUs(ToOptionalMicros(job.first_sent_ago));
  out.setGeneratedId(job.generated_id);
  out.setRequest(job.is_request);
  out.setIdempotent(job.idempotent);
  capnp::List<rpc::TaskSpec>::Builder tasks = out.initTasks(job.tasks.size());
  unsigned i = 0;
  for (const task_spec& task : job.tasks) {
    rpc::TaskSpec::Builder item = tasks[i++];
    item.setPayload(ToData(task.payload));
    item.setDeclaredUs(ToOptionalMicros(task.declared_run_time));
    item.setSize(task.input_size);
  }
}

job_spec ReadJob(rpc::JobSpec::Reader in) {
  job_spec job;
  job.job_id = ToString(in.getJobId());
  job.team = ToString(in.getTeam());
  job.service = ToString(in.getService());
  job.deadline = duration(in.getDeadlineUs());
  job.first_sent_ago = FromOptionalMicros(in.getFirstSentAgoUs());
  job.generated_id = in.getGeneratedId();
  job.is_request = in.getRequest();
  job.idempotent = in.getIdempotent();
  for (rpc::TaskSpec::Reader item : in.getTasks()) {
    job.tasks.push_back({ToString(item.getPayload()), FromOptionalMicros(item.getDeclaredUs()), item.getSize()});
  }
  return job;
}

void WriteFailure(const failure& error, rpc::Failure::Builder out) {
  out.setKind(static_cast<std::uint8_t>(error.kind));
  out.setRan(static_cast<std::uint8_t>(error.not_run));
  out.setReason(error.reason);
  out.setRetryAfterUs(ToOptionalMicros(error.retry_after));
}

std::optional<failure> ReadFailure(rpc::Failure::Reader in) {
  const std::optional<error_kind> kind = ToEnum(in.getKind(), error_kind::kInternal);
  const std::optional<not_run_state> not_run = ToEnum(in.getRan(), not_run_state::kUnknown);
  if (!kind || !not_run) {
    return std::nullopt;
  }
  failure error(*kind, *not_run, ToString(in.getReason()));
  error.retry_after = FromOptionalMicros(in.getRetryAfterUs());
  return error;
}

void WriteReply(const caller_reply& reply, rpc::CallerReply::Builder out) {
  out.setJobId(reply.job_id);
  out.setState(static_cast<std::uint8_t>(reply.state));
  capnp::List<capnp::Data>::Builder results = out.initResults(reply.results.size());
  unsigned i = 0;
  for (const std::string& result : reply.results) {
    results.set(i++, ToData(result));
  }
  out.setHasError(reply.error.has_value());
  if (reply.error) {
    WriteFailure(*reply.error, out.initError());
  }
  out.setTasksDone(reply.tasks_done);
  out.setTasksTotal(reply.tasks_total);
  out.setResponseUs(reply.response_time.count());
  out.setIdealUs(reply.ideal_time.count());
  out.setMessages(reply.messages);
}

std::optional<caller_reply> ReadReply(rpc::CallerReply::Reader in) {
  const std::optional<job_state> state = ToEnum(in.getState(), job_state::kFailed);
  if (!state) {
    return std::nullopt;
  }
  caller_reply reply;
  reply.job_id = ToString(in.getJobId());
  reply.state = *state;
  for (capnp::Data::Reader result : in.getResults()) {
    reply.results.push_back(ToString(result));
  }
  if (in.getHasError()) {
    reply.error = ReadFailure(in.getError());
    if (!reply.error) {
      return std::nullopt;
    }
  }
  reply.tasks_done = in.getTasksDone();
  reply.tasks_total = in.getTasksTotal();
  reply.response_time = duration(in.getResponseUs());
  reply.ideal_time = duration(in.getIdealUs());
  reply.messages = in.getMessages();
  return reply;
}

}  // namespace
}  // namespace detail

void Write(const relay_request& request, rpc::RelayRequest::Builder out) {
  out.setSender(request.sender);
  out.setLife(request.incarnation);
  out.setConfig(request.config);
  out.setFetchConfig(request.fetch_config);
  rpc::CallerRequest::Builder call = out.initCall();
  call.setVerb(static_cast<std::uint8_t>(request.call.verb));
  call.setWaitLimitUs(request.call.wait_limit.count());
  detail::WriteJob(request.call.job, call.initJob());
}

void Write(const relay_reply& reply, rpc::RelayReply::Builder out) {
  out.setConfig(reply.config);
  out.setDocument(reply.document);
  out.setNotHome(reply.not_leader);
  detail::WriteReply(reply.reply, out.initReply());
}

std::optional<relay_request> Read(rpc::RelayRequest::Reader in) {
  const std::optional<caller_verb> verb = detail::ToEnum(in.getCall().getVerb(), caller_verb::kCancel);
  if (!verb) {
    return std::nullopt;
  }
  relay_request request;
  request.sender = detail::ToString(in.getSender());
  request.incarnation = in.getLife();
  request.config = in.getConfig();
  request.fetch_config = in.getFetchConfig();
  request.call.verb = *verb;
  request.call.wait_limit = duration(in.getCall().getWaitLimitUs());
  request.call.job = detail::ReadJob(in.getCall().getJob());
  return request;
}

std::optional<relay_reply> Read(rpc::RelayReply::Reader in) {
  std::optional<caller_reply> inner = detail::ReadReply(in.getReply());
  if (!inner) {
    return std::nullopt;
  }
  relay_reply reply;
  reply.config = in.getConfig();
  reply.document = detail::ToString(in.getDocument());
  reply.not_leader = in.getNotHome();
  reply.reply = std::move(*inner);
  return reply;
}

}  // namespace bamboowing
