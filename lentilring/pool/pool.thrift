// Messages between the proxy that received a request (entry proxy) and a gateway.

struct GatewayRequest {
  1: string request_id,
  2: string group,
  3: string server,
  4: string client_account,
  5: string action,
  6: string statement,
  7: string idempotency_key,
  8: i64 session_term,
  9: i64 session_position,
  10: optional double max_staleness_s,
  11: bool needs_replica,
  12: double timeout_s,
}

struct GatewayReply {
  1: string tag,
  2: string reason,
  3: string detail,
  4: optional double retry_after_s,
  5: string result,
  6: i64 term,
  7: i64 position,
  8: string server,
  9: bool from_replica,
  10: bool replayed,
  11: i64 server_position,
  12: string transaction_id,
}

struct SamplePrimary {
  1: string group,
}

struct PrimarySample {
  1: bool known,
  2: i64 term,
  3: i64 entry_term,
  4: i64 position,
  5: double age_s,
}
