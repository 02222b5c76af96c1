#include "bamboowing/transport/worker_commitments.h"

namespace bamboowing {
namespace {

void Add(resource_size& sum, const resource_size& size) {
  sum.cores += size.cores;
  sum.memory_bytes += size.memory_bytes;
}

}  // namespace

bool worker_commitments::Fits(const resource_size& size) const {
  resource_size sum = Committed();
  Add(sum, size);
  return sum.cores <= capacity_.cores && sum.memory_bytes <= capacity_.memory_bytes;
}

void worker_commitments::Reserve(const resource_size& size) { Add(unconfirmed_, size); }

void worker_commitments::Confirm(const resource_size& size, std::uint64_t grant) {
  unconfirmed_.cores -= size.cores;
  unconfirmed_.memory_bytes -= size.memory_bytes;
  if (grant > last_report_.last_grant) {
    unreported_grants_[grant] = size;
  }
}

void worker_commitments::ApplyReport(const usage_report& report) {
  if (report.last_grant < last_report_.last_grant) {
    return;
  }
  last_report_ = report;
  unreported_grants_.erase(unreported_grants_.begin(), unreported_grants_.upper_bound(report.last_grant));
}

resource_size worker_commitments::Committed() const {
  resource_size sum = last_report_.used;
  Add(sum, unconfirmed_);
  for (const std::pair<const std::uint64_t, resource_size>& grant : unreported_grants_) {
    Add(sum, grant.second);
  }
  return sum;
}

}  // namespace bamboowing
