// Messages between the proxy that reports usage and the proxies that count it.

struct AccountUsage {
  1: string account,
  2: i64 requests,
}

struct WindowUsage {
  1: i64 window,
  2: list<AccountUsage> accounts,
}

struct AskUsage {
  1: i64 window,
  2: i64 reported,
}

struct UsageCounted {
  1: bool has_begun,
  2: list<AccountUsage> accounts,
}

struct AskReporter {
}

struct ReporterState {
  1: bool is_reporter,
}

struct HandOverUsage {
  1: list<WindowUsage> windows,
}

struct UsageTaken {
}
