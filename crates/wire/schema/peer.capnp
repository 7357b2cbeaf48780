@0xb4d1a6f0c27e93d5;
# Protocol between comfreyhold processes.

struct Envelope {
  # One message from one process to another. Delivery is unordered and may be lost.

  version @0 :UInt16;
  # Protocol version of the sender.
  from @1 :UInt16;
  # Instance number of the sender.
  to @2 :UInt16;
  # Instance number of the receiver.
  incarnation @3 :UInt64;
  # Incarnation of the sender.
  wallMs @4 :UInt64;
  # Hybrid logical clock: milliseconds since the Unix epoch.
  counter @5 :UInt32;
  # Hybrid logical clock: counter within the millisecond.
  topic @6 :UInt16;
  # Subsystem that handles the body.
  body @7 :Data;
  # The encoded message. Its type depends on the topic.
}

interface Peer {
  deliver @0 (envelopes :List(Envelope)) -> (code :UInt16);
  # Delivers a batch. The code is 0, or that of the last envelope that was refused.
}

interface Exchange {
  call @0 (version :UInt16, topic :UInt16, body :Data) -> (code :UInt16, body :Data);
  # Sends a request and returns its response. Their types depend on the topic. A code other than 0 is the
  # reason why there is no response.
}
