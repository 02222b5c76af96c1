/// @file
/// Basic vocabulary shared by every library: time, spans and identifiers.
#pragma once

#include <chrono>
#include <cstdint>
#include <gsl/span>
#include <string>
#include <tuple>

namespace bamboowing {

/// A length of time, in microseconds.
using duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process. Decision libraries receive it as an argument and never read a clock,
/// so that tests and benchmarks can drive them in virtual time.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A non-owning view of contiguous elements.
template <typename T>
using span = gsl::span<T>;

/// Distinguishes successive lives of a process that reuse the same id. Drawn at random when the process starts, never
/// 0.
using incarnation_id = std::uint64_t;

/// Version of the operators' configuration document; 0 means that none is known.
using config_version = std::uint64_t;

/// Number of the current home of a shard; grows with every change of home. 0 means that none is known.
using epoch = std::uint64_t;

/// Names an agent's session with an entry. Never reused within the life of the entry's process.
using session_id = std::uint64_t;

/// Names a caller's HTTP call. Never reused within the life of a process.
using call_id = std::uint64_t;

/// Names a shard: one part of the work of a service, dispatched by one entry.
struct shard_id {
  std::string service;
  std::uint32_t index = 0;

  friend bool operator==(const shard_id& a, const shard_id& b) { return a.service == b.service && a.index == b.index; }
  friend bool operator!=(const shard_id& a, const shard_id& b) { return !(a == b); }
  friend bool operator<(const shard_id& a, const shard_id& b) {
    return std::tie(a.service, a.index) < std::tie(b.service, b.index);
  }
};

/// Names one start of one task. Every start, answer and refusal carries it.
struct task_key {
  std::string job_id;
  std::uint32_t task = 0;     ///< index of the task in its job, from 0
  std::uint32_t attempt = 0;  ///< grows only after a refusal that proves that the task was not started

  friend bool operator==(const task_key& a, const task_key& b) {
    return a.task == b.task && a.attempt == b.attempt && a.job_id == b.job_id;
  }
  friend bool operator<(const task_key& a, const task_key& b) {
    return std::tie(a.job_id, a.task, a.attempt) < std::tie(b.job_id, b.task, b.attempt);
  }
};

}  // namespace bamboowing
