struct Announcement {
  1: i64 revision
  2: i64 head
  3: optional double age_s
  4: bool store_is_down
  5: optional i64 token
}

struct Confirmation {
  1: i64 token
  2: i64 revision
  3: i64 head
  4: i64 confirmed_revision
  5: optional double age_s
  6: bool store_is_down
}

struct ConfigurationObject {
  1: string kind
  2: string name
  3: i64 version
  4: i64 revision
  5: optional string value
}

struct FetchRequest {
  1: i64 after_revision
}

struct FetchReply {
  1: list<ConfigurationObject> objects
  2: i64 revision
  3: bool more
}
