include "../database/database.thrift"

struct LogEntry {
  1: i64 term
  2: string client_account
  3: string action
  4: string operations
  5: string idempotency_key
  6: string result
}

struct PullEntries {
  1: string server
  2: i64 term
  3: i64 position
  4: i64 last_term
  5: double min_age_s
  6: double wait_s
  7: i32 limit
}

struct PulledEntries {
  1: i64 term
  2: bool accepted
  3: bool matched
  4: i64 position
  5: list<LogEntry> entries
  6: list<database.TermStart> log_terms
}
