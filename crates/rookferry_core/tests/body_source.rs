//! Distribution of a new configuration when all members of a failure domain request it
//! at once.

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
enum Doing {
    Asks { source: usize, from_ms: u64 },
    Gets { source: usize, left_ms: u64 },
    HasIt,
}

/// Milliseconds until all members have the body that at first only one has. Concurrent
/// transfers from one member share its link.
fn spread_ms(seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sources = vec![BodySource::new(); MEMBERS];
    let mut doing = vec![
        Doing::Asks {
            source: 0,
            from_ms: 0
        };
        MEMBERS
    ];
    doing[0] = Doing::HasIt;
    for now_ms in 0..60_000 {
        if doing.iter().all(|doing| matches!(doing, Doing::HasIt)) {
            return now_ms;
        }
        let mut sending = vec![0_u64; MEMBERS];
        for member in &doing {
            if let Doing::Gets { source, .. } = member {
                sending[*source] += 1;
            }
        }
        for (member, doing) in doing.iter_mut().enumerate() {
            *doing = match *doing {
                Doing::Asks { source, from_ms } if from_ms <= now_ms => {
                    match sources[source].offer(VERSION) {
                        // Concurrent transfers from the same source make it longer.
                        BodyOffer::Body => Doing::Gets {
                            source,
                            left_ms: BODY_MS,
                        },
                        BodyOffer::Elsewhere(others) if others.is_empty() => Doing::Asks {
                            source,
                            from_ms: now_ms + rng.random_range(PAUSE_MS / 2..PAUSE_MS * 3 / 2),
                        },
                        BodyOffer::Elsewhere(others) => {
                            let other = others[rng.random_range(0..others.len())];
                            Doing::Asks {
                                source: usize::from(other.port()) - 1_000,
                                from_ms: now_ms + 2,
                            }
                        }
                    }
                }
                Doing::Gets { source, left_ms: 0 } => {
                    sources[source].finish_transfer(VERSION, Some(addr(member)));
                    Doing::HasIt
                }
                Doing::Gets { source, left_ms } if now_ms % sending[source].max(1) == 0 => {
                    Doing::Gets {
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
fn a_body_reaches_all_of_a_large_domain_in_a_fraction_of_the_first_ones_time() {
    let first_alone_ms = BODY_MS * u64::try_from(MEMBERS - 1).unwrap();
    for seed in 0..5 {
        let spread_ms = spread_ms(seed);
        assert!(
            spread_ms * 4 < first_alone_ms,
            "{spread_ms} ms of {first_alone_ms} ms"
        );
    }
}

#[test]
fn a_newer_version_is_not_asked_of_those_that_have_the_older() {
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
