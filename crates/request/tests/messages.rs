//! Encoding of messages between entries.

mod common;

use comfreyhold_request::keys::{
    ContentDigest, KeyMessage, KeyName, KeyOutcome, MAX_RESPONSE_BYTES, Verdict,
};
use comfreyhold_request::message::{
    GrantId, HeldGrant, LoadReport, Message, PoolLoad, SlotOutcome,
};
use comfreyhold_types::prelude::*;
use common::{POOL, address, attempt, ms};

/// Guards against a message that one side can't decode, and against control traffic that grows
/// unnoticed. Sizes are bounds in bytes.
#[test]
fn messages_survive_encoding_and_stay_small() {
    let grant = GrantId { epoch: 3, issuer: InstanceId(2), number: 1 << 40 };
    let attempt = attempt(1 << 40);
    let load = PoolLoad { free: 20, capacity: 600, queued: 64 };
    let held = HeldGrant { grant, target: address(1), remaining: ms(9_999) };
    let key = KeyName { service: ServiceId(1), key: "f81d4fae-7dec-11d0-a765-00a0c91e6bf6".into() };
    let digest = ContentDigest::of("POST", "/orders", b"{}");
    let outcome =
        KeyOutcome { code: ResultCode::Ok, response: Some(vec![255; MAX_RESPONSE_BYTES]) };
    let claim = KeyMessage::Claim {
        key: key.clone(),
        attempt: attempt.request,
        digest,
        remaining: ms(9_999),
        retention: ms(600_000),
    };
    let vote = KeyMessage::Vote {
        key: key.clone(),
        attempt: attempt.request,
        incarnation: Incarnation(1 << 40),
        peers: vec![(InstanceId(1), Incarnation(1 << 40)); 2],
        verdict: Verdict::Held { same_content: true, outcome: None },
    };
    let retention = ms(600_000);
    let request = attempt.request;
    let finish = KeyMessage::Finish { key, attempt: request, digest, outcome, retention };
    let (priority, remaining, may_redirect) = (Priority::High, ms(9_999), true);
    let (target, incarnation, epoch) = (address(1), Incarnation(1 << 40), 3);
    let took = ms(20);
    let cases = [
        (Message::Acquire { attempt, pool: POOL, priority, remaining, may_redirect }, 32),
        (Message::Grant { attempt, pool: POOL, grant, target, incarnation, load }, 48),
        (
            Message::Refuse { attempt, pool: POOL, code: ResultCode::Shed, elsewhere: true, load },
            32,
        ),
        (Message::Release { pool: POOL, grant, outcome: SlotOutcome::Answered { took } }, 32),
        (Message::Load(LoadReport { pool: POOL, epoch, load, cold: vec![address(1); 32] }), 320),
        (Message::HeldGrants { pool: POOL, epoch, grants: vec![held; 10], witnessed: None }, 320),
        (Message::Key(claim), 96),
        (Message::Key(vote), 96),
        (Message::Key(finish), MAX_RESPONSE_BYTES + 96),
    ];
    for (message, bound) in cases {
        let bytes = postcard::to_stdvec(&message).expect("encodable");
        assert!(bytes.len() <= bound, "{} bytes: {message:?}", bytes.len());
        let decoded: Message = postcard::from_bytes(&bytes).expect("decodable");
        assert_eq!(decoded, message);
    }
}
