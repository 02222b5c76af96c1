#include "bamboowing/besteffort/expiring_jobs.h"

#include <algorithm>
#include <iterator>

namespace bamboowing {

bool expiring_jobs::Add(const std::string& job_id, instant until) {
  const std::map<std::string, known_job>::iterator known = jobs_.find(job_id);
  if (known != jobs_.end() && until < known->second.until + kMinExtension) {
    return false;
  }
  jobs_[job_id] = {until, ++revision_};
  if (jobs_.size() > kMaxJobs) {
    jobs_.erase(std::min_element(
        jobs_.begin(), jobs_.end(),
        [](const std::pair<const std::string, known_job>& a, const std::pair<const std::string, known_job>& b) {
          return a.second.until < b.second.until;
        }));
  }
  return true;
}

void expiring_jobs::Merge(const std::vector<job_expiry>& jobs, duration max_remaining, instant now) {
  for (const job_expiry& job : jobs) {
    if (job.remaining > duration(0)) {
      Add(job.job_id, now + std::min(job.remaining, max_remaining));
    }
  }
}

void expiring_jobs::Expire(instant now) {
  for (std::map<std::string, known_job>::iterator item = jobs_.begin(); item != jobs_.end();) {
    item = item->second.until <= now ? jobs_.erase(item) : std::next(item);
  }
}

duration expiring_jobs::Remaining(const std::string& job_id, instant now) const {
  const std::map<std::string, known_job>::const_iterator known = jobs_.find(job_id);
  return known == jobs_.end() ? duration(0) : std::max(known->second.until - now, duration(0));
}

std::vector<job_expiry> expiring_jobs::Since(std::uint64_t revision, instant now) const {
  std::vector<job_expiry> changed;
  if (revision >= revision_) {
    return changed;
  }
  for (const std::pair<const std::string, known_job>& item : jobs_) {
    if (item.second.revision > revision && now < item.second.until) {
      changed.push_back({item.first, item.second.until - now});
    }
  }
  return changed;
}

}  // namespace bamboowing
