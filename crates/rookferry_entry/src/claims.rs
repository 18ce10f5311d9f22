//! Claims on the platform: a task for each shard object runs its writer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rookferry_core::AskId;
use rookferry_core::Claim;
use rookferry_core::ClaimAction;
use rookferry_core::ClaimEvent;
use rookferry_core::ClaimKey;
use rookferry_core::ClaimRefusal;
use rookferry_core::ClaimWriter;
use rookferry_net::Platform;
use rookferry_net::PlatformError;
use rookferry_wire::CLAIMS_KIND;
use rookferry_wire::PutAnswer;
use rookferry_wire::PutRequest;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::entry::now_ms;

/// Asks that may wait for one object's task.
const QUEUED_ASKS: usize = 1_024;
/// Idle time after which an object's task ends.
const IDLE: Duration = Duration::from_mins(1);

/// The answer to an ask.
#[derive(Debug)]
pub(crate) enum ClaimAnswer {
    /// Dispatch it.
    Granted,
    /// Another claim holds the key.
    Taken(Claim),
    /// Not claimed.
    Refused(ClaimRefusal),
}

struct AskMessage {
    digest: String,
    claim: Claim,
    answer: oneshot::Sender<ClaimAnswer>,
}

/// The claims of one instance.
pub(crate) struct Claims {
    platform: Arc<dyn Platform>,
    log: Logger,
    writers: Mutex<HashMap<String, mpsc::Sender<AskMessage>>>,
}

impl Claims {
    pub(crate) fn new(platform: Arc<dyn Platform>, log: Logger) -> Self {
        Self {
            platform,
            log,
            writers: Mutex::default(),
        }
    }

    /// Claims a key. A claim that was granted is this caller's alone.
    pub(crate) async fn claim(&self, key: &ClaimKey, claim: Claim, window_ms: u64) -> ClaimAnswer {
        let (answer, granted) = oneshot::channel();
        let message = AskMessage {
            digest: key.digest.clone(),
            claim,
            answer,
        };
        let writer = self.writer(&key.object, window_ms);
        if writer.try_send(message).is_err() {
            return ClaimAnswer::Refused(ClaimRefusal::Contended);
        }
        let refused = ClaimAnswer::Refused(ClaimRefusal::Unavailable);
        granted.await.unwrap_or(refused)
    }

    fn writer(&self, object: &str, window_ms: u64) -> mpsc::Sender<AskMessage> {
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        writers.retain(|_, writer| !writer.is_closed());
        if let Some(writer) = writers.get(object) {
            return writer.clone();
        }
        let (sender, asks) = mpsc::channel(QUEUED_ASKS);
        writers.insert(object.to_owned(), sender.clone());
        let task = WriterTask {
            platform: self.platform.clone(),
            log: self.log.clone(),
            object: object.to_owned(),
            writer: ClaimWriter::new(window_ms),
            waiting: HashMap::new(),
            next_ask: 0,
        };
        tokio::spawn(task.run(asks));
        sender
    }
}

struct WriterTask {
    platform: Arc<dyn Platform>,
    log: Logger,
    object: String,
    writer: ClaimWriter,
    waiting: HashMap<AskId, oneshot::Sender<ClaimAnswer>>,
    next_ask: AskId,
}

impl WriterTask {
    async fn run(mut self, mut asks: mpsc::Receiver<AskMessage>) {
        loop {
            let Ok(first) = tokio::time::timeout(IDLE, asks.recv()).await else {
                asks.close();
                // What came in before the close is still served.
                while let Ok(ask) = asks.try_recv() {
                    self.serve(ask, &mut asks).await;
                }
                return;
            };
            let Some(first) = first else {
                return;
            };
            self.serve(first, &mut asks).await;
        }
    }

    /// Serves an ask and all that come while the platform is waited for.
    async fn serve(&mut self, first: AskMessage, asks: &mut mpsc::Receiver<AskMessage>) {
        let mut actions = self.take(first);
        loop {
            while let Ok(ask) = asks.try_recv() {
                actions.extend(self.take(ask));
            }
            let mut call = None;
            for action in actions.drain(..) {
                match action {
                    ClaimAction::Put { .. } | ClaimAction::Get => call = Some(action),
                    ClaimAction::Granted { ask } => self.answer(ask, ClaimAnswer::Granted),
                    ClaimAction::Taken { ask, claim } => {
                        self.answer(ask, ClaimAnswer::Taken(claim));
                    }
                    ClaimAction::Refused { ask, refusal } => {
                        self.answer(ask, ClaimAnswer::Refused(refusal));
                    }
                }
            }
            let Some(call) = call else {
                return;
            };
            let event = self.call(call).await;
            actions = self.writer.on_event(now_ms(), event);
        }
    }

    fn take(&mut self, ask: AskMessage) -> Vec<ClaimAction> {
        let id = self.next_ask;
        self.next_ask += 1;
        self.waiting.insert(id, ask.answer);
        let event = ClaimEvent::Ask {
            ask: id,
            digest: ask.digest,
            claim: ask.claim,
        };
        self.writer.on_event(now_ms(), event)
    }

    async fn call(&self, action: ClaimAction) -> ClaimEvent {
        let ClaimAction::Put { expected, value } = action else {
            return match self.platform.get(CLAIMS_KIND, &self.object).await {
                Ok(current) => ClaimEvent::Read { current },
                Err(error) => {
                    warn!(self.log, "claims: read failed";
                        "part" => "claims", "object" => &self.object, "error" => %error);
                    ClaimEvent::ReadFailed
                }
            };
        };
        let request = PutRequest { expected, value };
        match self.platform.put(CLAIMS_KIND, &self.object, request).await {
            Ok(PutAnswer::Written { version }) => ClaimEvent::Written { version },
            Ok(PutAnswer::Conflict { current }) => ClaimEvent::Conflict { current },
            Err(PlatformError::Lost { message }) => {
                warn!(self.log, "claims: answer lost, reading back";
                    "part" => "claims", "object" => &self.object, "error" => message);
                ClaimEvent::WriteLost
            }
            Err(PlatformError::Rejected { message }) => {
                warn!(self.log, "claims: write turned away";
                    "part" => "claims", "object" => &self.object, "error" => message);
                ClaimEvent::WriteRejected
            }
        }
    }

    fn answer(&mut self, ask: AskId, answer: ClaimAnswer) {
        if let Some(waiting) = self.waiting.remove(&ask) {
            // One that no longer waits never dispatches.
            let _ = waiting.send(answer);
        }
    }
}
