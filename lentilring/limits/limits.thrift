struct ShareHolder {
  1: i32 share
  2: string vm
  3: i64 incarnation
  4: string address
  5: i64 version
}

struct GrantReport {
  1: string account
  2: i32 share
  3: i64 grant
  4: double used
  5: double returned
}

struct TokenGrant {
  1: i32 share
  2: i64 grant
  3: double amount
}

struct TokenRequest {
  1: string account
  2: double needed
  3: double wanted
  4: bool borrow
  5: bool fractional
  6: i64 lender_incarnation
  7: list<GrantReport> reports
}

struct TokenAnswer {
  1: string status
  2: i64 incarnation
  3: double lifetime_s
  4: double retry_after_s
  5: double level
  6: list<TokenGrant> grants
  7: list<ShareHolder> holders
}

struct TokenReport {
  1: i64 lender_incarnation
  2: list<GrantReport> reports
}

struct DirectoryRequest {
  1: i64 digest
}

struct DirectoryAnswer {
  1: list<ShareHolder> holders
}

struct ShareAnnouncement {
  1: ShareHolder holder
}

struct ShareOffer {
  1: i32 share
}

struct TakeTokens {
  1: string account,
  2: i64 wanted,
}

struct TokensTaken {
  1: i64 granted,
  2: double retry_after_s,
}

struct LendTokens {
  1: string account,
  2: double wanted,
}

struct TokensLent {
  1: double amount,
}

struct ProxyPresence {
  1: i64 incarnation,
}

struct ReturnTokens {
  1: string account,
  2: i64 amount,
}
