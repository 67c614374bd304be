struct ProbePrimary {
  1: string group
  2: string address
  3: double timeout_s
}

struct ProbeResult {
  1: bool reachable
}

struct SuspectPrimary {
  1: string group
  2: i32 term
}
