include "../lentilring/database/database.thrift"

struct CodecSample {
  1: list<string> colours
  2: list<list<database.TermStart>> grid
  3: optional string note
  4: optional database.TermStart start
  5: binary data
  6: i32 retries
}

struct CodecMismatch {
  1: i64 term
}

struct CodecRenamed {
  1: i64 term
}
