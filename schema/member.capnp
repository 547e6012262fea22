@0xd9a4c1b7e2f03566;
# Datagrams of the membership protocol between daemons.

enum Kind {
  ping @0;
  ack @1;
  relay @2;
  nack @3;
  gossip @4;
}

enum Status {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

enum Evidence {
  leaving @0;
  unreachable @1;
  draining @2;
  returned @3;
}

struct Member {
  daemon @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt32;
  status @4 :Status;
}

struct Mark {
  endpoint @0 :Text;
  evidence @1 :Evidence;
  reporter @2 :Text;
  sequence @3 :UInt32;
}

struct Packet {
  kind @0 :Kind;
  # Pairs an answer with its question.
  sequence @1 :UInt32;
  sender @2 :Member;
  # Hybrid logical time of the sender.
  wall @3 :UInt64;
  counter @4 :UInt32;
  # Revision of the sender's configuration, and the first bytes of its chain digest.
  revision @5 :UInt64;
  fingerprint @6 :UInt64;
  # Whom a relay shall probe.
  target @7 :Text;
  targetAddress @8 :Text;
  members @9 :List(Member);
  marks @10 :List(Mark);
}
