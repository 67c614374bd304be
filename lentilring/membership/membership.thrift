struct Member {
  1: string vm
  2: string address
  3: string failure_domain
  4: string region
  5: i64 incarnation
  6: string state
  7: i64 revision
  8: double weight
  9: i64 refutation
  10: string listing
  11: i64 listing_version
}

struct StatusGroup {
  1: i64 revision
  2: i64 flips
  3: list<i32> members
}

struct Probe {
  1: i64 sequence
  2: string target_vm
  3: list<Member> updates
}

struct IndirectProbe {
  1: i64 sequence
  2: string target_vm
  3: string target_address
  4: list<Member> updates
}

struct ProbeAnswer {
  1: i64 sequence
  2: list<Member> updates
}

struct Gossip {
  1: list<Member> updates
  2: list<StatusGroup> statuses
}

struct SyncRequest {
  1: i64 members_digest
  2: i64 statuses_digest
  3: list<Member> members
}

struct SyncReply {
  1: bool members_differ
  2: list<Member> members
  3: list<StatusGroup> statuses
}
