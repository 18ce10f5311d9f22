//! Each token runs through each layer exactly once: with every fault at every exchange of
//! a stream with an engine, with pairs of faults, and after another instance takes over.

mod support;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use rookferry_core::AbandonReason;
use rookferry_core::StageEvent;
use rookferry_core::StreamDriver;
use rstest::rstest;

use support::Fault;
use support::Pipeline;
use support::StreamOutcome;
use support::TOKENS;
use support::reference;

const ALL_FAULTS: [Fault; 8] = [
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::ResponseLost,
    Fault::Frozen,
    Fault::Leaving,
    Fault::Overloaded,
    Fault::Evicted,
    Fault::Duplicated,
];

/// Number of exchanges of a stream without faults: three stages for each token.
const EXCHANGES: usize = 3 * TOKENS as usize;

fn run(faults: Vec<(usize, Fault)>) -> (Pipeline, StreamDriver, StreamOutcome) {
    let mut pipeline = Pipeline::new(faults);
    let mut driver = StreamDriver::new(pipeline.spec());
    let outcome = pipeline
        .run(&mut driver, None)
        .expect("the stream finishes or is abandoned");
    pipeline.wake();
    (pipeline, driver, outcome)
}

#[test]
fn without_faults_each_layer_runs_once() {
    let (pipeline, _, outcome) = run(Vec::new());
    assert_eq!(outcome, StreamOutcome::Finished);
    assert_eq!(pipeline.emitted, reference());
    for start in [0, 2, 4] {
        for position in 0..5 {
            assert_eq!(pipeline.runs_at(start, position), 1);
        }
    }
}

/// Each fault at each exchange: prefill, each stage, between tokens, the last
/// token.
#[rstest]
fn a_fault_at_any_exchange_leaves_the_response_unchanged(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] fault: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] exchange: usize,
) {
    let (pipeline, _, outcome) = run(vec![(exchange, ALL_FAULTS[fault])]);
    assert_eq!(outcome, StreamOutcome::Finished);
    assert_eq!(pipeline.emitted, reference());
    pipeline.assert_no_repeats();
}

/// The other stages run no position again, whichever stage is lost.
#[rstest]
fn only_the_lost_stage_reruns_its_prefix(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] exchange: usize,
) {
    let (pipeline, ..) = run(vec![(exchange, Fault::CrashBefore)]);
    let lost = ((exchange - 1) % 3) * 2;
    for start in [0, 2, 4]
        .into_iter()
        .filter(|start| usize::from(*start) != lost)
    {
        for position in 0..5 {
            assert_eq!(
                pipeline.runs_at(start, position),
                1,
                "stage {start}, position {position}"
            );
        }
    }
}

/// The second fault hits the recovery from the first.
#[rstest]
fn a_second_fault_during_recovery_leaves_the_response_unchanged(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] first: usize,
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] second: usize,
    #[values(2, 6, 10)] exchange: usize,
) {
    for gap in 1..=5 {
        let faults = vec![
            (exchange, ALL_FAULTS[first]),
            (exchange + gap, ALL_FAULTS[second]),
        ];
        let (pipeline, _, outcome) = run(faults);
        assert_eq!(outcome, StreamOutcome::Finished, "gap {gap}");
        assert_eq!(pipeline.emitted, reference(), "gap {gap}");
        pipeline.assert_no_repeats();
    }
}

/// Another instance resumes the stream after the first one stopped at any exchange.
#[rstest]
fn a_resumed_stream_gives_the_whole_response_and_runs_nothing_twice(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] stopped_after: usize,
) {
    let mut pipeline = Pipeline::new(Vec::new());
    let mut first = StreamDriver::new(pipeline.spec());
    assert_eq!(pipeline.run(&mut first, Some(stopped_after)), None);
    pipeline.emitted.clear();
    let mut second = StreamDriver::resume(pipeline.spec(), 1);
    assert_eq!(
        pipeline.run(&mut second, None),
        Some(StreamOutcome::Finished)
    );
    assert_eq!(pipeline.emitted, reference());
    for start in [0, 2, 4] {
        for position in 0..5 {
            assert_eq!(pipeline.runs_at(start, position), 1);
        }
    }
}

/// An owner that continues after another instance took over its stream is refused.
#[test]
fn a_paused_owner_is_fenced_after_a_takeover() {
    let mut pipeline = Pipeline::new(Vec::new());
    let mut paused = StreamDriver::new(pipeline.spec());
    assert_eq!(pipeline.run(&mut paused, Some(5)), None);
    pipeline.emitted.clear();
    let mut resumed = StreamDriver::resume(pipeline.spec(), 1);
    assert_eq!(
        pipeline.run(&mut resumed, None),
        Some(StreamOutcome::Finished)
    );
    let stale = StageEvent::Refused {
        engine: "c1".into(),
        attempt: paused.attempt(),
        refusal: rookferry_wire::Refusal::StaleAttempt {
            newest: resumed.attempt(),
        },
    };
    let actions = paused.on_event(stale);
    let taken_over = rookferry_core::StreamAction::Abandon {
        reason: AbandonReason::TakenOver,
    };
    assert_eq!(actions, [taken_over]);
    assert!(!paused.nothing_ran());
}

/// A resume abandons a stream that the engines don't hold.
#[test]
fn a_resume_never_starts_a_stream() {
    let mut pipeline = Pipeline::new(Vec::new());
    let mut driver = StreamDriver::resume(pipeline.spec(), 1);
    let outcome = pipeline.run(&mut driver, None);
    assert_eq!(
        outcome,
        Some(StreamOutcome::Abandoned(AbandonReason::NotHeld))
    );
    assert_eq!(pipeline.runs_at(0, 0), 0);
    assert!(!driver.nothing_ran(), "another instance may have run it");
}

/// A stream counts as not run only while each step was refused before it ran.
#[rstest]
#[case(Fault::Leaving, true)]
#[case(Fault::Overloaded, true)]
#[case(Fault::CrashBefore, false)]
#[case(Fault::Frozen, false)]
fn not_run_requires_a_refusal_by_the_engine(#[case] fault: Fault, #[case] expected: bool) {
    let mut pipeline = Pipeline::new([(1, fault)]);
    let mut driver = StreamDriver::new(pipeline.spec());
    assert_eq!(pipeline.run(&mut driver, Some(1)), None);
    let actions = driver.on_event(StageEvent::NoReplacement);
    assert!(!actions.is_empty());
    assert_eq!(driver.nothing_ran(), expected);
}

/// Responses from another engine, for another attempt or at another time are dropped.
#[test]
fn unexpected_responses_are_dropped() {
    let pipeline = Pipeline::new(Vec::new());
    let mut driver = StreamDriver::new(pipeline.spec());
    let _ = driver.start();
    for (engine, attempt) in [("b1", 1), ("a1", 2), ("a2", 1)] {
        let event = StageEvent::Done {
            engine: engine.into(),
            attempt,
            output: vec![1, 2, 3],
        };
        assert!(driver.on_event(event).is_empty());
    }
}

proptest! {
    #[test]
    fn any_schedule_of_faults_emits_only_the_reference_output(
        faults in vec((1_usize..EXCHANGES * 3, select(ALL_FAULTS.to_vec())), 0..8),
    ) {
        let (pipeline, _, outcome) = run(faults);
        if outcome == StreamOutcome::Finished {
            prop_assert_eq!(&pipeline.emitted, &reference());
        }
        let emitted = pipeline.emitted.len();
        prop_assert_eq!(&pipeline.emitted[..], &reference()[..emitted]);
        pipeline.assert_no_repeats();
    }

    #[test]
    fn two_sequential_drivers_run_nothing_twice(
        stopped_after in 1_usize..EXCHANGES,
        faults in vec((1_usize..EXCHANGES * 2, select(vec![Fault::ResponseLost, Fault::Frozen, Fault::Duplicated])), 0..4),
        wakes_frozen_engines in any::<bool>(),
    ) {
        let mut pipeline = Pipeline::new(faults);
        let mut first = StreamDriver::new(pipeline.spec());
        let _ = pipeline.run(&mut first, Some(stopped_after));
        pipeline.emitted.clear();
        let mut second = StreamDriver::resume(pipeline.spec(), 1);
        let outcome = pipeline.run(&mut second, None);
        if wakes_frozen_engines {
            pipeline.wake();
        }
        if outcome == Some(StreamOutcome::Finished) {
            prop_assert_eq!(&pipeline.emitted, &reference());
        }
        pipeline.assert_no_repeats();
    }
}

/// The owner had moved to a newer attempt before it stopped, so the resume has to count
/// its own attempts from above that one.
#[test]
fn a_resume_opens_its_attempt_above_a_newer_one_of_the_owner() {
    let faults = [(1, Fault::ResponseLost), (8, Fault::ResponseLost)];
    let mut pipeline = Pipeline::new(faults);
    let mut first = StreamDriver::new(pipeline.spec());
    assert_eq!(pipeline.run(&mut first, Some(9)), None);
    pipeline.emitted.clear();
    let mut second = StreamDriver::resume(pipeline.spec(), 1);
    assert_eq!(
        pipeline.run(&mut second, None),
        Some(StreamOutcome::Finished)
    );
    assert!(second.attempt() > first.attempt());
    assert_eq!(pipeline.emitted, reference());
}

/// An owner that was paused after any exchange continues once another instance has
/// finished its stream: the stages refuse it, and nothing runs again.
#[rstest]
fn a_paused_owner_that_continues_is_refused_by_the_stages(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] paused_after: usize,
) {
    let mut pipeline = Pipeline::new(Vec::new());
    let mut owner = StreamDriver::new(pipeline.spec());
    assert_eq!(pipeline.run(&mut owner, Some(paused_after)), None);
    let emitted = std::mem::take(&mut pipeline.emitted);
    let mut resumed = StreamDriver::resume(pipeline.spec(), 1);
    assert_eq!(
        pipeline.run(&mut resumed, None),
        Some(StreamOutcome::Finished)
    );
    pipeline.emitted = emitted;
    // The owner may still emit what it had received before the pause.
    let outcome = pipeline.resume(&mut owner);
    assert_eq!(
        outcome,
        Some(StreamOutcome::Abandoned(AbandonReason::TakenOver))
    );
    pipeline.assert_no_repeats();
    for start in [0, 2, 4] {
        for position in 0..5 {
            assert_eq!(pipeline.runs_at(start, position), 1);
        }
    }
}
