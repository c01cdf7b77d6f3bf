# Calls between hosts. `schema/generate` turns this file into
# src/transport/peer_capnp.rs.

@0xd8a4f0c3b1e97526;

annotation parentModule @0xabee386cd1450364 (file) :Text;
# The annotation of the Rust plugin, which finds it by this id.

$parentModule("transport");

enum Phase {
  alive @0;
  suspect @1;
  leaving @2;
  gone @3;
}

enum Verdict {
  expired @0;
  full @1;
  granted @2;
  mayHaveRun @3;
  taken @4;
  voided @5;
}

struct Demand {
  team @0 :Text;
  requests @1 :UInt32;
}

struct Member {
  host @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  callerAddress @3 :Text;
  peerAddress @4 :Text;
  phase @5 :Phase;
  settings @6 :UInt64;
  clock @7 :UInt64;
  # Microseconds on the member's own clock.
  outstanding @8 :UInt32;
  demand @9 :List(Demand);
  capacity @10 :UInt32;
  # What the member can carry, relative to others.
  endpoints @11 :UInt64;
  # Revision of the newest entry in the member's list of endpoints.
  evacuations @12 :UInt64;
  # Revision of the newest change of the evacuated failure domains.
  era @13 :UInt32;
  # Era of the store to which the revisions belong; a revision of 0 is of an
  # earlier one.
}

struct Quarantined {
  # A part of a prompt that crashes the engines that answer it.

  part @0 :UInt64;
  remainingMs @1 :UInt32;
}

struct Loss {
  # The crash of an endpoint under a request.

  endpoint @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
}

struct Suspicion {
  # A request under which endpoints have crashed.

  fingerprint @0 :UInt64;
  losses @1 :List(Loss);
  answered @2 :Bool;
  # A request with the fingerprint was answered after a loss.
  answeredAgeMs @3 :UInt32;
  # Time since that.
  answeredBefore @4 :Bool;
  # One was answered before the losses.
}

struct Message {
  from @0 :Member;
  updates @1 :List(Member);
  known @2 :UInt32;
  # Number of hosts that the sender knows, including itself.
  quarantine @3 :List(Quarantined);
  suspicions @4 :List(Suspicion);
  harmfulRequests @5 :List(Quarantined);
  # The fingerprints of requests that crash endpoints.
}

struct Subject {
  # The part of a ticket that its witness needs.

  host @0 :Text;
  incarnation @1 :UInt64;
  request @2 :Text;
  stamp @3 :UInt64;
}

struct Job {
  # The pieces of one stage of one request, for the dispatcher of a pool.

  id @0 :UInt64;
  # Unique within the home's incarnation.
  home @1 :Text;
  service @2 :Text;
  request @3 :Text;
  stage @4 :UInt16;
  pieces @5 :List(UInt16);
  key @6 :Text;
  inputs @7 :List(Text);
  remainingMs @8 :UInt32;
  # Time until the request's deadline.
  urgencyMs @9 :UInt32;
  # Time until the stage has to start for the request to meet its goal.
  priority @10 :UInt8;
  first @11 :Bool;
  # No stage of the request has run, so that it may still be refused.
  domain @12 :Text;
  # Where the outputs will be used; empty if it is not known.
  outputBytes @13 :UInt64;
  # Expected size of one output.
  team @14 :Text;
  # Empty for requests without a team.
}

struct Output {
  piece @0 :UInt16;
  handle @1 :Text;
  endpoint @2 :Text;
}

struct Outcome {
  outputs @0 :List(Output);
  failure @1 :Text;
  # Empty when every piece has an output.
  retryAfterMs @2 :UInt32;
  backlogMs @3 :UInt32;
}

struct Part {
  # A part of a prompt.

  prefix @0 :UInt64;
  # Hash of this part and all parts before it.
  tokens @1 :UInt32;
  id @2 :UInt64;
  # Hash of this part alone.
}

struct Placement {
  # A prompt for which a host asks for an engine.

  home @0 :Text;
  id @1 :UInt64;
  # Unique within the home's incarnation.
  service @2 :Text;
  parts @3 :List(Part);
  exclude @4 :List(Text);
  # Engines that must not be chosen.
  domain @5 :Text;
  # Where the inputs are; empty if there are none.
  priority @6 :UInt8;
  remainingMs @7 :UInt32;
  # Time until the caller's deadline.
  urgencyMs @8 :UInt32;
  # Time until the request has to be at an engine to meet its goal.
  outputTokens @9 :UInt32;
  # Expected length of the answer.
  team @10 :Text;
  # Empty for requests without a team.
  waits @11 :Bool;
  # The host asks again if no engine has room.
  fingerprint @12 :UInt64;
  # The same for requests that are the same; 0 from hosts of earlier versions.
}

struct Object {
  name @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  value @3 :Data;
  packed @4 :Bool;
  # The value is compressed with DEFLATE.
}

struct Changes {
  # The objects of one kind of the platform's store that changed.

  whole @0 :Bool;
  # `objects` replaces everything known of the kind.
  revision @1 :UInt64;
  objects @2 :List(Object);
  ageMs @3 :UInt32;
  # Time since the store confirmed the revision.
  era @4 :UInt32;
  # Number of times that the store was restored from a copy.
}

interface Gate {
  # The first interface of a connection. Both sides prove that they have the
  # fleet's key: a proof is the HMAC-SHA-256 of the role and both nonces.

  hello @0 (nonce :Data) -> (nonce :Data);
  authenticate @1 (proof :Data) -> (proof :Data, peer :Peer);
}

interface Peer {
  probe @0 (message :Message) -> (message :Message);
  probeFor @1 (target :Text) -> (reached :Bool);
  permit @2 (subject :Subject, nonce :UInt64) -> (verdict :Verdict);
  void @3 (subject :Subject) -> (verdict :Verdict);
  changesAfter @4 (version :UInt64) -> (changes :Text);
  # Settings changes as JSON text.
  runJob @5 (job :Job) -> (outcome :Outcome);
  cancelJob @6 (home :Text, id :UInt64);
  releaseOutputs @7 (service :Text, outputs :List(Output));
  ping @8 ();
  objectChanges @9 (kind :Text, revision :UInt64, waitMs :UInt32, unpacks :Bool, era :UInt32) -> (changes :Changes);
  # Waits for a change after the revision, at most `waitMs`. Values are packed only
  # for a caller that unpacks them.
  placePrompt @10 (placement :Placement) -> (endpoint :Text, quarantined :Bool, waitMs :UInt32, refused :Bool, retryAfterMs :UInt32, backlogMs :UInt32, counted :Bool);
  # Chooses the engine of a prompt; empty if there is none, if a part of the prompt
  # is in quarantine, if it has to wait (`waitMs` is above 0) or if it would miss its
  # deadline (`refused`). `counted` is always set: hosts of earlier versions report
  # the end of a prompt only then.
  reportPrompt @11 (service :Text, home :Text, id :UInt64, result :Text);
  # Tells how the prompt fared at its engine.
}
