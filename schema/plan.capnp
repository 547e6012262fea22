@0xd1c7b0a4e5f63821;
# Planning a region's requests in one daemon: what the others ask of it. Times are durations from
# the moment of the message, since clocks of VMs differ.

struct Need {
  service @0 :Text;
  after @1 :List(UInt16);
  bytes @2 :UInt64;
  pieces @3 :UInt16;
}

struct Part {
  id @0 :Text;
  tokens @1 :UInt64;
}

struct Job {
  request @0 :Text;
  key @1 :Text;
  needs @2 :List(Need);
  service @3 :Text;
  priority @4 :UInt8;
  targetNanos @5 :UInt64;
  endNanos @6 :UInt64;
  parts @7 :List(Part);
  promptTokens @8 :UInt64;
  outputTokens @9 :UInt64;
  zone @10 :Text;
  # The time in which a request of the route should be answered.
  spanNanos @11 :UInt64;
  # What its answer is worth beside others of the route.
  weight @12 :Float32;
  # The digest of its content, under which crashes of endpoints are held against it.
  digest @13 :Text;
  # Results that another planner had made for it.
  made @14 :List(Made);
  # The software version that began its stream; empty when any may run it.
  release @15 :Text;
  # Endpoints that take nothing from the daemon that serves the client.
  closures @16 :List(Closure);
  # The regions in which it may be; empty when it may be in all.
  allowedRegions @17 :List(Text);
}

struct Closure {
  endpoint @0 :Text;
  # It is leaving; otherwise it takes nothing for some time.
  isLeaving @1 :Bool;
  leftNanos @2 :UInt64;
}

# A result that an endpoint of a stage holds.
struct Made {
  stage @0 :UInt16;
  piece @1 :UInt16;
  handle @2 :Text;
  endpoint @3 :Text;
  zone @4 :Text;
  bytes @5 :UInt64;
  # How long the endpoint still holds it.
  leftNanos @6 :UInt64;
}

struct Grant {
  endpoint @0 :Text;
  inputs @1 :List(Text);
  address @2 :Text;
  # The version of the endpoint's software.
  release @3 :Text;
  # The planner wants to know when its answer goes on, which clears what the request shares with others.
  isWatched @4 :Bool;
  # The endpoint's limit as the planner knows it, in requests a second; negative when there is none.
  limit @5 :Float64 = -1;
  # The engine that keeps the beginning of the prompt, which the endpoint fetches; empty when it reads it.
  fetchFrom @6 :Text;
}

struct Refusal {
  reason @0 :Text;
  waitNanos @1 :UInt64;
  # The planner is leaving; another one is to be asked.
  isMoved @2 :Bool;
  # What was made for the request; the other planner goes on with it.
  made @3 :List(Made);
  # No planner will serve it.
  isFinal @4 :Bool;
}

struct Reply {
  union {
    grant @0 :Grant;
    refusal @1 :Refusal;
  }
}

enum Verdict {
  good @0;
  bad @1;
  refused @2;
  lost @3;
  unknown @4;
  crashed @5;
  dropped @6;
}

enum Topic {
  catalog @0;
  endpoints @1;
  daemons @2;
  evidence @3;
}

# How far the planner has followed a topic of the store.
struct Mark {
  topic @0 :Topic;
  change @1 :UInt64;
  ageNanos @2 :UInt64;
  # How often the store had gone back to a copy; offsets of other epochs say nothing.
  epoch @3 :UInt64;
}

# One record of a topic with keys.
struct Record {
  key @0 :Text;
  value @1 :Data;
  isRemoved @2 :Bool;
}

# A part of a prompt that was sent to an engine.
struct Sent {
  part @0 :Text;
  ageNanos @1 :UInt64;
}

# What was sent to one engine of late.
struct Use {
  endpoint @0 :Text;
  sent @1 :List(Sent);
}

# An endpoint that ended under a content.
struct Blame {
  endpoint @0 :Text;
  born @1 :UInt64;
  service @2 :Text;
  ageNanos @3 :UInt64;
}

# Content that is refused, since endpoints ended under it.
struct Refused {
  union {
    content @0 :Text;
    part @1 :Text;
  }
  # The part's distance from the end of the prompt.
  depth @2 :UInt16;
  blames @3 :List(Blame);
  # It is not refused yet; only `keep` carries that.
  isOpen @4 :Bool;
  isSilent @5 :Bool;
}

# What an endpoint has named last: how many requests a second it takes from all daemons together.
struct Limit {
  endpoint @0 :Text;
  # Negative when it named none.
  limit @1 :Float64;
  ageNanos @2 :UInt64;
}

# Requests that clients sent to a service.
struct Arrivals {
  service @0 :Text;
  count @1 :UInt32;
}

# What began a stream.
struct Origin {
  # The client's attempt that brought the first event; empty when only the release is announced.
  attempt @0 :Text;
  service @1 :Text;
  release @2 :Text;
  ageNanos @3 :UInt64;
}

# One planned request; it ends with `leave`, or with the connection.
interface Seat {
  wait @0 () -> (reply :Reply);
  # `pace` is how long work takes on the endpoint's VM at this moment, in percent of the usual time; 0 when
  # that is not known.
  started @1 (isFinal :Bool, pace :UInt16) -> ();
  ended @2 (verdict :Verdict, pace :UInt16) -> ();
  # With a release, the stream has begun there and goes on at no other one.
  retry @3 (again :Bool, release :Text) -> (reply :Reply);
  leave @4 () -> ();
  # The answer still goes on some time after it began.
  answering @5 () -> ();
  # The endpoint's answer names this limit; negative when it names none.
  limited @6 (limit :Float64) -> ();
}

interface Planner {
  place @0 (job :Job) -> (seat :Seat);
  # Says that the daemon is alive, whether it is about to stop, and what it knows of the store.
  # `moreMarks` are those of topics that daemons of earlier versions don't know.
  # A daemon of the same region names itself, and the requests that came to it since its last ping: it lends
  # its share of the budgets of retries to a daemon that says that it pools them. `isNew` tells once that no process
  # has used that share before.
  ping @1 (daemon :Text, requests :List(Arrivals), isNew :Bool) -> (leaving :Bool, marks :List(Mark), moreMarks :List(Mark), isPooling :Bool);
  # Returns a topic's newest record, compressed, and the offset up to which it is the newest; no data
  # when there is none to hand out.
  # With the configuration it names the zones that operators evacuate; daemons of earlier versions don't
  # know them.
  copy @2 (topic :Topic) -> (change :UInt64, packed :Data, epoch :UInt64, evacuated :List(Text), knowsEvacuated :Bool);
  # Tells a daemon that begins to plan what the caller has sent to engines, which have it cached, what
  # it refuses, and the limits that endpoints have named.
  recall @3 (uses :List(Use), refused :List(Refused), limits :List(Limit)) -> ();
  # Returns the newest record of each key that was written to a topic from an offset on, and the offset
  # after them; not known when the caller has to read the store.
  news @4 (topic :Topic, from :UInt64, epoch :UInt64) -> (isKnown :Bool, records :List(Record), next :UInt64);
  # Tells that the caller has this daemon plan for it, who is of the same region. Daemons of earlier versions
  # don't know it.
  follow @5 (daemon :Text) -> ();
  # Takes one retry from the budget of a service.
  spend @6 (service :Text) -> (isGranted :Bool);
  # Has a daemon write to the store what the caller cannot, and keep it. `isWritten` says that the store has all of
  # it in this epoch; otherwise it will be written later. Daemons of earlier versions don't know it.
  keep @7 (streams :List(Origin), evidence :List(Refused)) -> (isWritten :Bool, epoch :UInt64);
}
