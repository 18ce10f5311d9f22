//! Claims of idempotency keys, stored in shard objects on the platform.
//!
//! A claim grants one caller the right to dispatch the call of a key. For each
//! shard object a task runs its [`ClaimWriter`]: it collects claims from this
//! instance and from peers, and writes them together, at most once per
//! [`WRITE_INTERVAL`]. Tasks start with the first claim and stop after [`IDLE_TIMEOUT`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rookferry_core::ClaimAction;
use rookferry_core::ClaimEvent;
use rookferry_core::ClaimKey;
use rookferry_core::ClaimRequestId;
use rookferry_core::ClaimWriter;
use rookferry_core::rendezvous_owner;
use rookferry_net::Platform;
use rookferry_net::PlatformError;
use rookferry_wire::CLAIMS_KIND;
use rookferry_wire::Claim;
use rookferry_wire::ClaimRefusal;
use rookferry_wire::ClaimResponse;
use rookferry_wire::PeerRequest;
use rookferry_wire::PeerResponse;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::config_sync::jittered;
use crate::entry::EntryState;
use crate::entry::now_ms;
use crate::peers;

/// Capacity of the command queue of one object's task.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Least time between two writes of one object. It keeps the writes of all
/// objects within the platform's rate, and lets claims share a write.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// How often expired objects are deleted.
const DELETE_INTERVAL: Duration = Duration::from_mins(10);
/// Idle time after which an object's task stops.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A command for an object's task.
enum WriterMessage {
    Request {
        digest: String,
        claim: Claim,
        is_forwarded: bool,
        answer: oneshot::Sender<ClaimResponse>,
    },
    Withdraw {
        nonce: u64,
    },
}

/// The claim writer tasks of one instance, by object.
pub(crate) struct Claims {
    platform: Arc<dyn Platform>,
    log: Logger,
    writers: Mutex<HashMap<String, mpsc::Sender<WriterMessage>>>,
}

/// Claims a key. At most one caller is granted each key.
///
/// One instance writes each object on behalf of all, so that claims of many
/// instances share a write and rarely conflict. If that instance doesn't respond,
/// this one writes the object itself with the same nonce: if the other had written
/// the claim after all, it is recognized by its nonce and granted.
pub(crate) async fn claim(
    entry: &EntryState,
    key: &ClaimKey,
    claim: Claim,
    window_ms: u64,
) -> ClaimResponse {
    let Some(addr) = writer_addr(entry, &key.object) else {
        return entry
            .claims
            .claim_locally(key, claim, window_ms, false)
            .await;
    };
    let request = PeerRequest::Claim {
        object: key.object.clone(),
        digest: key.digest.clone(),
        claim: claim.clone(),
        window_ms,
    };
    match peers::send_request(entry, addr, &request).await {
        Ok(PeerResponse::Claim(ClaimResponse::Refused(refusal))) => {
            entry.claims.withdraw(&key.object, claim.nonce, window_ms);
            ClaimResponse::Refused(refusal)
        }
        Ok(PeerResponse::Claim(reply)) => reply,
        Ok(_) | Err(_) => {
            entry
                .claims
                .claim_locally(key, claim, window_ms, false)
                .await
        }
    }
}

/// Deletes objects whose keys have all expired; each object's writer instance does
/// so.
pub(crate) async fn delete_expired(entry: Arc<EntryState>) {
    loop {
        tokio::time::sleep(jittered(DELETE_INTERVAL)).await;
        let window_ms = entry.snapshot.load().table.config().policy.key_window_ms;
        for object in ClaimKey::expired_objects(now_ms(), window_ms) {
            if writer_addr(&entry, &object).is_none() {
                delete(&entry, &object).await;
            }
        }
    }
}

/// Deletes an object; a failure is logged and tried again in the next round.
async fn delete(entry: &EntryState, object: &str) {
    let Ok(Some(found)) = entry.platform.get(CLAIMS_KIND, object).await else {
        return;
    };
    let request = PutRequest {
        expected: found.version,
        value: serde_json::Value::Null,
    };
    if let Err(error) = entry.platform.put(CLAIMS_KIND, object, request).await {
        info!(entry.log, "claims: expired object not deleted";
            "part" => "claims", "object" => object, "error" => %error);
    }
}

/// Address of the instance that writes an object; `None` if it is this one.
fn writer_addr(entry: &EntryState, object: &str) -> Option<SocketAddr> {
    let members = entry.peers.lock();
    let live = members.live();
    let writer_instance = rendezvous_owner(object, &live)?;
    members
        .get(writer_instance)
        .map(|member| member.heartbeat.peer_addr)
}

impl Claims {
    pub(crate) fn new(platform: Arc<dyn Platform>, log: Logger) -> Self {
        Self {
            platform,
            log,
            writers: Mutex::default(),
        }
    }

    /// Writes a claim from this instance, for its own caller or for a peer's.
    ///
    /// Refused as contended when the task's queue is full.
    pub(crate) async fn claim_locally(
        &self,
        key: &ClaimKey,
        claim: Claim,
        window_ms: u64,
        is_forwarded: bool,
    ) -> ClaimResponse {
        let (answer, reply) = oneshot::channel();
        let message = WriterMessage::Request {
            digest: key.digest.clone(),
            claim,
            is_forwarded,
            answer,
        };
        let writer = self.writer(&key.object, window_ms);
        if writer.try_send(message).is_err() {
            return ClaimResponse::Refused(ClaimRefusal::Contended);
        }
        let refused = ClaimResponse::Refused(ClaimRefusal::Unavailable);
        reply.await.unwrap_or(refused)
    }

    /// Withdraws a claim that was never dispatched.
    fn withdraw(&self, object: &str, nonce: u64, window_ms: u64) {
        // If this fails the claim stays, and its key is reported as unknown.
        let _ = self
            .writer(object, window_ms)
            .try_send(WriterMessage::Withdraw { nonce });
    }

    fn writer(&self, object: &str, window_ms: u64) -> mpsc::Sender<WriterMessage> {
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        writers.retain(|_, writer| !writer.is_closed());
        if let Some(writer) = writers.get(object) {
            return writer.clone();
        }
        let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        writers.insert(object.to_owned(), sender.clone());
        let task = WriterTask {
            platform: self.platform.clone(),
            log: self.log.clone(),
            object: object.to_owned(),
            writer: ClaimWriter::new(window_ms),
            waiting: HashMap::new(),
            next_id: 0,
            next_write: Instant::now(),
        };
        tokio::spawn(task.run(messages));
        sender
    }
}

struct WriterTask {
    platform: Arc<dyn Platform>,
    log: Logger,
    object: String,
    writer: ClaimWriter,
    waiting: HashMap<ClaimRequestId, oneshot::Sender<ClaimResponse>>,
    next_id: ClaimRequestId,
    next_write: Instant,
}

impl WriterTask {
    async fn run(mut self, mut messages: mpsc::Receiver<WriterMessage>) {
        loop {
            let Ok(first) = tokio::time::timeout(IDLE_TIMEOUT, messages.recv()).await else {
                messages.close();
                // Commands that arrived before the close are still served.
                while let Ok(message) = messages.try_recv() {
                    self.serve(message, &mut messages).await;
                }
                return;
            };
            let Some(first) = first else {
                return;
            };
            self.serve(first, &mut messages).await;
        }
    }

    /// Serves a command and all that have arrived since, with a single write
    /// unless it conflicts or fails.
    async fn serve(&mut self, first: WriterMessage, messages: &mut mpsc::Receiver<WriterMessage>) {
        tokio::time::sleep_until(self.next_write).await;
        self.on_message(first);
        while let Ok(message) = messages.try_recv() {
            self.on_message(message);
        }
        let mut actions = self.writer.on_event(now_ms(), ClaimEvent::Flush);
        loop {
            let mut call = None;
            for action in actions.drain(..) {
                match action {
                    ClaimAction::Put { .. } | ClaimAction::Get => call = Some(action),
                    ClaimAction::Granted { id } => self.answer(id, ClaimResponse::Granted),
                    ClaimAction::Taken { id, claim } => {
                        self.answer(id, ClaimResponse::Taken(claim));
                    }
                    ClaimAction::Refused { id, refusal } => {
                        self.answer(id, ClaimResponse::Refused(refusal));
                    }
                }
            }
            let Some(call) = call else {
                return;
            };
            if matches!(call, ClaimAction::Put { .. }) {
                self.next_write = Instant::now() + WRITE_INTERVAL;
            }
            let event = self.call(call).await;
            actions = self.writer.on_event(now_ms(), event);
        }
    }

    fn on_message(&mut self, message: WriterMessage) {
        let event = match message {
            WriterMessage::Withdraw { nonce } => ClaimEvent::Withdraw { nonce },
            WriterMessage::Request {
                digest,
                claim,
                is_forwarded,
                answer,
            } => {
                let id = self.next_id;
                self.next_id += 1;
                self.waiting.insert(id, answer);
                ClaimEvent::Request {
                    id,
                    digest,
                    claim,
                    is_forwarded,
                }
            }
        };
        // This only queues the claim; the flush that follows writes it.
        let _ = self.writer.on_event(now_ms(), event);
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
            Ok(PutResponse::Written { version }) => ClaimEvent::Written { version },
            Ok(PutResponse::Conflict { current }) => ClaimEvent::Conflict { current },
            Err(PlatformError::Lost { message }) => {
                warn!(self.log, "claims: response to a write lost; reading the object back";
                    "part" => "claims", "object" => &self.object, "error" => message);
                ClaimEvent::WriteLost
            }
            Err(PlatformError::Rejected { message }) => {
                warn!(self.log, "claims: write rejected";
                    "part" => "claims", "object" => &self.object, "error" => message);
                ClaimEvent::WriteRejected
            }
        }
    }

    fn answer(&mut self, id: ClaimRequestId, answer: ClaimResponse) {
        if let Some(waiting) = self.waiting.remove(&id) {
            // A caller that no longer waits never dispatches its call.
            let _ = waiting.send(answer);
        }
    }
}
