//! Layers, KV and attempts of one engine's streams. No I/O, no clock.

use std::collections::HashMap;
use std::collections::HashSet;

use rookferry_core::GateVerdict;
use rookferry_core::StageGate;
use rookferry_wire::AttemptRequest;
use rookferry_wire::AttemptResponse;
use rookferry_wire::CancelRequest;
use rookferry_wire::KvPages;
use rookferry_wire::LayerRange;
use rookferry_wire::Position;
use rookferry_wire::Refusal;
use rookferry_wire::Step;
use rookferry_wire::StepResult;
use rookferry_wire::StreamId;

use super::Ledger;
use crate::layers::final_token;
use crate::layers::prompt_digest;
use crate::layers::run_layer;

/// KV and recorded outputs of one stream.
#[derive(Debug, Default)]
struct StreamState {
    gate: StageGate,
    /// By position, one value per layer.
    kv: Vec<Vec<u64>>,
}

/// The streams of an engine, its layer range and its ledger.
#[derive(Debug)]
pub(super) struct StageState {
    layers: LayerRange,
    is_last_stage: bool,
    streams: HashMap<StreamId, StreamState>,
    /// Cancelled streams; their later steps, attempts and imports are refused.
    cancelled_streams: HashSet<StreamId>,
    pub(super) ledger: Ledger,
}

impl StageState {
    pub(super) fn new(layers: LayerRange, model_layers: u16, ledger: Ledger) -> Self {
        Self {
            layers,
            is_last_stage: layers.end == model_layers,
            streams: HashMap::new(),
            cancelled_streams: HashSet::new(),
            ledger,
        }
    }

    /// Drops all state but the ledger, as a crash does.
    pub(super) fn clear_streams(&mut self) {
        self.ledger.record_state_loss(self.streams.keys().copied());
        self.streams.clear();
        self.cancelled_streams.clear();
    }

    pub(super) fn stream_count(&self) -> usize {
        self.streams.len()
    }

    pub(super) fn has_stream(&self, stream: StreamId) -> bool {
        self.streams.contains_key(&stream)
    }

    /// Number of positions that the step would run; 0 if its outputs are recorded already
    /// or it would be refused.
    pub(super) fn positions_to_run(&self, step: &Step) -> u32 {
        let end = step.position + Position::try_from(step.input.len()).unwrap_or(0);
        match self.verdict(step) {
            GateVerdict::Run { from } => end - from,
            GateVerdict::Recorded | GateVerdict::Refuse(_) => 0,
        }
    }

    /// Runs the positions of a step that haven't run yet, and returns the outputs of all.
    pub(super) fn run(&mut self, step: &Step) -> StepResult {
        match self.verdict(step) {
            GateVerdict::Refuse(refusal) => {
                self.ledger.record_refusal(step.stream);
                return StepResult::Refused { refusal };
            }
            GateVerdict::Recorded => {}
            GateVerdict::Run { from } => self.run_from(step, from),
        }
        let recorded = self.streams.get(&step.stream);
        let output = recorded.map_or(&[][..], |state| {
            state.gate.outputs(step.position, step.input.len())
        });
        StepResult::Done {
            output: output.to_vec(),
        }
    }

    /// Opens an attempt; drops the KV beyond the positions that it keeps.
    pub(super) fn open(&mut self, request: AttemptRequest) -> AttemptResponse {
        if self.cancelled_streams.contains(&request.stream) {
            return AttemptResponse::Refused { newest: 0 };
        }
        if request.must_exist && !self.streams.contains_key(&request.stream) {
            return AttemptResponse::Refused { newest: 0 };
        }
        let state = self.streams.entry(request.stream).or_default();
        let response = state.gate.open(request.attempt, request.keep);
        if let AttemptResponse::Opened { kept } = response {
            state.kv.truncate(kept as usize);
        }
        response
    }

    /// Cancels a stream, unless a newer attempt is open.
    pub(super) fn cancel(&mut self, request: CancelRequest) {
        let is_stale = self
            .streams
            .get(&request.stream)
            .is_some_and(|state| state.gate.attempt() > request.attempt);
        if is_stale {
            return;
        }
        self.streams.remove(&request.stream);
        self.cancelled_streams.insert(request.stream);
        self.ledger.record_cancellation(request.stream);
    }

    /// KV of a stream, for another engine with the same layers.
    pub(super) fn export(&self, stream: StreamId) -> Option<KvPages> {
        let state = self.streams.get(&stream)?;
        Some(KvPages {
            stream,
            attempt: state.gate.attempt(),
            layers: self.layers,
            positions: state.kv.clone(),
        })
    }

    /// Takes over a stream's KV; refused if the layers differ, the attempt is
    /// outdated or the stream is cancelled.
    pub(super) fn import(&mut self, pages: KvPages) -> AttemptResponse {
        let newest = self
            .streams
            .get(&pages.stream)
            .map_or(0, |state| state.gate.attempt());
        if pages.layers != self.layers
            || newest > pages.attempt
            || self.cancelled_streams.contains(&pages.stream)
        {
            return AttemptResponse::Refused { newest };
        }
        let outputs = pages.positions.iter().filter_map(|values| values.last());
        let outputs: Vec<u64> = outputs.map(|value| self.output(*value)).collect();
        let kept = Position::try_from(outputs.len()).unwrap_or(0);
        let state = StreamState {
            gate: StageGate::imported(pages.attempt, outputs),
            kv: pages.positions,
        };
        self.streams.insert(pages.stream, state);
        AttemptResponse::Opened { kept }
    }

    fn verdict(&self, step: &Step) -> GateVerdict {
        if self.cancelled_streams.contains(&step.stream) {
            return GateVerdict::Refuse(Refusal::Cancelled);
        }
        let new_gate = StageGate::new();
        let gate = self
            .streams
            .get(&step.stream)
            .map_or(&new_gate, |state| &state.gate);
        gate.check(step)
    }

    fn run_from(&mut self, step: &Step, from: Position) {
        let layers = self.layers;
        let is_last_stage = self.is_last_stage;
        let state = self.streams.entry(step.stream).or_default();
        if from == 0 && layers.start == 0 {
            self.ledger
                .record_prompt(step.stream, prompt_digest(&step.input));
        }
        let skip = (from - step.position) as usize;
        let no_kv = vec![0; usize::from(layers.len())];
        for (position, input) in (from..).zip(&step.input[skip..]) {
            let previous_values = state.kv.last().unwrap_or(&no_kv);
            let mut activation = *input;
            let mut values = Vec::with_capacity(previous_values.len());
            for (layer, previous) in (layers.start..layers.end).zip(previous_values) {
                activation = run_layer(*previous, activation, layer, position);
                values.push(activation);
            }
            state.kv.push(values);
            let output = if is_last_stage {
                final_token(activation)
            } else {
                activation
            };
            state.gate.record(&[output]);
            self.ledger.record_run(step.stream, position);
        }
    }

    const fn output(&self, value: u64) -> u64 {
        if self.is_last_stage {
            final_token(value)
        } else {
            value
        }
    }
}
