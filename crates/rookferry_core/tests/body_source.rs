//! Distribution of a new configuration when all members of a failure domain request it
//! at once. One source would send 58 bodies over its link, so members that have the body
//! must serve the others.

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::BodyOffer;
use rookferry_core::BodySource;

const MEMBERS: usize = 59;
/// Transfer time of one body when nothing else uses the sender's link.
const BODY_MS: u64 = 80;
/// Mean pause of a member that was offered neither the body nor another source.
const PAUSE_MS: u64 = 80;
const VERSION: u64 = 2;

fn addr(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + member).unwrap()))
}

/// What a member does: it requests the body from `source` at some time, receives it from
/// there for some remaining time, or has it.
#[derive(Clone, Copy)]
enum MemberState {
    Requesting { source: usize, from_ms: u64 },
    Receiving { source: usize, left_ms: u64 },
    Complete,
}

/// Milliseconds until all members have the body that at first only one has. Concurrent
/// transfers from one member share its link.
fn distribution_ms(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sources = vec![BodySource::new(); MEMBERS];
    let mut states = vec![
        MemberState::Requesting {
            source: 0,
            from_ms: 0
        };
        MEMBERS
    ];
    states[0] = MemberState::Complete;
    for now_ms in 0..60_000 {
        if states
            .iter()
            .all(|state| matches!(state, MemberState::Complete))
        {
            return now_ms;
        }
        let mut transfers = vec![0_u64; MEMBERS];
        for state in &states {
            if let MemberState::Receiving { source, .. } = state {
                transfers[*source] += 1;
            }
        }
        for (member, state) in states.iter_mut().enumerate() {
            *state = match *state {
                MemberState::Requesting { source, from_ms } if from_ms <= now_ms => {
                    match sources[source].offer(VERSION) {
                        // Concurrent transfers from the same source make it longer.
                        BodyOffer::Body => MemberState::Receiving {
                            source,
                            left_ms: BODY_MS,
                        },
                        BodyOffer::Elsewhere(others) if others.is_empty() => {
                            MemberState::Requesting {
                                source,
                                from_ms: now_ms + rng.random_range(PAUSE_MS / 2..PAUSE_MS * 3 / 2),
                            }
                        }
                        BodyOffer::Elsewhere(others) => {
                            let other = others[rng.random_range(0..others.len())];
                            MemberState::Requesting {
                                source: usize::from(other.port()) - 1_000,
                                from_ms: now_ms + 2,
                            }
                        }
                    }
                }
                MemberState::Receiving { source, left_ms: 0 } => {
                    sources[source].finish_transfer(VERSION, Some(addr(member)));
                    MemberState::Complete
                }
                MemberState::Receiving { source, left_ms }
                    if now_ms % transfers[source].max(1) == 0 =>
                {
                    MemberState::Receiving {
                        source,
                        left_ms: left_ms - 1,
                    }
                }
                other => other,
            };
        }
    }
    60_000
}

#[test]
fn a_body_reaches_a_large_domain_in_a_quarter_of_the_time_of_a_single_source() {
    let single_source_ms = BODY_MS * u64::try_from(MEMBERS - 1).unwrap();
    for seed in 0..5 {
        let distribution_ms = distribution_ms(seed);
        assert!(
            distribution_ms * 4 < single_source_ms,
            "{distribution_ms} ms of {single_source_ms} ms"
        );
    }
}

#[test]
fn holders_of_an_older_version_are_not_offered_as_sources_of_a_newer_one() {
    let mut source = BodySource::new();
    assert_eq!(source.offer(1), BodyOffer::Body);
    source.finish_transfer(1, Some(addr(1)));
    assert_eq!(source.offer(2), BodyOffer::Body);
    assert_eq!(source.offer(2), BodyOffer::Body);
    assert_eq!(source.offer(2), BodyOffer::Elsewhere(Vec::new()));
    // A failed transfer frees its slot and adds no source.
    source.finish_transfer(2, None);
    assert_eq!(source.offer(2), BodyOffer::Body);
    assert_eq!(source.offer(2), BodyOffer::Elsewhere(Vec::new()));
}
