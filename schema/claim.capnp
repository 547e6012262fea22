@0xd1b7a3f0c95e4a68;
# Claims sent to the preferred writer of a stream. See docs/design/claims.md.

annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("generated");

struct Ask {
  workspace @0 :Text;
  key @1 :Text;
  digest @2 :Text;
  request @3 :Data;
  # Milliseconds since the Unix epoch; 0 when the caller did not say.
  issuedMs @4 :UInt64;
  remainingMs @5 :UInt64;
}

struct Part {
  stage @0 :Text;
  body @1 :Text;
}

struct Settle {
  ask @0 :Ask;
  union {
    answered @1 :Text;
    partial @2 :List(Part);
    unknown @3 :Void;
    released @4 :Void;
  }
}

struct Message {
  union {
    ask @0 :Ask;
    settle @1 :List(Settle);
  }
}

struct Refusal {
  reason @0 :Text;
  hasRetryAfter @1 :Bool;
  retryAfterMs @2 :UInt64;
}

struct Reply {
  # Whether a claim may stand although the request will not run, so that its executor must
  # release it.
  stands @8 :Bool;
  union {
    # Not decided yet; the asker asks again.
    pending @0 :Void;
    granted @1 :Void;
    answered @2 :Text;
    resume @3 :List(Part);
    conflict @4 :Void;
    unknown @5 :Void;
    notRun @6 :Refusal;
    # Whether every outcome stands in the log.
    durable @7 :Bool;
  }
}
