@0xd1f2a7c3b4e59681;

struct MinionLoad {
  name @0 :Text;
  inFlight @1 :UInt16;
}

struct Report {
  revision @0 :UInt64;
  confirmationAgeMs @1 :UInt64;
  ready @2 :Bool;
  loads @3 :List(MinionLoad);
  leaving @4 :List(Text);
  sentStamp @5 :UInt64;
  echoedStamp @6 :UInt64;
}

struct ConfigurationPush {
  text @0 :Text;
}

struct JobNotice {
  region @0 :Text;
}

struct PeerMessage {
  sender @0 :Text;
  union {
    report @1 :Report;
    configuration @2 :ConfigurationPush;
    job @3 :JobNotice;
  }
}
