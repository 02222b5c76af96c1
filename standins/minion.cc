#include "standins/minion.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>

#include "bamboowing/base/random.h"
#include "standins/json_http.h"

namespace bamboowing::standin {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;
constexpr double kLongRunFraction = 0.05;
constexpr double kShortRunMinMs = 50;
constexpr double kShortRunMaxMs = 1000;
constexpr double kLongRunMinMs = 2000;
constexpr double kLongRunMaxMs = 8000;

std::uint64_t Fnv1aHash(std::string_view text, std::uint64_t start = kFnvOffset) {
  std::uint64_t hash = start;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

double LogUniform(double low, double high, double unit) { return low * std::pow(high / low, unit); }

duration DurationFromMs(double ms) { return duration(static_cast<std::int64_t>(ms * 1000)); }

http_response NotRunError(error_kind kind, const std::string& reason) {
  return ErrorResponse(failure(kind, not_run_state::kYes, reason));
}

}  // namespace

std::string MinionResult(std::string_view payload) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "r-%016llx", static_cast<unsigned long long>(Fnv1aHash(payload)));
  return text.data();
}

duration RunTime(std::string_view payload, std::string_view job_id, std::uint64_t task, std::uint64_t seed) {
  const nlohmann::json parsed = nlohmann::json::parse(payload, nullptr, false);
  if (parsed.is_object() && parsed.contains("work_ms") && parsed["work_ms"].is_number()) {
    return DurationFromMs(parsed["work_ms"].get<double>());
  }
  seeded_random random(Fnv1aHash(job_id, kFnvOffset ^ seed) + task * kFnvPrime);
  const bool is_long = random.Unit() < kLongRunFraction;
  const double unit = random.Unit();
  return DurationFromMs(is_long ? LogUniform(kLongRunMinMs, kLongRunMaxMs, unit)
                                : LogUniform(kShortRunMinMs, kShortRunMaxMs, unit));
}

minion::minion(const minion_options& options)
    : options_(options), fault_(options.fault), fail_share_(options.fail_share) {}

std::unique_ptr<minion> minion::Open(const minion_options& options, failure& error) {
  std::unique_ptr<minion> result(new minion(options));
  minion* const self = result.get();
  result->server_ = http_server::Open(
      options.address,
      [self](const http_request& request, const http_server::responder& answer) {
        self->HandleRequest(request, answer);
      },
      http_limits(), error);
  return result->server_ ? std::move(result) : nullptr;
}

minion::~minion() { Close(); }

void minion::Close() {
  std::vector<run> unanswered;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    unanswered.swap(unanswered_);
    fault_ = fault_ == minion_fault::kSilent ? minion_fault::kNone : fault_;
  }
  for (const run& each : unanswered) {
    each.answer(ErrorResponse(failure(error_kind::kDraining, not_run_state::kUnknown, "the minion is shutting down")));
  }
  if (server_) {
    server_->Close();
  }
}

void minion::HandleRequest(const http_request& request, const http_server::responder& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "POST" && request.path == "/run") {
    HandleRun(request, answer);
  } else if (request.method == "POST" && request.path == "/fault") {
    answer(SetFault(request));
  } else if (request.method == "GET" && request.path == "/stats") {
    answer(Stats());
  } else {
    answer(NotRunError(error_kind::kNotFound, "no such call: " + request.method + " " + request.path));
  }
}

void minion::HandleRun(const http_request& request, const http_server::responder& answer) {
  const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("job_id") || !body["job_id"].is_string() || !body.contains("task") ||
      !body["task"].is_number_unsigned() || !body.contains("payload") || !body["payload"].is_string()) {
    answer(NotRunError(error_kind::kInvalidField, "expected job_id, task and payload"));
    return;
  }
  if (running_ + waiting_.size() + unanswered_.size() >= options_.connections) {
    answer(NotRunError(error_kind::kOverloaded, "all connections are in use"));
    return;
  }
  run accepted{body["job_id"], body["task"], body["payload"], answer};
  ++accepted_runs_;
  run_count& count = run_counts_[{accepted.job_id, accepted.task}];
  ++count.runs;
  count.idempotent = body.value("idempotent", false);
  if (fault_ == minion_fault::kSilent || (options_.silent_after > 0 && accepted_runs_ > options_.silent_after)) {
    unanswered_.push_back(std::move(accepted));
  } else if (running_ < options_.slots) {
    StartRun(std::move(accepted));
  } else {
    waiting_.push_back(std::move(accepted));
  }
}

void minion::StartRun(run started) {
  ++running_;
  const bool failed = fault_ == minion_fault::kFailAll || (fault_ == minion_fault::kFailShare && DrawsFailure(started));
  duration time(0);
  if (fault_ != minion_fault::kFailAll) {
    const duration at_speed_one = RunTime(started.payload, started.job_id, started.task, options_.seed);
    time = std::chrono::duration_cast<duration>(at_speed_one / options_.speed);
  }
  timers_.ScheduleAt(Now() + time, [this, started = std::move(started), failed] { FinishRun(started, failed); });
}

void minion::FinishRun(const run& ended, bool failed) {
  if (failed) {
    ended.answer(ErrorResponse(failure(error_kind::kTargetFailed, "the task failed")));
  } else {
    ended.answer(JsonResponse(200, {{"result", MinionResult(ended.payload)}}));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  if (!waiting_.empty()) {
    run next = std::move(waiting_.front());
    waiting_.pop_front();
    StartRun(std::move(next));
  }
}

bool minion::DrawsFailure(const run& started) const {
  seeded_random random(Fnv1aHash(started.job_id, kFnvOffset ^ ~options_.seed) + started.task * kFnvPrime);
  return random.Unit() < fail_share_;
}

http_response minion::SetFault(const http_request& request) {
  static constexpr std::array<std::string_view, 4> kModes = {"none", "fail_all", "fail_share", "silent"};
  const nlohmann::json body = ParseJsonBody(request);
  const std::string mode = body.value("mode", "");
  const std::array<std::string_view, 4>::const_iterator found = std::find(kModes.begin(), kModes.end(), mode);
  if (found == kModes.end()) {
    return NotRunError(error_kind::kInvalidField, "expected mode none, fail_all, fail_share or silent");
  }
  fault_ = static_cast<minion_fault>(found - kModes.begin());
  fail_share_ = body.value("share", fail_share_);
  return JsonResponse(200, {{"mode", mode}});
}

http_response minion::Stats() const {
  nlohmann::json doubled = nlohmann::json::array();
  for (const std::pair<const std::pair<std::string, std::uint64_t>, run_count>& each : run_counts_) {
    if (each.second.runs > 1) {
      doubled.push_back({{"job_id", each.first.first},
                         {"task", each.first.second},
                         {"runs", each.second.runs},
                         {"idempotent", each.second.idempotent}});
    }
  }
  return JsonResponse(
      200, {{"runs", accepted_runs_}, {"doubled", doubled}, {"running", running_}, {"waiting", waiting_.size()}});
}

}  // namespace bamboowing::standin
