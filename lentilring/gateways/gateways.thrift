// Messages between the proxy of a caller and the gateway of a backend server.

struct SessionValue {
  1: string name,
  2: string value,
}

struct RunStatement {
  1: string request_id,
  2: string server,
  3: string account,
  4: string work,
  5: string text,
  6: string opening,
  7: string transaction,
  8: bool proves_lead,
  9: list<SessionValue> values,
  10: string prepared_name,
  11: bool prepared_writes,
  12: string prepared_shape,
  13: i64 after_term,
  14: i64 after_number,
  15: optional double max_staleness_s,
  16: i32 priority,
  17: double patience_s,
  18: double timeout_s,
}

struct StatementAnswer {
  1: string failure,
  2: string detail,
  3: optional double retry_after_s,
  4: list<string> rows,
  5: string proof,
  6: i64 term,
  7: i64 number,
  8: string transaction,
  9: double wait_s,
  10: optional double age_s,
  11: bool is_unreachable,
  12: optional double bad_share,
}

struct EndTransaction {
  1: string transaction,
}

struct TransactionEnded {
  1: bool known,
}

struct AskPosition {
  1: string server,
}

struct ProvenPosition {
  1: i64 term,
  2: i64 number,
  3: double age_s,
  4: double commit_silence_s,
}

struct Ping {
  1: i64 incarnation,
}

struct Pong {
  1: i64 incarnation,
}

struct LeadNotice {
  1: string server,
  2: i64 term,
}

struct ServerNotice {
  1: string server,
  2: optional double bad_share,
}
