/// @file
/// Messages between entries about which of them may start the tasks of a job.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/registrar_view.h"

namespace bamboowing {

/// An entry asks for the sole right to start tasks of a job, or states that it has it.
struct job_claim {
  std::string job_id;
  std::uint64_t number = 0;  ///< grows with each claim of the sending process
  duration hold{0};          ///< the sender has released the job after this time at the latest
  bool held = false;         ///< a majority has granted the claim: the registrar has only to record it
};

/// A claim as a registrar or its holder has recorded it.
struct held_claim {
  std::string holder;              ///< address of the entry that holds the job
  incarnation_id incarnation = 0;  ///< of its process
  job_claim claim;
};

/// What is known of a job whose claim has ended.
enum class claim_end : std::uint8_t {
  kReleased,       ///< another entry may run the job
  kCompleted,      ///< all tasks of the job are done
  kNotRepeatable,  ///< an earlier request may still start a task of the job
  kCancelled,      ///< a caller has cancelled the job
};

/// An entry ends its claim: none of its runs of the job is active.
struct claim_release {
  std::string job_id;
  std::uint64_t number = 0;  ///< of the claim
  claim_end end = claim_end::kReleased;
  duration retention{0};  ///< how long the end is to be remembered
};

/// What an entry tells the others of itself with each request and reply.
struct entry_status {
  bool complete = false;         ///< whether it knows all claims that were made before its process started
  bool leaving = false;          ///< its process drains and exits soon
  std::uint64_t known_view = 0;  ///< newest view of which it knows all claims that rest on the previous members alone
};

/// A caller has cancelled a job. From the entry that was asked to a registrar or the holder of the job.
struct job_cancel {
  std::string job_id;
  duration retention{0};  ///< how long no entry may start the job
  bool was_open = false;  ///< an entry is known to have had the job when it was cancelled
};

/// Answer to one cancel.
struct cancel_answer {
  std::string job_id;
  bool recorded = false;   ///< later claims of the job are denied here
  bool was_open = false;   ///< an entry is known to have had the job when it was cancelled
  bool completed = false;  ///< the job has completed
  std::string holder;      ///< address of the entry that may still run the job; empty if none is known
};

/// From an entry to a registrar of the jobs. It may be repeated.
struct claim_request {
  std::string address;  ///< "ip:port" at which the other entries reach the sender
  incarnation_id incarnation = 0;
  std::vector<claim_release> releases;  ///< precede the claims
  std::vector<job_claim> claims;
  bool fetch_claims = false;  ///< asks for the claims that the receiver holds or has recorded
  registrar_view view;        ///< newest known to the sender; without members if the receiver knows it
  entry_status status;        ///< of the sender
  std::vector<job_cancel> cancels;
  bool fetch_agents = false;  ///< asks for the agents that are in contact with the receiver
};

enum class claim_verdict : std::uint8_t {
  kGranted,
  kHeld,           ///< another entry holds the job
  kCompleted,      ///< the job has completed
  kNotRepeatable,  ///< no entry may run the job at present, since an earlier request may still start a task
  /// The registrar can't tell: it has not learned the claims that were made before its start, its view may be
  /// outdated, or the claim is.
  kUndecided,
  kCancelled,  ///< a caller has cancelled the job
};

/// Answer to one claim.
struct claim_answer {
  std::string job_id;
  std::uint64_t number = 0;
  claim_verdict verdict = claim_verdict::kUndecided;
  std::string holder;  ///< address of the entry that holds the job; empty unless the verdict is kHeld
  /// Set if the registrar does not know which start requests of the job were sent longer ago than this: an entry that
  /// held the job was lost, or the registrar has lost its memory. Agents that were lost since may have sent some.
  std::optional<duration> starts_unknown_before = std::nullopt;
};

/// A job whose holder was lost.
struct lost_claim {
  std::string job_id;
  duration age{0};  ///< time since the claim of the lost holder has ended
};

/// A process of an entry.
struct entry_process {
  std::string address;  ///< of the entry
  incarnation_id incarnation = 0;
};

/// Answer to a claim_request.
struct claim_reply {
  incarnation_id incarnation = 0;  ///< of the process that answers
  std::vector<claim_answer> answers;
  std::vector<held_claim> held;    ///< claims that the answering entry has or has recorded, if they were asked for
  std::vector<std::string> peers;  ///< addresses of the entries that it reaches, if its claims were asked for
  std::vector<entry_process>
      new_processes;  ///< that the answering entry has heard of for a short time, if claims were sent
  /// Whether the answering entry may decide about claims. If not, the reply confirms none of those that it has granted.
  bool decides = false;
  entry_status status;                  ///< of the answering entry
  registrar_view view;                  ///< newest known to it; without members unless newer than the sender's
  std::optional<duration> process_age;  ///< time since the start of the answering process, if it knows the sender's
  std::optional<duration> view_age;     ///< time since the key-value service held no newer view, if that is known
  /// Jobs that no entry may start, with their remaining times, if the claims were asked for.
  std::vector<claim_release> forbidden;
  std::vector<cancel_answer> cancel_answers;
  std::vector<std::string> cancelled;  ///< ids of cancelled jobs that the sender has claimed and not released
  std::vector<lost_claim> lost;        ///< jobs whose holders were lost, if the claims were asked for
  /// How long the answering entry has known all claims, if it has lost its memory of earlier ones.
  std::optional<duration> memory_age;
  /// Agents in contact with the answering entry whose targets execute no starts of their earlier processes, if they
  /// were asked for.
  std::vector<std::string> agents;
};

}  // namespace bamboowing
