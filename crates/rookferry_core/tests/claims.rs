//! A key is granted at most once, although several instances claim it while the platform
//! loses requests and responses, delays writes and has outages.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use rookferry_core::Claim;
use rookferry_core::ClaimAction;
use rookferry_core::ClaimEvent;
use rookferry_core::ClaimKey;
use rookferry_core::ClaimKeyError;
use rookferry_core::ClaimObject;
use rookferry_core::ClaimRefusal;
use rookferry_core::ClaimRequestId;
use rookferry_core::ClaimWriter;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use rstest::rstest;
use serde_json::Value;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

const WRITERS: usize = 3;
const WINDOW_MS: u64 = 1_000_000;
const NOW_MS: u64 = 5_000_000;

/// Outcome of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// The call takes effect and its response arrives.
    Delivered,
    /// The call never arrives, which its caller can't tell from a lost response.
    RequestLost,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The response is lost, and the call takes effect only just before the next call.
    Delayed,
    /// The platform refuses the call.
    Rejected,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Request {
        writer: usize,
        key: usize,
    },
    /// An instance requests another to write the claim; the response may be lost.
    Forward {
        writer: usize,
        peer: usize,
        key: usize,
        is_response_lost: bool,
    },
    Call {
        writer: usize,
        outcome: CallOutcome,
    },
}

#[derive(Default)]
struct Platform {
    version: ObjectVersion,
    value: Option<Value>,
    delayed: Vec<(ObjectVersion, Value)>,
}

impl Platform {
    fn object(&self) -> Option<Object> {
        let value = self.value.clone()?;
        Some(Object {
            name: "shard".to_owned(),
            version: self.version,
            value,
        })
    }

    fn put(&mut self, expected: ObjectVersion, value: Value) -> bool {
        if expected != self.version {
            return false;
        }
        self.version += 1;
        self.value = Some(value);
        true
    }

    fn apply_delayed(&mut self) {
        for (expected, value) in std::mem::take(&mut self.delayed) {
            let _ = self.put(expected, value);
        }
    }
}

struct Instance {
    writer: ClaimWriter,
    call: Option<ClaimAction>,
}

struct World {
    platform: Platform,
    instances: Vec<Instance>,
    next_request: ClaimRequestId,
    /// Key and nonce of each request.
    keys: BTreeMap<ClaimRequestId, (usize, u64)>,
    /// Forwarded requests: the instance that sent each, and whether the response is lost.
    forwards: BTreeMap<ClaimRequestId, (usize, bool)>,
    responses: BTreeMap<ClaimRequestId, &'static str>,
    granted: BTreeMap<usize, Vec<u64>>,
}

impl World {
    fn new() -> Self {
        let instance = |_| Instance {
            writer: ClaimWriter::new(WINDOW_MS),
            call: None,
        };
        Self {
            platform: Platform::default(),
            instances: (0..WRITERS).map(instance).collect(),
            next_request: 0,
            keys: BTreeMap::new(),
            forwards: BTreeMap::new(),
            responses: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Request { writer, key } => self.request(writer, key),
            Op::Forward {
                writer,
                peer,
                key,
                is_response_lost,
            } => self.forward(writer, peer, key, is_response_lost),
            Op::Call { writer, outcome } => self.call(writer, outcome),
        }
    }

    fn request(&mut self, writer: usize, key: usize) {
        let nonce = self.next_request;
        self.request_with(writer, writer, key, nonce);
    }

    fn forward(&mut self, writer: usize, peer: usize, key: usize, is_response_lost: bool) {
        let nonce = self.next_request;
        self.forwards.insert(nonce, (writer, is_response_lost));
        self.request_with(writer, peer, key, nonce);
    }

    fn request_with(&mut self, owner: usize, writer: usize, key: usize, nonce: u64) {
        let id = self.next_request;
        self.next_request += 1;
        self.keys.insert(id, (key, nonce));
        let event = ClaimEvent::Request {
            id,
            digest: format!("key-{key}"),
            claim: claim(owner, nonce),
            is_forwarded: self.forwards.contains_key(&id),
        };
        self.deliver(writer, event);
        self.deliver(writer, ClaimEvent::Flush);
    }

    fn call(&mut self, writer: usize, outcome: CallOutcome) {
        let Some(call) = self.instances[writer].call.take() else {
            return;
        };
        self.platform.apply_delayed();
        let event = match call {
            ClaimAction::Put { expected, value } => self.put(expected, value, outcome),
            _ => match outcome {
                CallOutcome::Delivered => ClaimEvent::Read {
                    current: self.platform.object(),
                },
                _ => ClaimEvent::ReadFailed,
            },
        };
        self.deliver(writer, event);
    }

    fn put(&mut self, expected: ObjectVersion, value: Value, outcome: CallOutcome) -> ClaimEvent {
        match outcome {
            CallOutcome::Delivered if self.platform.put(expected, value.clone()) => {
                ClaimEvent::Written {
                    version: self.platform.version,
                }
            }
            CallOutcome::Delivered => ClaimEvent::Conflict {
                current: self.platform.object(),
            },
            CallOutcome::ResponseLost => {
                let _ = self.platform.put(expected, value);
                ClaimEvent::WriteLost
            }
            CallOutcome::Delayed => {
                self.platform.delayed.push((expected, value));
                ClaimEvent::WriteLost
            }
            CallOutcome::RequestLost => ClaimEvent::WriteLost,
            CallOutcome::Rejected => ClaimEvent::WriteRejected,
        }
    }

    fn deliver(&mut self, writer: usize, event: ClaimEvent) {
        let actions = self.instances[writer].writer.on_event(NOW_MS, event);
        for action in actions {
            let (id, response) = match action {
                ClaimAction::Put { .. } | ClaimAction::Get => {
                    let former = self.instances[writer].call.replace(action);
                    assert_eq!(former, None, "one call is in flight at a time");
                    continue;
                }
                ClaimAction::Granted { id } => (id, "granted"),
                ClaimAction::Taken { id, .. } => (id, "taken"),
                ClaimAction::Refused { id, .. } => (id, "refused"),
            };
            let former = self.responses.insert(id, response);
            assert_eq!(former, None, "a request gets one response");
            self.on_response(id, response);
        }
    }

    fn on_response(&mut self, id: ClaimRequestId, response: &'static str) {
        let (key, nonce) = self.keys[&id];
        match self.forwards.get(&id).copied() {
            // Without a response, the sender claims the key itself with the same nonce.
            Some((owner, true)) => self.request_with(owner, owner, key, nonce),
            Some((owner, false)) if response == "refused" => {
                self.deliver(owner, ClaimEvent::Withdraw { nonce });
            }
            _ if response == "granted" => self.granted.entry(key).or_default().push(nonce),
            _ => {}
        }
    }

    /// Delivers all calls until none is pending: the platform has recovered.
    fn settle(&mut self) {
        while self
            .instances
            .iter()
            .any(|instance| instance.call.is_some())
        {
            for writer in 0..WRITERS {
                self.call(writer, CallOutcome::Delivered);
            }
        }
        self.platform.apply_delayed();
    }

    fn check(&self) {
        for (key, grants) in &self.granted {
            assert!(grants.len() <= 1, "key {key} was granted to {grants:?}");
        }
        for id in self.keys.keys() {
            assert!(
                self.responses.contains_key(id),
                "request {id} got no response"
            );
        }
        let value = self.platform.value.clone().unwrap_or_default();
        let object: ClaimObject = serde_json::from_value(value).unwrap_or_default();
        for (key, grants) in &self.granted {
            let stored = object.claims.get(&format!("key-{key}"));
            let stored = stored.expect("a granted claim is stored");
            assert!(
                grants.contains(&stored.nonce),
                "key {key} is claimed with another nonce"
            );
        }
    }
}

fn claim(writer: usize, id: ClaimRequestId) -> Claim {
    Claim {
        owner: format!("entry-{writer}").into(),
        incarnation: 1,
        nonce: id,
        body_digest: String::new(),
        stream: None,
        chain: Vec::new(),
        at_ms: NOW_MS,
    }
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        4 => Just(CallOutcome::Delivered),
        1 => Just(CallOutcome::RequestLost),
        2 => Just(CallOutcome::ResponseLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Rejected),
    ];
    prop_oneof![
        (0..WRITERS, 0_usize..3).prop_map(|(writer, key)| Op::Request { writer, key }),
        (0..WRITERS, 1..WRITERS, 0_usize..3, any::<bool>()).prop_map(
            |(writer, step, key, is_response_lost)| {
                let peer = (writer + step) % WRITERS;
                Op::Forward {
                    writer,
                    peer,
                    key,
                    is_response_lost,
                }
            }
        ),
        (0..WRITERS, outcome).prop_map(|(writer, outcome)| Op::Call { writer, outcome }),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 2_000, ..Default::default() })]

    #[test]
    fn no_schedule_grants_a_key_twice(ops in vec(op(), 1..60)) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.settle();
        world.check();
    }
}

/// Each outcome of the first write, and of the read that follows if its response is lost.
#[rstest]
fn a_claim_is_settled_for_any_outcome_of_its_write(
    #[values(
        CallOutcome::Delivered,
        CallOutcome::RequestLost,
        CallOutcome::ResponseLost,
        CallOutcome::Delayed,
        CallOutcome::Rejected
    )]
    write: CallOutcome,
    #[values(CallOutcome::Delivered, CallOutcome::RequestLost)] read: CallOutcome,
) {
    let mut world = World::new();
    world.request(0, 0);
    world.call(0, CallOutcome::Delivered);
    world.call(0, write);
    world.call(0, read);
    world.request(1, 0);
    world.settle();
    world.check();
    let first = world.responses[&0];
    let is_settled = write != CallOutcome::Rejected && read == CallOutcome::Delivered;
    let expected = if write == CallOutcome::Delivered || is_settled {
        "granted"
    } else {
        "refused"
    };
    assert_eq!(first, expected);
}

#[test]
fn pending_requests_share_a_write() {
    let mut world = World::new();
    for key in 0..50 {
        world.request(0, key);
    }
    world.call(0, CallOutcome::Delivered);
    world.call(0, CallOutcome::Delivered);
    assert_eq!(world.platform.version, 1);
    assert_eq!(world.granted.len(), 50);
}

#[test]
fn a_key_refused_in_an_outage_can_be_claimed_afterwards() {
    let mut world = World::new();
    world.request(0, 0);
    world.call(0, CallOutcome::Delivered);
    world.call(0, CallOutcome::ResponseLost);
    world.call(0, CallOutcome::RequestLost);
    assert_eq!(world.responses[&0], "refused");
    world.request(0, 0);
    world.settle();
    assert_eq!(world.responses[&1], "granted");
    world.check();
}

#[test]
fn a_full_object_refuses_new_claims() {
    let mut writer = ClaimWriter::new(WINDOW_MS);
    let mut object = ClaimObject::default();
    for number in 0..2_000 {
        object
            .claims
            .insert(format!("old-{number}"), claim(1, number));
    }
    let request = ClaimEvent::Request {
        id: 9_000,
        digest: "key".to_owned(),
        claim: claim(0, 9_000),
        is_forwarded: false,
    };
    assert_eq!(writer.on_event(NOW_MS, request), []);
    assert_eq!(
        writer.on_event(NOW_MS, ClaimEvent::Flush),
        [ClaimAction::Get]
    );
    let current = Some(Object {
        name: "shard".to_owned(),
        version: 7,
        value: serde_json::to_value(object).expect("JSON"),
    });
    let refused = ClaimAction::Refused {
        id: 9_000,
        refusal: ClaimRefusal::Full,
    };
    assert_eq!(
        writer.on_event(NOW_MS, ClaimEvent::Read { current }),
        [refused]
    );
}

fn uuid_at(ms: u64) -> String {
    Uuid::new_v7(Timestamp::from_unix(NoContext, ms / 1_000, 0)).to_string()
}

#[test]
fn a_timed_key_maps_to_one_object_until_that_expires() {
    let key = uuid_at(NOW_MS);
    let first = ClaimKey::parse("desk", &key, NOW_MS, WINDOW_MS).expect("a key");
    let later = ClaimKey::parse("desk", &key, NOW_MS + 900_000, WINDOW_MS).expect("a key");
    assert_eq!(first, later);
    assert!(!ClaimKey::is_object_expired(
        &first.object,
        NOW_MS,
        WINDOW_MS
    ));
    assert!(ClaimKey::is_object_expired(
        &first.object,
        NOW_MS + 3_000_000,
        WINDOW_MS
    ));
    let another_account = ClaimKey::parse("other", &key, NOW_MS, WINDOW_MS).expect("a key");
    assert_ne!(first.digest, another_account.digest);
}

#[rstest]
#[case(uuid_at(NOW_MS - WINDOW_MS - 2_000), ClaimKeyError::Expired { age_ms: WINDOW_MS + 2_000, window_ms: WINDOW_MS })]
#[case(uuid_at(NOW_MS + 120_000), ClaimKeyError::InFuture { ahead_ms: 120_000 })]
#[case(String::new(), ClaimKeyError::Length { bytes: 0 })]
#[case("x".repeat(300), ClaimKeyError::Length { bytes: 300 })]
fn an_invalid_key_is_refused_with_its_reason(#[case] key: String, #[case] expected: ClaimKeyError) {
    let result = ClaimKey::parse("desk", &key, NOW_MS, WINDOW_MS);
    assert_eq!(result, Err(expected));
}

/// A deleted object holds no key that an instance would still accept.
#[test]
fn only_expired_objects_are_deleted() {
    let now_ms = NOW_MS + 100_000_000;
    let expired = ClaimKey::expired_objects(now_ms, WINDOW_MS);
    assert!(!expired.is_empty());
    for object in &expired {
        assert!(
            ClaimKey::is_object_expired(object, now_ms, WINDOW_MS),
            "{object}"
        );
    }
    for age_ms in (0..=WINDOW_MS).step_by(60_000) {
        let key = uuid_at(now_ms - age_ms);
        let key =
            ClaimKey::parse("desk", &key, now_ms, WINDOW_MS).expect("a key within the window");
        assert!(!expired.contains(&key.object), "{age_ms} ms old");
    }
    let later = ClaimKey::expired_objects(now_ms + 10 * 60 * 1_000, WINDOW_MS);
    assert!(
        later.iter().any(|object| expired.contains(object)),
        "objects missed by one cleanup are listed again"
    );
}
