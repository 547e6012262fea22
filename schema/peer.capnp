@0xb3f1c86d2a7e4951;
# Calls between daemons over kept connections.

# A hybrid logical time, which travels with each message.
struct Stamp {
  wall @0 :UInt64;
  counter @1 :UInt32;
}

enum Topic {
  claim @0;
  config @1;
  member @2;
  quarantine @3;
  digest @4;
  operate @5;
}

struct Token {
  index @0 :UInt32;
  text @1 :Text;
  version @2 :Text;
}

struct Usage {
  engineNanos @0 :UInt64;
  prefillTokens @1 :UInt64;
  tokens @2 :UInt64;
  linkBytes @3 :UInt64;
}

struct Part {
  stage @0 :Text;
  body @1 :Text;
}

# One try at running a stage; the empty text stands for none.
struct Call {
  request @0 :Data;
  workspace @1 :Text;
  pipeline @2 :Text;
  stage @3 :Text;
  attempt @4 :UInt32;
  key @5 :Text;
  remainingNanos @6 :UInt64;
  priority @7 :UInt8;
  input @8 :Text;
  maxTokens @9 :UInt32;
  resume @10 :List(Token);
  version @11 :Text;
}

struct Answer {
  request @0 :Data;
  stage @1 :Text;
  attempt @2 :UInt32;
  body @3 :Text;
  usage @4 :Usage;
  version @5 :Text;
}

enum Fault {
  notSent @0;
  refused @1;
  leaving @2;
  failed @3;
  lost @4;
  timeout @5;
}

struct Failure {
  fault @0 :Fault;
  peer @1 :Text;
  reason @2 :Text;
  limitNanos @3 :UInt64;
}

struct Result {
  union {
    answer @0 :Answer;
    failure @1 :Failure;
  }
}

# The rest of a request; the empty text stands for none.
struct Remainder {
  request @0 :Data;
  workspace @1 :Text;
  pipeline @2 :Text;
  key @3 :Text;
  attempt @4 :UInt32;
  body @5 :Text;
  parts @6 :List(Part);
  remainingNanos @7 :UInt64;
  granted @8 :Bool;
  stream @9 :Bool;
}

enum Verdict {
  answer @0;
  notRun @1;
  unknown @2;
  failed @3;
  conflict @4;
}

# How a remainder ended; the reason of an answer is its body.
struct Remote {
  verdict @0 :Verdict;
  reason @1 :Text;
  hasRetryAfter @2 :Bool;
  retryAfterNanos @3 :UInt64;
  parts @4 :List(Part);
  doubtful @5 :Bool;
  usage @6 :Usage;
}

# Receives the tokens of a call while it runs.
interface Sink {
  put @0 (tokens :List(Token)) -> ();
}

interface Daemon {
  ask @0 (stamp :Stamp, from :Text, topic :Topic, body :Data) -> (stamp :Stamp, body :Data);
  # `tokens` counts those that were put, so that the end is not taken before them.
  forward @1 (stamp :Stamp, address :Text, call :Call, sink :Sink) -> (stamp :Stamp, tokens :UInt32, result :Result);
  remainder @2 (stamp :Stamp, rest :Remainder, sink :Sink) -> (stamp :Stamp, tokens :UInt32, remote :Remote);
}
