// Messages between the proxy that received a request and the gateway of a transaction.

struct TransactionRequest {
  1: string request_id,
  2: string group,
  3: string client_account,
  4: string step,
  5: string transaction_id,
  6: string statement,
  7: string idempotency_key,
  8: bool needs_replica,
  9: double timeout_s,
}
