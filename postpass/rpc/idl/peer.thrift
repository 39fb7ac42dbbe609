// What the processes of postpass say to each other. Framed, binary.

exception Fault { 1: string step, 2: string peer, 3: string why, 4: i32 code, 5: string hint }

// The first message on a link: the lowest and highest wire number that a side speaks, and its release.
struct Hi { 1: i32 low, 2: i32 high, 3: string release }

// A piece of a message that is too long for one frame: `data` begins at `offset` of the `size` bytes of the message.
// The pieces of a message come in order, and those of one message at a time on each direction of a link.
struct Fragment { 1: i64 size, 2: i64 offset, 3: binary data }

// A piece of one sequenced record, at most 8 KB of it. Kinds: rec, beat, start, snap.
struct Packet {
  1: i32 part, 2: i64 epoch, 3: string owner, 4: string kind, 5: i64 seq,
  6: i64 born,      // epoch under which the record was made
  7: i64 prior,     // epoch of the record before it
  8: i32 index, 9: i32 total, 10: binary body, 11: i64 covered
}

// Monotonic counters of one mirror for one partition, under one owner's epoch.
struct Ack {
  1: i32 part, 2: i64 epoch, 3: string name, 4: string disk,
  5: i64 received, 6: i64 persisted, 7: bool gap, 8: i64 promised, 9: bool full
}

// One entry of the log on disk.
struct Entry { 1: i32 part, 2: string op, 3: i64 seq, 4: i64 epoch, 5: string kind, 6: binary body }

// One record of control's state: a whole state, or the change that leads to it from the state `base_...`.
struct StateRecord {
  1: i32 format, 2: i64 epoch, 3: i64 revision, 4: string checksum,
  5: i64 base_epoch, 6: i64 base_revision, 7: string base_checksum,
  8: binary body    // JSON
}

service Peer {
  Hi hi(1: Hi hi) throws (1: Fault fault),
  // From wire version 2 on, in both directions.
  oneway void fragment(1: Fragment fragment),

  // FIFO stream of the owner to a mirror, never answered.
  oneway void carry(1: Packet packet),
  // Control path back, on a link of its own.
  oneway void ack(1: list<Ack> acks),

  // membership and news
  string ping(1: string body) throws (1: Fault fault),
  string shuffle(1: string body) throws (1: Fault fault),
  string follow(1: string body) throws (1: Fault fault),
  string floor(1: string body) throws (1: Fault fault),

  // control
  string look(1: string body) throws (1: Fault fault),
  string grant(1: string body) throws (1: Fault fault),
  string copy(1: string body) throws (1: Fault fault),
  string adopt(1: string body) throws (1: Fault fault),
  string apply(1: string body) throws (1: Fault fault),
  string read(1: string body) throws (1: Fault fault),
  // of announced fleets: a machine, a worker, an order of the operator, whom a control machine has heard
  string join(1: string body) throws (1: Fault fault),
  string beat(1: string body) throws (1: Fault fault),
  string order(1: string body) throws (1: Fault fault),
  string hear(1: string body) throws (1: Fault fault),

  // store
  string promise(1: string body) throws (1: Fault fault),
  string hello(1: string body) throws (1: Fault fault),
  string fetch(1: string body) throws (1: Fault fault),
  string submit(1: string body) throws (1: Fault fault),
  string show(1: string body) throws (1: Fault fault),
  string page(1: string body) throws (1: Fault fault),
  string finish(1: string body) throws (1: Fault fault),
  string take(1: string body) throws (1: Fault fault),
  string done(1: string body) throws (1: Fault fault),
  string claim(1: string body) throws (1: Fault fault),
  string parts(1: string body) throws (1: Fault fault),

  // lots of routes
  string accept(1: string body) throws (1: Fault fault),
  string results(1: string body) throws (1: Fault fault),
  string item(1: string body) throws (1: Fault fault),
  string reserve(1: string body) throws (1: Fault fault),
  string waiting(1: string body) throws (1: Fault fault),
  string wake(1: string body) throws (1: Fault fault),

  // limits of tenants
  string share(1: string body) throws (1: Fault fault),
  string holdings(1: string body) throws (1: Fault fault)
}
