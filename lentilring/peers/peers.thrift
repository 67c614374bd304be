struct Envelope {
  1: i64 request_id
  2: string kind
  3: string vm
  4: i64 incarnation
  5: string address
  6: binary body
  7: string detail
}

struct ConnectionHello {
  1: string deployment
  2: binary nonce
}

struct ConnectionChallenge {
  1: binary nonce
  2: binary proof
}

struct ConnectionProof {
  1: binary proof
}

struct ConnectionRefusal {
  1: string reason
}
