//! Replays of one instance's streams in virtual time, with engines that slow down under
//! load. They guard against overloaded engines that are taken for failed ones, against
//! dead engines that are found late, and against probes that multiply the load.

use std::time::Duration;
use std::time::Instant;

use rookferry_core::PaceTracker;
use rookferry_core::StallBounds;
use rstest::rstest;

const TICK: Duration = Duration::from_millis(5);
const START_INTERVAL: Duration = Duration::from_millis(40);
/// The same at normal load.
const CALM_START_INTERVAL: Duration = Duration::from_millis(175);
const CALM_FIRST_EVENT: Duration = Duration::from_millis(60);
const CALM_GAP: Duration = Duration::from_millis(50);
const EVENTS_PER_STREAM: u32 = 20;
const PATHS: usize = 6;
/// Engines of a path, all of which a check may probe.
const STAGES: u32 = 4;
/// How long a probe serves other streams of the same path too.
const PROBE_REUSE: Duration = Duration::from_millis(110);
/// Time until a stream that is still stalled is checked again; doubles each time.
const RECHECK_AFTER: Duration = Duration::from_millis(150);
const CALM_UNTIL: Duration = Duration::from_secs(2);
/// Time after which the bounds have to match the slower pace.
const ADAPTED_FROM: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, PartialEq)]
enum Bounds {
    Adaptive,
    Fixed,
}

struct Stream {
    path: usize,
    since: Instant,
    /// When the next event arrives; never over a dead engine.
    due: Option<Instant>,
    events: u32,
    check_at: Instant,
    check_pause: Duration,
    is_rerun: bool,
}

struct Replay {
    start: Instant,
    now: Instant,
    bounds: Bounds,
    tracker: PaceTracker,
    slowdown: f64,
    start_interval: Duration,
    /// Range of the times, as factors on their middle.
    spread: f64,
    /// The path with a dead engine.
    dead: Option<usize>,
    random: u64,
    streams: Vec<Stream>,
    started: u32,
    /// Checks and further runs of streams at sound engines, after the adaptation.
    suspected: u32,
    rerun: u32,
    probes: u32,
    probed_at: [Option<Instant>; PATHS],
    dead_found_at: Option<Instant>,
}

impl Replay {
    fn new(bounds: Bounds, slowdown: f64) -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            bounds,
            tracker: PaceTracker::new(),
            slowdown,
            start_interval: START_INTERVAL,
            spread: 0.3,
            dead: None,
            random: 1,
            streams: Vec::new(),
            started: 0,
            suspected: 0,
            rerun: 0,
            probes: 0,
            probed_at: [None; PATHS],
            dead_found_at: None,
        }
    }

    fn bounds(&self) -> StallBounds {
        match self.bounds {
            Bounds::Adaptive => self.tracker.bounds(self.now),
            Bounds::Fixed => StallBounds::FIXED,
        }
    }

    fn has_adapted(&self) -> bool {
        self.now >= self.start + ADAPTED_FROM
    }

    /// When an event arrives that takes `calm` without load.
    fn due(&mut self, path: usize, calm: Duration) -> Option<Instant> {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        let chance = f64::from((self.random >> 40) as u32) / f64::from(1_u32 << 24);
        let is_loaded = self.now >= self.start + CALM_UNTIL;
        let slowdown = if is_loaded { self.slowdown } else { 1.0 };
        let factor = slowdown * (1.0 + self.spread * (2.0 * chance - 1.0));
        (self.dead != Some(path)).then(|| self.now + calm.mul_f64(factor))
    }

    fn start_stream(&mut self) {
        self.started += 1;
        self.tracker.record_start();
        let path = self.started as usize % PATHS;
        let stream = Stream {
            path,
            since: self.now,
            due: self.due(path, CALM_FIRST_EVENT),
            events: 0,
            check_at: self.now + self.bounds().first_event,
            check_pause: RECHECK_AFTER,
            is_rerun: false,
        };
        self.streams.push(stream);
    }

    /// Delivers a due event, or checks a stream that has stalled.
    fn advance(&mut self, stream: &mut Stream) {
        let took = self.now - stream.since;
        if stream.due.is_some_and(|due| due <= self.now) {
            if stream.events == 0 {
                self.tracker.record_first_event(took, self.now);
            } else {
                self.tracker.record_gap(took, self.now);
            }
            stream.events += 1;
            stream.since = self.now;
            stream.due = self.due(stream.path, CALM_GAP);
            stream.check_at = self.now + self.bounds().running;
            stream.check_pause = RECHECK_AFTER;
            return;
        }
        if stream.check_at > self.now {
            return;
        }
        let bounds = self.bounds();
        let (bound, hung) = if stream.events == 0 {
            (bounds.first_event, bounds.first_event_hung)
        } else {
            (bounds.running, bounds.hung)
        };
        if took < bound {
            stream.check_at = stream.since + bound;
            return;
        }
        let is_probed = self.probe(stream.path);
        stream.check_at = self.now + stream.check_pause;
        stream.check_pause *= 2;
        if self.dead == Some(stream.path) {
            if is_probed {
                self.dead_found_at.get_or_insert(self.now);
            }
            return;
        }
        self.suspected += u32::from(self.has_adapted());
        if stream.events == 0 && took >= hung && !stream.is_rerun {
            self.rerun += u32::from(self.has_adapted());
            stream.is_rerun = true;
            stream.since = self.now;
            stream.due = self.due(stream.path, CALM_FIRST_EVENT);
            stream.check_at = self.now + bounds.first_event;
        }
    }

    /// Probes the engines of a path that was not probed just before.
    fn probe(&mut self, path: usize) -> bool {
        if self.probed_at[path].is_some_and(|at| self.now - at < PROBE_REUSE) {
            return false;
        }
        let mut is_probed = false;
        for _ in 0..STAGES {
            if self.bounds == Bounds::Fixed || self.tracker.take_probe(self.now) {
                self.probes += 1;
                is_probed = true;
                self.probed_at[path] = Some(self.now);
            }
        }
        is_probed
    }

    fn run_until(&mut self, end: Duration) {
        let mut next_start = self.now;
        while self.now < self.start + end {
            if self.now >= next_start {
                self.start_stream();
                next_start += self.start_interval;
            }
            let mut streams = std::mem::take(&mut self.streams);
            for stream in &mut streams {
                self.advance(stream);
            }
            streams.retain(|stream| stream.events < EVENTS_PER_STREAM);
            self.streams.append(&mut streams);
            self.now += TICK;
        }
    }

    /// Stops an engine of a path: what it was to deliver doesn't arrive.
    fn kill(&mut self, path: usize) {
        self.dead = Some(path);
        let streams = self.streams.iter_mut();
        for stream in streams.filter(|stream| stream.path == path) {
            stream.due = None;
        }
    }
}

/// Guards against checks, probes and further runs of streams merely because all engines are slow.
/// The fixed bounds cause all three.
#[rstest]
#[case::twice(2.0)]
#[case::five_times(5.0)]
#[case::ten_times(10.0)]
fn slow_engines_are_not_suspected(#[case] slowdown: f64) {
    let mut adaptive = Replay::new(Bounds::Adaptive, slowdown);
    adaptive.run_until(END);
    assert!(adaptive.suspected * 100 <= adaptive.started);
    assert_eq!(adaptive.rerun, 0);
    assert!(adaptive.probes <= adaptive.started);

    let mut fixed = Replay::new(Bounds::Fixed, slowdown);
    fixed.run_until(END);
    assert!(fixed.suspected >= fixed.started);
    assert!(fixed.probes > fixed.started * 2);
    let must_rerun = CALM_FIRST_EVENT.mul_f64(slowdown) > StallBounds::FIXED.first_event_hung;
    assert_eq!(fixed.rerun * 2 >= fixed.started, must_rerun);
}

/// Guards against bounds or a probe budget that hide a dead engine among slow ones.
#[rstest]
#[case::calm(1.0)]
#[case::twice(2.0)]
#[case::five_times(5.0)]
#[case::ten_times(10.0)]
fn a_dead_engine_is_found_within_the_bound(#[case] slowdown: f64) {
    let mut replay = Replay::new(Bounds::Adaptive, slowdown);
    replay.run_until(Duration::from_secs(6));
    let bound = replay.bounds().running;
    assert!(bound <= StallBounds::FIXED.running * 10);
    replay.kill(0);
    let died_at = replay.now;
    replay.run_until(Duration::from_secs(8));
    let found_after = replay.dead_found_at.map(|at| at - died_at);
    assert!(
        found_after.is_some_and(|after| after <= bound + TICK),
        "{found_after:?}"
    );
}

/// Guards against slower detection at a site without overload.
#[test]
fn calm_streams_keep_the_fixed_bounds() {
    let mut replay = Replay::new(Bounds::Adaptive, 1.0);
    for second in 1..=END.as_secs() {
        replay.run_until(Duration::from_secs(second));
        assert_eq!(replay.bounds(), StallBounds::FIXED);
    }
}

/// Guards against one slow stream, or a few long pauses, that raise the bounds for all.
#[test]
fn a_slow_stream_hardly_raises_the_bounds() {
    let mut replay = Replay::new(Bounds::Adaptive, 1.0);
    replay.run_until(END);
    let fixed = StallBounds::FIXED;
    replay.tracker.record_first_event(END, replay.now);
    replay.tracker.record_gap(END, replay.now);
    let bounds = replay.bounds();
    assert!(bounds.running < fixed.running.mul_f64(1.25), "{bounds:?}");
    assert_eq!(bounds.first_event, fixed.first_event);
    let mut new = PaceTracker::new();
    new.record_first_event(END, replay.now);
    new.record_gap(END, replay.now);
    assert_eq!(new.bounds(replay.now), fixed);
}

/// Guards against bounds that stay raised when the overload, or all traffic, is over.
#[test]
fn bounds_fall_back_after_an_overload() {
    let mut replay = Replay::new(Bounds::Adaptive, 10.0);
    replay.run_until(END);
    let raised = replay.bounds();
    assert!(raised.running > Duration::from_millis(500));
    assert!(raised.first_event_hung <= Duration::from_secs(1));
    let silent = replay.now + Duration::from_secs(1);
    assert_eq!(replay.tracker.bounds(silent), StallBounds::FIXED);
    replay.slowdown = 1.0;
    replay.start_interval = CALM_START_INTERVAL;
    replay.run_until(END + Duration::from_secs(2));
    assert_eq!(replay.bounds(), StallBounds::FIXED);
}

/// Guards against probes that add to an overload: times that vary so much that streams
/// still stall cause at most one probe per started stream. The fixed bounds cause many.
#[test]
fn an_overload_causes_at_most_one_probe_per_stream() {
    let probes_per_stream = |bounds| {
        let mut replay = Replay::new(bounds, 20.0);
        replay.spread = 0.9;
        replay.run_until(END);
        f64::from(replay.probes) / f64::from(replay.started)
    };
    let adaptive = probes_per_stream(Bounds::Adaptive);
    assert!(adaptive <= 1.0, "{adaptive}");
    assert!(probes_per_stream(Bounds::Fixed) > 4.0);
}
