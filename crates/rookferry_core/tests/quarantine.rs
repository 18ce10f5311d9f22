//! Which requests are kept from servers because servers end under them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::Quarantine;
use rookferry_core::QuarantineChange;
use rookferry_core::QuarantineObject;
use rookferry_core::RequestSignature;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;
use rookferry_core::Suspicion;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);
/// Enough to tell all that is known.
const ALL: usize = 10_000;

fn signature(number: usize) -> RequestSignature {
    let body = number.to_string();
    RequestSignature::new(Some("account"), "POST", "/x", body.as_bytes())
}

fn server(number: u16) -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], number));
    ServerKey::new(addr, &format!("server-{number}"), None)
}

fn is_held(quarantine: &Quarantine, signature: RequestSignature, now: Instant) -> bool {
    matches!(quarantine.suspicion(signature, now), Suspicion::Held { .. })
}

/// Servers end under a request as it has just begun.
fn end_begun(quarantine: &mut Quarantine, signature: RequestSignature, servers: u16, now: Instant) {
    for number in 0..servers {
        quarantine.note_end(signature, server(number), RunProgress::Begun, now);
    }
}

#[test]
fn a_request_is_the_same_under_each_id_and_another_with_any_other_content() {
    let same = RequestSignature::new(Some("a"), "POST", "/x?y=1", b"body");
    assert_eq!(
        same,
        RequestSignature::new(Some("a"), "POST", "/x?y=1", b"body")
    );
    let others = [
        RequestSignature::new(Some("b"), "POST", "/x?y=1", b"body"),
        RequestSignature::new(None, "POST", "/x?y=1", b"body"),
        RequestSignature::new(Some("a"), "PUT", "/x?y=1", b"body"),
        RequestSignature::new(Some("a"), "POST", "/x?y=2", b"body"),
        RequestSignature::new(Some("a"), "POST", "/x?y=1b", b"ody"),
        RequestSignature::new(Some("aP"), "OST", "/x?y=1", b"body"),
    ];
    assert!(others.iter().all(|other| *other != same));
    assert_eq!(
        same.to_string().parse::<RequestSignature>().ok(),
        Some(same)
    );
    assert!("not hex".parse::<RequestSignature>().is_err());
}

#[rstest]
#[case::as_it_had_begun(RunProgress::Begun, 3)]
#[case::after_part_of_the_answer(RunProgress::Answering, 5)]
fn a_request_is_held_after_some_servers(#[case] progress: RunProgress, #[case] servers: u16) {
    let mut quarantine = Quarantine::new();
    let now = Instant::now();
    for number in 0..servers - 1 {
        let change = quarantine.note_end(signature(1), server(number), progress, now);
        assert_eq!(change, QuarantineChange::None);
    }
    // One server's end is one end, whoever tells of it.
    quarantine.note_end(signature(1), server(0), progress, now);
    assert!(!is_held(&quarantine, signature(1), now));
    let change = quarantine.note_end(signature(1), server(servers), progress, now);
    assert_eq!(change, QuarantineChange::Held);
    assert!(is_held(&quarantine, signature(1), now));
    assert_eq!(quarantine.suspicion(signature(2), now), Suspicion::None);
}

#[test]
fn a_request_that_ends_well_is_cleared_here_and_at_others() {
    let (mut one, mut other) = (Quarantine::new(), Quarantine::new());
    let start = Instant::now();
    end_begun(&mut one, signature(1), 3, start);
    for seen in one.next_told(ALL, start) {
        assert_eq!(other.learn(&seen, start), QuarantineChange::Held);
    }
    let late = one.told_at_start(ALL, start);
    // A run that was under way elsewhere ends well.
    let now = start + SECOND;
    assert_eq!(
        other.note_finished(signature(1), now),
        QuarantineChange::Released
    );
    for seen in other.next_told(ALL, now) {
        assert_eq!(one.learn(&seen, now), QuarantineChange::Released);
    }
    assert_eq!(one.suspicion(signature(1), now), Suspicion::None);
    // A word that was long on its way is from before.
    for mut seen in late {
        let delay_ms = 1_500;
        seen.held_ms = seen.held_ms.map(|age_ms| age_ms + delay_ms);
        for end in &mut seen.ends {
            end.age_ms += delay_ms;
        }
        one.learn(&seen, now + SECOND / 2);
    }
    assert!(!is_held(&one, signature(1), now + SECOND));
}

#[test]
fn ends_that_different_instances_saw_count_together() {
    let mut instances = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    let now = Instant::now();
    for (number, instance) in (0..).zip(&mut instances) {
        instance.note_end(signature(1), server(number), RunProgress::Begun, now);
    }
    let told: Vec<_> = instances
        .iter_mut()
        .flat_map(|instance| instance.next_told(ALL, now))
        .collect();
    for instance in &mut instances {
        for seen in &told {
            instance.learn(seen, now);
        }
        assert!(is_held(instance, signature(1), now));
    }
}

#[test]
fn a_held_request_is_run_once_more_after_a_time_and_held_by_one_more_end() {
    let mut quarantine = Quarantine::new();
    let start = Instant::now();
    end_begun(&mut quarantine, signature(1), 3, start);
    assert!(is_held(&quarantine, signature(1), start + 9 * MINUTE));
    let later = start + 11 * MINUTE;
    assert!(!is_held(&quarantine, signature(1), later));
    let change = quarantine.note_end(signature(1), server(9), RunProgress::Begun, later);
    assert_eq!(change, QuarantineChange::Held);
    assert!(is_held(&quarantine, signature(1), later + 9 * MINUTE));
}

#[test]
fn what_is_kept_is_bounded_and_the_held_stay() {
    let mut quarantine = Quarantine::new();
    let start = Instant::now();
    end_begun(&mut quarantine, signature(0), 3, start);
    for number in 1..20_000 {
        let now = start + Duration::from_millis(u64::try_from(number).expect("a number"));
        quarantine.note_end(signature(number), server(1), RunProgress::Answering, now);
    }
    assert!(quarantine.len() <= 4_096);
    assert!(is_held(&quarantine, signature(0), start + MINUTE));
    // The newest are there, the oldest with as little against them aren't.
    assert_eq!(quarantine.ends(signature(19_999)), 1);
    assert_eq!(quarantine.ends(signature(1)), 0);
    quarantine.expire(start + 62 * MINUTE);
    assert!(quarantine.is_empty());
}

#[test]
fn a_change_is_told_in_some_rounds_and_does_not_go_round_for_ever() {
    let (mut one, mut other) = (Quarantine::new(), Quarantine::new());
    let start = Instant::now();
    end_begun(&mut one, signature(1), 2, start);
    one.note_end(signature(2), server(1), RunProgress::Answering, start);
    one.note_finished(signature(2), start + SECOND / 10);
    let mut told = 0;
    for round in 0..100 {
        // Each word takes a while, so that it counts as a little later.
        let now = start + SECOND + round * SECOND / 5;
        for seen in one.next_told(ALL, now) {
            told += 1;
            other.learn(&seen, now + SECOND / 20);
        }
        for seen in other.next_told(ALL, now + SECOND / 10) {
            told += 1;
            one.learn(&seen, now + SECOND / 5);
        }
    }
    assert!(told <= 4 * 8, "told {told} times");
    assert_eq!(other.ends(signature(1)), 2);
    assert_eq!(other.ends(signature(2)), 0);
}

#[test]
fn held_requests_are_told_on_in_turn() {
    let mut quarantine = Quarantine::new();
    let start = Instant::now();
    for number in 0..3 {
        end_begun(&mut quarantine, signature(number), 3, start);
    }
    for _ in 0..8 {
        assert_eq!(quarantine.next_told(ALL, start).len(), 3);
    }
    let mut told: Vec<_> = (0..3)
        .flat_map(|_| quarantine.next_told(ALL, start))
        .map(|seen| seen.signature)
        .collect();
    told.sort_unstable();
    let mut all: Vec<_> = (0..3).map(signature).collect();
    all.sort_unstable();
    assert_eq!(told, all);
    assert_eq!(quarantine.told_at_start(2, start).len(), 2);
}

#[test]
fn the_store_keeps_what_any_instance_holds_until_it_is_over() {
    let unix = |minutes: u32| Duration::from_secs(1_700_000_000) + minutes * MINUTE;
    let first = QuarantineObject::default().with([(signature(1), unix(0))], unix(0));
    let both = first.with([(signature(2), unix(6))], unix(6));
    let kept: Vec<_> = both.requests().collect();
    assert_eq!(kept, [(signature(2), unix(6)), (signature(1), unix(0))]);
    let later: Vec<_> = both.with([], unix(11)).requests().collect();
    assert_eq!(later, [(signature(2), unix(6))]);
    let cleared = both.without(|request| request == signature(2));
    assert_eq!(cleared.requests().count(), 1);
    let many = (0..1_000).map(|number| (signature(number), unix(0)));
    let text = serde_json::to_string(&QuarantineObject::default().with(many, unix(0)));
    assert!(text.expect("JSON").len() < 20_000);
}

/// Many callers sent a sound request in the same words. Three servers ended,
/// each with runs of it under way and none of them finished between, so it was
/// held for ten minutes, though it had ended well a moment before the first end:
/// 908 refusals of a sound request in 20 seconds.
#[test]
fn a_request_that_ended_well_lately_is_held_only_after_more_servers() {
    let mut quarantine = Quarantine::new();
    let start = Instant::now();
    quarantine.note_finished(signature(1), start);
    end_begun(&mut quarantine, signature(1), 4, start + SECOND);
    assert!(!is_held(&quarantine, signature(1), start + SECOND));
    // It may have come to end servers since.
    end_begun(&mut quarantine, signature(1), 5, start + 2 * SECOND);
    assert!(is_held(&quarantine, signature(1), start + 2 * SECOND));
}

#[test]
fn that_a_request_ended_well_long_ago_says_nothing() {
    let mut quarantine = Quarantine::new();
    let start = Instant::now();
    quarantine.note_finished(signature(1), start);
    end_begun(&mut quarantine, signature(1), 3, start + 11 * MINUTE);
    assert!(is_held(&quarantine, signature(1), start + 11 * MINUTE));
}

#[test]
fn an_instance_that_saw_a_request_end_well_tells_those_that_hold_it() {
    let (mut one, mut other) = (Quarantine::new(), Quarantine::new());
    let start = Instant::now();
    other.note_finished(signature(1), start);
    let now = start + SECOND;
    end_begun(&mut one, signature(1), 3, now);
    assert!(is_held(&one, signature(1), now));
    for seen in one.next_told(ALL, now) {
        assert_eq!(other.learn(&seen, now), QuarantineChange::None);
    }
    assert!(!is_held(&other, signature(1), now));
    let told = other.next_told(ALL, now);
    let changes: Vec<_> = told.iter().map(|seen| one.learn(seen, now)).collect();
    assert_eq!(changes, [QuarantineChange::Released]);
    // The ends still count towards more.
    assert_eq!(one.ends(signature(1)), 3);
}

#[test]
fn what_is_kept_of_requests_that_ended_well_is_bounded() {
    let mut quarantine = Quarantine::new();
    let start = Instant::now();
    for number in 0..100_000 {
        quarantine.note_finished(signature(number), start);
    }
    assert!(quarantine.finished_len() <= 4_096);
    end_begun(&mut quarantine, signature(99_999), 3, start + SECOND);
    assert!(!is_held(&quarantine, signature(99_999), start + SECOND));
    assert!(quarantine.len() <= 1);
}
