// Service and messages between entry instances.

struct MemberRecord {
  1: string instance,
  2: string data_centre,
  3: string address,
  4: i64 incarnation,
  5: i64 heartbeat,
  6: bool leaving,
  7: bool store_ok,
}

// State that two instances send each other. config_age is in seconds.
struct Digest {
  1: list<MemberRecord> members,
  2: i64 config_version,
  3: double config_age,
}

// A share is a fraction of the workspace's rate and burst.
struct LoanRequest {
  1: string loan_id,
  2: string workspace,
  3: double share,
}

// `tokens` move to the borrower with the share. A share of 0 is a refusal.
struct LoanAnswer {
  1: string loan_id,
  2: string workspace,
  3: double share,
  4: double tokens,
}

// Ends a loan early and returns the tokens that are left.
struct LoanReturn {
  1: string loan_id,
  2: string workspace,
  3: double tokens,
}

// State of an instance as JSON, for `dfw-ops status`.
struct Report {
  1: string json,
}

struct Challenge {
  1: binary nonce,
}

exception Refused {
  1: string reason,
}

service Peer {
  Challenge challenge(),
  // `proof` is the HMAC-SHA256 of the nonce, keyed with the shared secret.
  bool authenticate(1: binary proof) throws (1: Refused refused),
  Digest exchange(1: Digest digest) throws (1: Refused refused),
  binary configuration() throws (1: Refused refused),
  bool suspects(1: string group, 2: i64 term) throws (1: Refused refused),
  LoanAnswer borrow(1: LoanRequest request) throws (1: Refused refused),
  bool give_back(1: LoanReturn message) throws (1: Refused refused),
  Report report() throws (1: Refused refused),
}
