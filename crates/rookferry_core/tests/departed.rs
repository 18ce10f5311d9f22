//! Leaving and removed servers are remembered apart from the list of servers, whichever
//! list is active.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::DepartedServers;
use rookferry_core::Departure;
use rookferry_core::ListVersion;
use rookferry_core::ServerKey;
use rookferry_core::StoreVersion;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_mins(1);

fn start(born: u64) -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], 8_000));
    ServerKey::new(addr, "server", Some(born))
}

fn version(era: u64, revision: u64) -> ListVersion {
    ListVersion::of(StoreVersion::new(era, revision))
}

#[test]
fn what_one_start_said_says_nothing_of_another() {
    let mut departed = DepartedServers::new();
    let now = Instant::now();
    assert!(departed.record(start(1), Departure::Leaving, now));
    assert!(!departed.record(start(1), Departure::Leaving, now));
    assert!(!departed.contains(start(2)));
    assert!(departed.contains(start(1)));
}

#[test]
fn that_a_server_leaves_outlasts_its_entry_for_a_time() {
    let mut departed = DepartedServers::new();
    let now = Instant::now();
    departed.record(start(1), Departure::Leaving, now);
    departed.adopt_list(version(1, 1), now + 9 * MINUTE, |_| false);
    assert!(departed.contains(start(1)));
    departed.adopt_list(version(1, 2), now + 20 * MINUTE, |_| true);
    assert!(departed.contains(start(1)));
    departed.adopt_list(version(1, 3), now + 20 * MINUTE, |_| false);
    assert!(departed.is_empty());
}

#[test]
fn no_list_takes_it_back_that_a_server_leaves() {
    let mut departed = DepartedServers::new();
    let now = Instant::now();
    departed.record(start(1), Departure::Leaving, now);
    for listed in [version(1, 9), version(2, 1), version(1, 1)] {
        departed.adopt_list(listed, now, |_| true);
        assert!(departed.contains(start(1)));
    }
}

#[test]
fn a_list_from_after_an_entry_went_goes_before_the_word_of_it() {
    let mut departed = DepartedServers::new();
    let now = Instant::now();
    departed.adopt_list(version(1, 5), now, |_| true);
    assert!(departed.record(start(1), Departure::Gone(version(1, 7)), now));
    assert!(departed.contains(start(1)));
    departed.adopt_list(version(1, 6), now, |_| true);
    assert!(
        departed.contains(start(1)),
        "the list is older than the removal"
    );
    departed.adopt_list(version(1, 7), now, |_| true);
    assert!(!departed.contains(start(1)), "the list contains it again");
    // A late report of the removal is no change.
    assert!(!departed.record(start(1), Departure::Gone(version(1, 7)), now));
    // Nor is a report from before a restore of the store.
    departed.adopt_list(version(2, 1), now, |_| true);
    assert!(!departed.record(start(2), Departure::Gone(version(1, 90)), now));
    assert!(!departed.contains(start(2)));
}

#[test]
fn others_are_told_with_an_age_for_a_time_and_the_latest_first() {
    let mut departed = DepartedServers::new();
    let now = Instant::now();
    for born in 0..40 {
        let since = now + Duration::from_millis(born);
        departed.record(start(born), Departure::Leaving, since);
    }
    let told = departed.advertised(24, 0, now + SECOND);
    assert_eq!(told.len(), 24);
    assert_eq!((told[0].server, told[0].age_ms), (start(39), 961));
    let mut other = DepartedServers::new();
    for seen in told {
        assert!(other.merge(seen, now + SECOND));
        assert!(!other.merge(seen, now + SECOND));
    }
    // The age counts from the first instance's record, so peers don't advertise it
    // longer.
    let again = other.advertised(1, 0, now + 2 * SECOND);
    assert!(again[0].age_ms >= 1_900, "{}", again[0].age_ms);
    assert!(other.advertised(24, 0, now + MINUTE).is_empty());
}

/// Guards against advertising only the latest departures, so that the others never reach
/// the peers. A fiftieth of 3,000 servers leaves at once in a scale-in, a thirtieth in a
/// release; twice as many in a site of twice the size.
#[rstest]
#[case::few(10)]
#[case::a_scale_in(60)]
#[case::a_release(100)]
#[case::twice_that(200)]
fn each_of_many_that_leave_at_once_is_told_again_and_again(#[case] leaving: u64) {
    const MOST: usize = 24;
    let mut departed = DepartedServers::new();
    let now = Instant::now();
    for born in 0..leaving {
        departed.record(start(born), Departure::Leaving, now);
    }
    // The rotations of four seconds, two rounds each.
    let told = (0..13).flat_map(|turn| {
        let told = departed.advertised(MOST, turn, now + SECOND);
        assert!(told.len() <= MOST);
        told
    });
    let told: BTreeSet<ServerKey> = told.map(|seen| seen.server).collect();
    assert_eq!(told.len(), usize::try_from(leaving).unwrap());
}
