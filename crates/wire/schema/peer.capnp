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
  # Start number of the sender.
  wallMs @4 :UInt64;
  # Hybrid logical clock: milliseconds since the Unix epoch.
  counter @5 :UInt32;
  # Hybrid logical clock: counter within the millisecond.
  topic @6 :UInt16;
  # Which core the body is for.
  body @7 :Data;
  # The message, in the encoding of the topic.
}

interface Peer {
  deliver @0 (envelopes :List(Envelope)) -> (code :UInt16);
  # Hands over a batch. The code is 0 or that of the first envelope that was refused.
}

interface Exchange {
  call @0 (version :UInt16, topic :UInt16, body :Data) -> (code :UInt16, body :Data);
  # A request and its response, both in the encoding of the topic. The code is 0, or tells why there is no
  # response.
}
