// Messages between proxies that read the platform's store and proxies that follow them.

struct RelayedRecord {
  1: string name,
  2: i64 revision,
  3: bool is_deleted,
  4: binary content,
}

struct WatchRecords {
  1: string kind,
  2: i64 after_revision,
  3: double wait_s,
}

struct RelayedRecords {
  1: string refusal,
  2: i64 revision,
  3: bool is_complete,
  4: list<RelayedRecord> records,
  5: double age_s,
  6: double waited_s,
}
