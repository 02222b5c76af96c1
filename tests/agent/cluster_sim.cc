#include "cluster_sim.h"

namespace bamboowing {
namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
const shard_id kSimShard{"defects", 0};
}  // namespace

void cluster_sim::RestartEntry(std::size_t e) {
  for (std::size_t a = 0; a < agents.size(); ++a) {
    if (entries[e].owner != nullptr) CloseLink(e, a, true);
  }
  entries[e].life = ++lives_;
  entries[e].jobs.clear();
  entries[e].recovery = job_recovery{recovery_settings{}};
  owner_settings settings;
  settings.shard = kSimShard;
  settings.entry_id = Address(e);
  settings.life = entries[e].life;
  entries[e].owner = std::make_unique<shard_owner>(settings, random.Next(), now);
}

void cluster_sim::RestartAgent(std::size_t a) {
  for (std::size_t e = 0; e < entries.size(); ++e) {
    if (agents[a].core != nullptr) CloseLink(e, a, false);
  }
  agents[a].life = ++lives_;
  agents[a].running.clear();
  agents[a].refused.clear();
  agent_settings settings;
  settings.id = AgentId(a);
  settings.life = agents[a].life;
  settings.entries = {Address(0), Address(1), Address(2)};
  agents[a].core = std::make_unique<agent_core>(settings, random.Next(), now);
}

void cluster_sim::Submit(std::size_t tasks, bool marked) {
  clients.push_back({"job-" + std::to_string(clients.size()), tasks, now, now, marked});
}

cluster_sim::client_job* cluster_sim::Client(const std::string& id) {
  for (client_job& job : clients) {
    if (job.id == id) return &job;
  }
  return nullptr;
}

// A message arrives in order within its session, unless a copy of it is delayed; a paused receiver handles it later.
void cluster_sim::Post(bool to_agent, std::size_t e, std::size_t a, message deliver) {
  sim_link& link = entries[e].links[a];
  link.silent = link.silent || link.cut;
  if (link.silent || !link.open) return;
  const std::uint64_t session = link.session;
  const incarnation_id life = to_agent ? agents[a].life : entries[e].life;
  const bool slow = random.Below(200) == 0;
  const duration delay(1000 + static_cast<std::int64_t>(random.Below(slow ? 1500000 : 2000)));
  instant& last = link.last_arrival[to_agent ? 1 : 0];
  last = std::max(last, now + delay);
  const message guarded = [=]() { Receive(to_agent, to_agent ? a : e, life, deliver); };
  net_.emplace(last, [=]() {
    if (entries[e].links[a].session == session) guarded();
  });
  if (random.Below(50) == 0) net_.emplace(last + duration(random.Below(3000000)), guarded);
}

void cluster_sim::Receive(bool is_agent, std::size_t i, incarnation_id life, const message& deliver) {
  if ((is_agent ? agents[i].life : entries[i].life) != life) return;
  if (is_agent ? agents[i].paused : entries[i].paused) {
    waiting_[{is_agent, i}].push_back([=]() { Receive(is_agent, i, life, deliver); });
    return;
  }
  deliver();
}

void cluster_sim::CloseLink(std::size_t e, std::size_t a, bool tell_agent) {
  sim_link& link = entries[e].links[a];
  if (!link.open) return;
  link.open = link.attached = false;
  ++link.session;
  entries[e].owner->OnAgentDetached(AgentId(a), now);
  if (tell_agent) agents[a].core->OnSessionClosed(Address(e), now);
}

void cluster_sim::OpenLink(std::size_t e, std::size_t a) {
  sim_link& link = entries[e].links[a];
  if (link.cut) return agents[a].core->OnSessionClosed(Address(e), now);
  link.open = true;
  link.attached = link.silent = false;
  link.agent_clock = instant{};
  ++link.session;
  agents[a].core->OnSessionOpened(Address(e), now);
}

void cluster_sim::RunTask(std::size_t a, const task_key& key, epoch started_by) {
  EXPECT_TRUE(started_.insert({key.job_id, key.task}).second) << key.job_id << "/" << key.task << " runs twice";
  EXPECT_EQ(agents[a].refused.count(key), 0U) << key.job_id << "/" << key.task << " was refused and runs";
  EXPECT_LE((now - last_authority_[started_by]).count(), (seconds(1) + kStep).count()) << "no authority for the start";
  agents[a].running[key] = now + milliseconds(50 + random.Below(1000));
}

void cluster_sim::ActAgent(std::size_t a) {
  const std::vector<agent_action> actions(agents[a].core->actions().begin(), agents[a].core->actions().end());
  agents[a].core->ClearActions();
  epoch started_by = 0;  // of the start that the next run_task carries out
  for (const agent_action& action : actions) {
    for (std::size_t e = 0; e < entries.size(); ++e) {
      if (std::holds_alternative<send_batch>(action) && std::get<send_batch>(action).peer == Address(e)) {
        const agent_batch batch = std::get<send_batch>(action).batch;
        for (const task_refusal& refusal : batch.refusals) agents[a].refused.insert(refusal.key);
        Post(false, e, a, [this, e, a, batch]() { OnAgentBatch(e, a, batch); });
      } else if (std::holds_alternative<open_session>(action) && std::get<open_session>(action).address == Address(e)) {
        OpenLink(e, a);
      } else if (std::holds_alternative<close_session>(action) &&
                 std::get<close_session>(action).address == Address(e)) {
        CloseLink(e, a, false);
      }
    }
    if (std::holds_alternative<run_task>(action)) RunTask(a, std::get<run_task>(action).key, started_by);
    if (std::holds_alternative<record_event>(action) &&
        std::get<record_event>(action).what.kind == event_kind::kTaskStarted) {
      started_by = std::get<record_event>(action).what.number;
    }
  }
}

void cluster_sim::SendToAgent(std::size_t e, std::size_t a, const std::function<void(entry_batch&)>& fill) {
  sim_entry& entry = entries[e];
  sim_link& link = entry.links[a];
  entry_batch batch;
  batch.header = {Address(e), entry.life, now, link.agent_clock, link.agent_life, 0, entry.owner->claimed_epoch()};
  batch.shard = kSimShard;
  fill(batch);
  Post(true, e, a, [this, e, a, batch]() { agents[a].core->OnBatch(Address(e), batch, now); });
}

void cluster_sim::ActEntry(std::size_t e) {
  sim_entry& entry = entries[e];
  const std::vector<owner_action> actions(entry.owner->actions().begin(), entry.owner->actions().end());
  entry.owner->ClearActions();
  for (const owner_action& action : actions) {
    for (std::size_t a = 0; a < agents.size(); ++a) {
      if (std::holds_alternative<claim_agent>(action) && std::get<claim_agent>(action).agent == AgentId(a)) {
        SendToAgent(e, a, [](entry_batch& batch) { batch.claim = true; });
      } else if (std::holds_alternative<probe_agent>(action) && std::get<probe_agent>(action).agent == AgentId(a)) {
        SendToAgent(e, a, [](entry_batch&) {});
      }
    }
    if (std::holds_alternative<claimed_shard>(action)) {
      entry.recovery.Begin(std::get<claimed_shard>(action).to_account, now);
    } else if (std::holds_alternative<became_home>(action)) {
      entry.recovery.OnHome(now);
    } else if (std::holds_alternative<lost_home>(action)) {
      entry.jobs.clear();
    } else if (!entry.store_cut) {
      const std::optional<store_result> result = store.Apply(action, now);
      const incarnation_id life = entry.life;
      if (result.has_value() && random.Below(30) != 0) {
        const store_result answer = *result;
        const message deliver = [this, e, answer]() { entries[e].owner->OnStoreResult(answer, now); };
        net_.emplace(now + milliseconds(5), [=]() { Receive(false, e, life, deliver); });
      }
    }
  }
}

const held_task* cluster_sim::Held(const agent_batch& batch, const std::string& job, std::uint32_t task) {
  for (const held_task& held : batch.inventory) {
    if (held.key.job_id == job && held.key.task == task) return &held;
  }
  return nullptr;
}

void cluster_sim::OnAgentBatch(std::size_t e, std::size_t a, const agent_batch& batch) {
  sim_entry& entry = entries[e];
  sim_link& link = entry.links[a];
  if (batch.header.life != agents[a].life) return;
  if (link.agent_life != batch.header.life) {
    // The earlier life is lost with what it ran.
    entry.recovery.OnAgentLost({AgentId(a), link.agent_life});
    for (auto& [id, job] : entry.jobs) {
      for (const sim_task& task : job.tasks) {
        const bool there = task.state == task_state::kSent || task.state == task_state::kAwaited;
        job.failed = job.failed || (there && task.agent == a);
      }
    }
    link.agent_life = batch.header.life;
    link.agent_clock = instant{};
  }
  link.agent_clock = std::max(link.agent_clock, batch.header.sent_at);
  if (!link.attached && link.open) {
    link.attached = true;
    entry.owner->OnAgentAttached(AgentId(a), batch.header.life, now);
  }
  entry.owner->OnAgentBatch(batch, now);
  const bool acknowledges = batch.inventory_of != 0 && batch.inventory_of == entry.owner->claimed_epoch();
  if (acknowledges) entry.recovery.OnInventory({AgentId(a), batch.header.life}, batch.inventory, now);
  for (auto& [id, job] : entry.jobs) {
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
      for (const task_answer& answer : batch.answers) {
        if (answer.key.job_id == id && answer.key.task == i) {
          job.failed = job.failed || answer.status == task_status::kLost;
          job.tasks[i].state = task_state::kDone;
        }
      }
      for (const task_refusal& refusal : batch.refusals) {
        if (refusal.key == task_key{id, i, job.tasks[i].attempt} && job.tasks[i].state == task_state::kSent) {
          job.tasks[i] = {task_state::kQueued, 0, refusal.key.attempt + 1, instant{}};
        }
      }
    }
  }
  if (batch.status_reply && !acknowledges) Reconcile(e, a, batch);
}

// A fresh session: what the agent does not hold was not started, and what it has answered is fetched.
void cluster_sim::Reconcile(std::size_t e, std::size_t a, const agent_batch& batch) {
  for (auto& [id, job] : entries[e].jobs) {
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
      sim_task& task = job.tasks[i];
      if (task.agent != a || task.state == task_state::kQueued || task.state == task_state::kDone) continue;
      const held_task* held = Held(batch, id, i);
      if (held == nullptr && task.state == task_state::kSent) {
        if (task.echo < batch.header.sent_at) task = {task_state::kQueued, 0, task.attempt + 1, instant{}};
      } else if (held == nullptr) {
        job.failed = true;
      } else if (held->state == held_state::kAnswered) {
        const std::string job_id = id;
        SendToAgent(e, a, [job_id](entry_batch& b) { b.fetch_jobs = {job_id}; });
      }
    }
  }
}

void cluster_sim::Accept(std::size_t e, client_job& client) {
  sim_entry& entry = entries[e];
  if (!entry.owner->has_authority(now) || entry.jobs.count(client.id) != 0) return;
  job_spec spec;
  spec.job_id = client.id;
  spec.tasks.resize(client.tasks);
  if (client.marked) spec.first_sent_ago = now - client.first_sent;
  const recovery_decision decision = entry.recovery.Decide(spec, now);
  if (decision.verdict == recovery_verdict::kHold) return;
  sim_job& job = entry.jobs[client.id];
  job.failed = decision.verdict == recovery_verdict::kFail;
  for (const task_plan& plan : decision.tasks) {
    sim_task task;
    task.attempt = FirstAttempt(entry.owner->claimed_epoch());
    if (plan.step != task_step::kStart) {
      task = {task_state::kAwaited, static_cast<std::size_t>(plan.agent.id.back() - '0'), plan.attempt, {}};
    }
    if (plan.step != task_step::kStart) {
      SendToAgent(e, task.agent, [&spec](entry_batch& batch) { batch.fetch_jobs = {spec.job_id}; });
    }
    job.tasks.push_back(task);
  }
}

void cluster_sim::Dispatch(std::size_t e) {
  std::map<std::size_t, std::size_t> in_flight;
  for (auto& [id, job] : entries[e].jobs) {
    for (const sim_task& task : job.tasks)
      in_flight[task.agent] += task.state == task_state::kSent && !job.failed ? 1 : 0;
  }
  for (auto& [id, job] : entries[e].jobs) {
    for (std::uint32_t i = 0; i < job.tasks.size() && !job.failed; ++i) {
      const std::size_t a = random.Below(agents.size());
      const sim_link& link = entries[e].links[a];
      const bool fresh = link.attached && link.agent_clock + milliseconds(900) > now;
      if (job.tasks[i].state != task_state::kQueued || !fresh || !entries[e].owner->IsUsable(AgentId(a))) continue;
      if (in_flight[a]++ >= 2) continue;
      job.tasks[i].state = task_state::kSent;
      job.tasks[i].agent = a;
      job.tasks[i].echo = link.agent_clock;
      const task_key key{id, i, job.tasks[i].attempt};
      SendToAgent(e, a, [&key](entry_batch& batch) { batch.starts.push_back({key, "", seconds(10), false}); });
    }
  }
}

void cluster_sim::Finish(std::size_t e) {
  for (auto& [id, job] : entries[e].jobs) {
    client_job* client = Client(id);
    if (client->done || client->failed || (!job.failed && !job.complete())) continue;
    // One answer in ten is lost on its way to the client, which submits the job again.
    if (random.Below(10) == 0) continue;
    (job.failed ? client->failed : client->done) = true;
    const std::string job_id = id;
    for (std::size_t a = 0; a < agents.size(); ++a) {
      SendToAgent(e, a, [job_id](entry_batch& batch) { batch.released_jobs = {job_id}; });
    }
  }
}

void cluster_sim::Step() {
  now += kStep;
  while (!net_.empty() && net_.begin()->first <= now) {
    const message deliver = net_.begin()->second;
    net_.erase(net_.begin());
    deliver();
  }
  for (auto& [receiver, messages] : waiting_) {
    if (receiver.first ? agents[receiver.second].paused : entries[receiver.second].paused) continue;
    const std::vector<message> delivered = std::move(messages);
    messages.clear();
    for (const message& deliver : delivered) deliver();
  }
  const bool beat = now.time_since_epoch() % milliseconds(500) == duration(0);
  int with_authority = 0;
  for (std::size_t e = 0; e < entries.size(); ++e) {
    const bool authority = entries[e].owner->has_authority(now);
    with_authority += authority ? 1 : 0;
    if (authority) last_authority_[entries[e].owner->claimed_epoch()] = now;
    if (entries[e].paused) continue;
    entries[e].owner->OnTick(now);
    if (entries[e].owner->has_authority(now)) Dispatch(e);
    for (std::size_t a = 0; beat && a < agents.size(); ++a) SendToAgent(e, a, [](entry_batch&) {});
    ActEntry(e);
    Finish(e);
  }
  EXPECT_LE(with_authority, 1) << "two owners have authority";
  for (std::size_t a = 0; a < agents.size(); ++a) {
    if (agents[a].paused) continue;
    agents[a].core->OnTargetAnnounced({"defects", "", 2, false}, now);
    for (auto it = agents[a].running.begin(); it != agents[a].running.end();) {
      const bool ended = it->second <= now;
      if (ended) agents[a].core->OnTaskEnded({it->first, task_status::kSucceeded, "r", milliseconds(1)}, now);
      it = ended ? agents[a].running.erase(it) : std::next(it);
    }
    agents[a].core->OnTick(now);
    ActAgent(a);
  }
  for (client_job& job : clients) {
    if (job.done || job.failed || now < job.next_try) continue;
    job.next_try = now + milliseconds(300 + random.Below(1000));
    const std::size_t e = random.Below(entries.size());
    if (!entries[e].paused) Accept(e, job);
  }
}

}  // namespace bamboowing
