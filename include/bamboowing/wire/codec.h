/// @file
/// Conversion between the typed messages and their Cap'n Proto form (schema/wire.capnp).
///
/// Every Read function validates enumeration values and returns nullopt for a message from an incompatible or faulty
/// peer; the caller then drops the message and closes the session.
#pragma once

#include <optional>

#include "bamboowing/message/batch.h"
#include "bamboowing/message/job.h"
#include "bamboowing/message/job_claim.h"
#include "bamboowing/wire/generated/wire.capnp.h"

namespace bamboowing {

/// Serializes the message into @p out.
void Write(const entry_batch& batch, rpc::EntryBatch::Builder out);
void Write(const agent_batch& batch, rpc::AgentBatch::Builder out);
void Write(const relay_request& request, rpc::RelayRequest::Builder out);
void Write(const relay_reply& reply, rpc::RelayReply::Builder out);
void Write(const claim_request& request, rpc::ClaimRequest::Builder out);
void Write(const claim_reply& reply, rpc::ClaimReply::Builder out);

/// Returns the typed form of a wire message, or nullopt if a value is out of range.
std::optional<entry_batch> Read(rpc::EntryBatch::Reader in);
std::optional<agent_batch> Read(rpc::AgentBatch::Reader in);
std::optional<relay_request> Read(rpc::RelayRequest::Reader in);
std::optional<relay_reply> Read(rpc::RelayReply::Reader in);
std::optional<claim_request> Read(rpc::ClaimRequest::Reader in);
std::optional<claim_reply> Read(rpc::ClaimReply::Reader in);

}  // namespace bamboowing
