@0x9b7c21f04de8a635;
# Blame between daemons. See docs/design/quarantine.md.

annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("generated");

struct Event {
  digest @0 :Text;
  # Empty when the content was answered whole.
  endpoint @1 :Text;
  # Milliseconds since the Unix epoch.
  atMs @2 :UInt64;
}

struct Batch {
  events @0 :List(Event);
}
