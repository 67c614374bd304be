struct TermStart {
  1: i64 term
  2: i64 position
}

struct StatementRequest {
  1: i64 term
  2: string client_account
  3: string action
  4: string statement
  5: string idempotency_key
  6: string request_id
}

struct StatementReply {
  1: string status
  2: i64 term
  3: i64 position
  4: string result
  5: bool replayed
  6: string detail
}

struct ServerStatus {
  1: string server
  2: i64 term
  3: string role
  4: i64 position
  5: list<TermStart> log_terms
  6: double primary_silence_s
  7: i32 open_connections
  8: bool accepted
}

struct ReportStatus {
}

struct Fence {
  1: i64 term
}

struct Lead {
  1: i64 term
  2: i64 start_position
  3: list<string> replica_addresses
}

struct Follow {
  1: i64 term
  2: string primary_address
  3: i64 start_position
}

struct AwaitPosition {
  1: i64 term
  2: i64 position
  3: double wait_s
}

struct BackendHello {
  1: string client
  2: string kind
}

struct BackendWelcome {
  1: string server
}

struct BackendRefusal {
  1: string detail
}
