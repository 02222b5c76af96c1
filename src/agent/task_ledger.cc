#include "bamboowing/agent/task_ledger.h"

#include <algorithm>

namespace bamboowing {
namespace {

// Estimated size of the record and the container overhead of one answer.
constexpr std::size_t kAnswerOverheadBytes = 128;

std::size_t BytesOf(const task_answer& answer) {
  return answer.key.job_id.size() + answer.result.size() + kAnswerOverheadBytes;
}

}  // namespace

task_ledger::task_ledger(const ledger_limits& limits) : limits_(limits) {
  // The queues require that a record is retained at least as long as its answer.
  limits_.record_retention = std::max(limits.record_retention, limits.retention);
}

const task_record* task_ledger::Find(const std::string& job_id, std::uint32_t task) const {
  const job_map::const_iterator job = jobs_.find(job_id);
  if (job == jobs_.end()) {
    return nullptr;
  }
  for (const task_record& record : job->second) {
    if (record.task == task) {
      return &record;
    }
  }
  return nullptr;
}

task_record* task_ledger::Lookup(const std::string& job_id, std::uint32_t task) {
  return const_cast<task_record*>(Find(job_id, task));
}

void task_ledger::RecordStart(const task_key& key) {
  task_record record;
  record.task = key.task;
  record.started_attempt = key.attempt;
  record.latest_attempt = key.attempt;
  jobs_[key.job_id].push_back(record);
  ++records_;
  ++running_;
}

void task_ledger::RecordRepeatedStart(const task_key& key) {
  task_record* record = Lookup(key.job_id, key.task);
  if (record == nullptr) {
    return;
  }
  record->latest_attempt = std::max(record->latest_attempt, key.attempt);
  if (record->answer.has_value()) {
    record->answer->key.attempt = record->latest_attempt;
  }
}

std::optional<task_answer> task_ledger::RecordAnswer(const task_answer& answer, instant now) {
  const job_map::iterator job = jobs_.find(answer.key.job_id);
  task_record* record = Lookup(answer.key.job_id, answer.key.task);
  if (record == nullptr || record->state != held_state::kRunning) {
    return std::nullopt;
  }
  task_answer result = answer;
  result.key.attempt = record->latest_attempt;
  --running_;
  ended_.push_back({now, &job->first, record->task});
  if (record->released) {
    record->state = held_state::kReleased;
    return result;
  }
  record->state = held_state::kAnswered;
  record->answer = result;
  ++retained_;
  bytes_ += BytesOf(result);
  answers_.push_back({now, &job->first, record->task});
  while (bytes_ > limits_.bytes) {
    DropOldestAnswer();
  }
  return result;
}

void task_ledger::Release(const std::string& job_id) {
  const job_map::iterator job = jobs_.find(job_id);
  if (job == jobs_.end()) {
    return;
  }
  for (task_record& record : job->second) {
    record.released = true;
    DropAnswer(record);
  }
}

void task_ledger::Expire(instant now) {
  while (!answers_.empty() && answers_.front().at + limits_.retention <= now) {
    DropOldestAnswer();
  }
  while (!ended_.empty() && ended_.front().at + limits_.record_retention <= now) {
    const ended_task oldest = ended_.front();
    ended_.pop_front();
    DropRecord(oldest);
  }
}

std::optional<instant> task_ledger::next_expiry() const {
  std::optional<instant> next;
  if (!answers_.empty()) {
    next = answers_.front().at + limits_.retention;
  }
  if (!ended_.empty()) {
    const instant record = ended_.front().at + limits_.record_retention;
    next = next.has_value() ? std::min(*next, record) : record;
  }
  return next;
}

std::vector<held_task> task_ledger::Inventory(bool with_released) const {
  std::vector<held_task> held;
  for (const job_map::value_type& job : jobs_) {
    for (const task_record& record : job.second) {
      if (with_released || record.state != held_state::kReleased) {
        held.push_back({{job.first, record.task, record.latest_attempt}, record.state});
      }
    }
  }
  return held;
}

std::vector<task_record> task_ledger::RecordsOf(const std::string& job_id) const {
  const job_map::const_iterator job = jobs_.find(job_id);
  return job == jobs_.end() ? std::vector<task_record>{} : job->second;
}

void task_ledger::DropAnswer(task_record& record) {
  if (!record.answer.has_value()) {
    return;
  }
  bytes_ -= BytesOf(*record.answer);
  --retained_;
  record.answer.reset();
  record.state = held_state::kReleased;
}

void task_ledger::DropOldestAnswer() {
  const ended_task oldest = answers_.front();
  answers_.pop_front();
  task_record* record = Lookup(*oldest.job_id, oldest.task);
  if (record != nullptr) {
    DropAnswer(*record);
  }
}

void task_ledger::DropRecord(const ended_task& ended) {
  const job_map::iterator job = jobs_.find(*ended.job_id);
  std::vector<task_record>& tasks = job->second;
  const std::uint32_t task = ended.task;
  tasks.erase(std::find_if(tasks.begin(), tasks.end(), [task](const task_record& r) { return r.task == task; }));
  --records_;
  if (tasks.empty()) {
    jobs_.erase(job);
  }
}

}  // namespace bamboowing
