//! Record of what an engine ran, for checks that must not depend on the router's reports.

use std::collections::BTreeMap;

use rookferry_wire::EngineId;
use rookferry_wire::LayerRange;
use rookferry_wire::Position;
use rookferry_wire::StreamId;
use serde::Deserialize;
use serde::Serialize;

/// What one engine ran of one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRuns {
    /// How often each position was run, by position.
    pub runs: Vec<u32>,
    /// Number of refused steps.
    pub refused: u32,
    /// Whether the stream was cancelled.
    pub cancelled: bool,
    /// Whether the engine crashed or was killed while it held the stream.
    pub has_died: bool,
    /// Digest of the prompt (`prompt_digest`), on engines that run the first layer.
    pub prompt: Option<u64>,
}

/// Ledger of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    /// Engine name.
    pub engine: EngineId,
    /// Layers that the engine runs.
    pub layers: LayerRange,
    /// Runs by stream; retained after the stream and across restarts of the engine.
    pub streams: BTreeMap<StreamId, StreamRuns>,
    /// Fences of the accepted orders, in order of acceptance.
    pub fences: Vec<u64>,
    /// Number of crashes while starting work (`Fault::ends_under`).
    pub ends: u32,
}

impl Ledger {
    pub(super) const fn new(engine: EngineId, layers: LayerRange) -> Self {
        Self {
            engine,
            layers,
            streams: BTreeMap::new(),
            fences: Vec::new(),
            ends: 0,
        }
    }

    pub(super) fn record_run(&mut self, stream: StreamId, position: Position) {
        let runs = &mut self.streams.entry(stream).or_default().runs;
        let index = position as usize;
        if runs.len() <= index {
            runs.resize(index + 1, 0);
        }
        runs[index] += 1;
    }

    pub(super) fn record_prompt(&mut self, stream: StreamId, prompt: u64) {
        self.streams.entry(stream).or_default().prompt = Some(prompt);
    }

    pub(super) fn record_state_loss(&mut self, streams: impl Iterator<Item = StreamId>) {
        for stream in streams {
            self.streams.entry(stream).or_default().has_died = true;
        }
    }

    pub(super) fn record_refusal(&mut self, stream: StreamId) {
        self.streams.entry(stream).or_default().refused += 1;
    }

    pub(super) fn record_cancellation(&mut self, stream: StreamId) {
        self.streams.entry(stream).or_default().cancelled = true;
    }
}
