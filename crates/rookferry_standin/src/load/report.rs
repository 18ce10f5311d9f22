//! Report of a load run: latency percentiles, outcomes and throughput.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::CallKind;
use super::CallOutcome;

/// Width of the timeline's buckets.
pub(super) const BUCKET_WIDTH: Duration = Duration::from_millis(100);

/// Percentiles of a latency.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Outcomes of one kind of request, and latencies of its correct answers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers that equal the reference.
    pub correct: u64,
    /// Complete answers that differ from the reference.
    pub wrong: u64,
    /// Problems with the outcome "not run".
    pub not_run: u64,
    /// Problems with the outcome "unknown" or "running".
    pub unknown: u64,
    /// Broken connections, invalid responses and timeouts.
    pub cut: u64,
    /// Number of problems by reason code, and of cut requests by cause.
    pub reasons: BTreeMap<String, u64>,
    /// Time from when a request was due to its complete answer, with all its tries.
    pub whole: Percentiles,
    /// Time from when a request was due to its first token.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub gaps: Percentiles,
}

/// Report of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadRunReport {
    /// Outcomes and latencies by kind of request.
    pub kinds: BTreeMap<CallKind, KindReport>,
    /// Correct answers by client account.
    pub correct_by_account: BTreeMap<String, u64>,
    /// Requests sent by client account.
    pub sent_by_account: BTreeMap<String, u64>,
    /// Requests not sent because `max_in_flight` was reached.
    pub not_sent: u64,
    /// Tokens per second of correct answers, over the last three quarters of the sending
    /// time.
    pub tokens_per_s: f64,
    /// Correct answers per second of sending time.
    pub answers_per_s: f64,
    /// Tokens of correct answers in each interval of 100 ms.
    pub timeline: Vec<u64>,
    /// Failures of the load generator itself, such as faults that weren't injected.
    pub notes: Vec<String>,
}

/// Latencies in microseconds.
#[derive(Debug)]
struct LatencyHistograms {
    whole: Histogram<u64>,
    first_token: Histogram<u64>,
    gaps: Histogram<u64>,
}

/// Collects the outcomes of a run.
#[derive(Debug, Default)]
pub(super) struct Collector {
    report: LoadRunReport,
    times: BTreeMap<CallKind, LatencyHistograms>,
    tokens: u64,
    answers: u64,
}

/// Timing and classification of a finished request.
pub(super) struct RequestTiming<'a> {
    pub(super) kind: CallKind,
    pub(super) account: &'a str,
    /// Time from when it was due to its last try.
    pub(super) send_delay: Duration,
    /// Duration of its last try.
    pub(super) last_try_duration: Duration,
    /// Time from the start of the load.
    pub(super) ended_at: Duration,
    pub(super) is_correct: bool,
}

impl Collector {
    pub(super) fn record_not_sent(&mut self) {
        self.report.not_sent += 1;
    }

    pub(super) fn record_note(&mut self, note: &str) {
        self.report.notes.push(note.to_owned());
    }

    pub(super) fn record_request(&mut self, timing: &RequestTiming<'_>, outcome: &CallOutcome) {
        let sent = self.report.sent_by_account.entry(timing.account.to_owned());
        *sent.or_default() += 1;
        let kind = self.report.kinds.entry(timing.kind).or_default();
        kind.sent += 1;
        match outcome {
            CallOutcome::Answered(_) if timing.is_correct => kind.correct += 1,
            CallOutcome::Answered(_) => kind.wrong += 1,
            CallOutcome::Problem(problem) => {
                let reason = format!("{:?}", problem.reason);
                *kind.reasons.entry(reason).or_default() += 1;
                if problem.outcome == rookferry_wire::Outcome::NotRun {
                    kind.not_run += 1;
                } else {
                    kind.unknown += 1;
                }
            }
            CallOutcome::Cut(message) => {
                kind.cut += 1;
                *kind.reasons.entry(format!("cut: {message}")).or_default() += 1;
            }
        }
        if timing.is_correct {
            self.record_correct(timing, outcome);
        }
    }

    fn record_correct(&mut self, timing: &RequestTiming<'_>, outcome: &CallOutcome) {
        let CallOutcome::Answered(answer) = outcome else {
            return;
        };
        let correct = self
            .report
            .correct_by_account
            .entry(timing.account.to_owned());
        *correct.or_default() += 1;
        let times = self
            .times
            .entry(timing.kind)
            .or_insert_with(LatencyHistograms::new);
        record(
            &mut times.whole,
            timing.send_delay + timing.last_try_duration,
        );
        if let Some(first_token) = answer.first_token {
            record(&mut times.first_token, timing.send_delay + first_token);
        }
        for gap in &answer.gaps {
            record(&mut times.gaps, *gap);
        }
        let tokens = answer.tokens.len() as u64;
        self.tokens += tokens;
        self.answers += 1;
        self.add_to_timeline(timing.ended_at, answer);
    }

    /// Counts each token at its arrival time; without streaming, at the end.
    fn add_to_timeline(&mut self, ended_at: Duration, answer: &super::CallResponse) {
        let mut at = ended_at;
        let mut gaps = answer.gaps.iter().rev();
        for _ in &answer.tokens {
            let bucket = usize::try_from(at.as_millis() / BUCKET_WIDTH.as_millis()).unwrap_or(0);
            if self.report.timeline.len() <= bucket {
                self.report.timeline.resize(bucket + 1, 0);
            }
            self.report.timeline[bucket] += 1;
            at = at.saturating_sub(gaps.next().copied().unwrap_or_default());
        }
    }

    /// Completes the report; `duration` is the time in which requests were sent.
    pub(super) fn finish(mut self, duration: Duration) -> LoadRunReport {
        let sending_buckets =
            usize::try_from(duration.as_millis() / BUCKET_WIDTH.as_millis()).unwrap_or(0);
        // The first quarter is skipped, because the site is still filling with requests.
        let skipped = sending_buckets / 4;
        let counted = self
            .report
            .timeline
            .iter()
            .take(sending_buckets)
            .skip(skipped);
        let seconds =
            (BUCKET_WIDTH * u32::try_from(sending_buckets - skipped).unwrap_or(1)).as_secs_f64();
        self.report.tokens_per_s =
            counted.sum::<u64>() as f64 / seconds.max(BUCKET_WIDTH.as_secs_f64());
        self.report.answers_per_s = self.answers as f64 / duration.as_secs_f64();
        for (kind, times) in &self.times {
            let report = self.report.kinds.entry(*kind).or_default();
            report.whole = percentiles(&times.whole);
            report.first_token = percentiles(&times.first_token);
            report.gaps = percentiles(&times.gaps);
        }
        self.report
    }
}

impl LatencyHistograms {
    fn new() -> Self {
        Self {
            whole: histogram(),
            first_token: histogram(),
            gaps: histogram(),
        }
    }
}

impl LoadRunReport {
    /// Formats the report as text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (kind, report) in &self.kinds {
            let _ = writeln!(
                text,
                "{kind:?}: sent {}, correct {}, wrong {}, not run {}, unknown {}, cut {}",
                report.sent,
                report.correct,
                report.wrong,
                report.not_run,
                report.unknown,
                report.cut
            );
            for (name, times) in [
                ("whole", &report.whole),
                ("first token", &report.first_token),
                ("between tokens", &report.gaps),
            ] {
                if times.count == 0 {
                    continue;
                }
                let _ = writeln!(
                    text,
                    "  {name}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
                    times.p50_ms, times.p95_ms, times.p99_ms, times.max_ms
                );
            }
            for (reason, count) in &report.reasons {
                let _ = writeln!(text, "  {reason}: {count}");
            }
        }
        for (account, sent) in &self.sent_by_account {
            let correct = self.correct_by_account.get(account).unwrap_or(&0);
            let _ = writeln!(text, "account {account}: sent {sent}, correct {correct}");
        }
        for note in &self.notes {
            let _ = writeln!(text, "note: {note}");
        }
        let _ = writeln!(
            text,
            "{:.1} tokens/s, {:.1} answers/s, {} not sent",
            self.tokens_per_s, self.answers_per_s, self.not_sent
        );
        text
    }

    /// Time from a fault until the tokens per second are back at `share` of their mean
    /// before it (without the first third, the warm-up), over half a second; `None` if
    /// they never are.
    #[must_use]
    pub fn recovery_time(&self, fault_at: Duration, share: f64) -> Option<Duration> {
        let fault = usize::try_from(fault_at.as_millis() / BUCKET_WIDTH.as_millis()).ok()?;
        let before = self.timeline.get(..fault)?;
        let warm = before.get(before.len() / 3..)?;
        let mean = warm.iter().sum::<u64>() as f64 / warm.len().max(1) as f64;
        let after = self.timeline.get(fault..)?;
        let recovered_at = after.windows(5).position(|window| {
            let sum: u64 = window.iter().sum();
            sum as f64 >= 5.0 * mean * share
        })?;
        u32::try_from(recovered_at)
            .ok()
            .map(|buckets| BUCKET_WIDTH * buckets)
    }
}

/// Histogram from 1 µs to 10 min with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constant"))
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1));
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
