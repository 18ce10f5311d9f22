//! Calls with an idempotency key, which run at most once: claims, tickets, and
//! retries.
//!
//! Only the instance that owns the claim or ticket of a key dispatches its call.
//! Any other instance forwards the call to the owner. If the owner's process is
//! gone, it resumes the stream that the engines still hold, and never starts the
//! work itself. A retry is answered from the stored response where there is one.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::Response;
use rand::RngExt;
use rookferry_core::ClaimKey;
use rookferry_core::KeyFault;
use rookferry_core::MemberState;
use rookferry_core::Stage;
use rookferry_core::StreamDriver;
use rookferry_core::TicketBook;
use rookferry_core::TicketFault;
use rookferry_core::TicketState;
use rookferry_net::clock;
use rookferry_wire::Claim;
use rookferry_wire::ClaimRefusal;
use rookferry_wire::ClaimReply;
use rookferry_wire::CompletionResponse;
use rookferry_wire::EngineId;
use rookferry_wire::InstanceId;
use rookferry_wire::ReasonCode;
use rookferry_wire::StreamId;
use sha2::Digest;
use sha2::Sha256;
use slog::info;

use super::call::Call;
use super::call::log_refusal;
use super::forward::forward;
use super::forward::forward_ticket;
use super::forward::whole_body;
use super::model;
use super::model::ModelRun;
use super::model::ModelWork;
use super::refusal::Refusal;
use super::respond;
use super::sse;
use crate::admission::Placement;
use crate::answers::KeptAnswer;
use crate::answers::KeyState;
use crate::claims;
use crate::entry::EntryState;
use crate::entry::now_ms;

/// Suggested retry time for a caller whose key couldn't be claimed.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// A parsed key with its claim object, and the digest of the call's body.
#[derive(Clone, Debug)]
pub(super) struct KeyedBody {
    pub(super) key: ClaimKey,
    pub(super) body_digest: String,
}

/// What may be done with a call, as decided by its key.
pub(super) enum KeyVerdict {
    /// Dispatch it; the key is marked as running.
    Dispatch(Box<Call>),
    /// Don't dispatch it; send this response.
    Respond(Response<Body>),
    /// Resume the stream of another instance's claim.
    Resume(Box<Call>, Claim),
}

/// State of a key's work on this instance, compared with the call's body.
enum KnownWork {
    Nothing,
    Running,
    OtherBody,
    Finished(KeptAnswer),
}

/// Serves a model call that has a key.
pub(super) async fn serve_model(
    entry: &Arc<EntryState>,
    call: Call,
    work: ModelWork,
) -> Response<Body> {
    let is_stream = work.request.stream;
    let (call, keyed) = match check_key(entry, call, is_stream) {
        Ok(checked) => checked,
        Err(response) => return *response,
    };
    let placement = match entry.admission.place(work.need.clone()).await {
        Ok(placement) => placement,
        Err(no_place) => return model::refuse_place(entry, call, &work, no_place),
    };
    let stream = Some(call.number);
    let chain = placement
        .stages
        .iter()
        .map(|stage| stage.engine.clone())
        .collect();
    match settle_key(entry, call, &keyed, stream, chain, is_stream).await {
        KeyVerdict::Respond(response) => response,
        KeyVerdict::Dispatch(call) => {
            let spec = work.spec(call.number, &placement);
            let keep = Some((keyed.key.digest, keyed.body_digest));
            let run = ModelRun::new(*call, work, placement, StreamDriver::new(spec), keep);
            run.respond(entry).await
        }
        KeyVerdict::Resume(call, claim) => {
            resume(entry, *call, work, placement, keyed, &claim).await
        }
    }
}

/// Parses a call's key. A retry of a call that this instance has served is
/// answered here, without placing a stream or calling the platform.
pub(super) fn check_key(
    entry: &EntryState,
    call: Call,
    is_stream: bool,
) -> Result<(Call, KeyedBody), Box<Response<Body>>> {
    match KeyedBody::read(&call) {
        Ok(keyed) => {
            let call = respond_known(entry, call, &keyed, is_stream)?;
            let call = call
                .refuse_if_held(entry)
                .map_err(|refusal| Box::new(respond::refused(entry, &refusal)))?;
            Ok((call, keyed))
        }
        Err(fault) => {
            let reason = match fault {
                KeyFault::Expired { .. } => ReasonCode::KeyExpired,
                KeyFault::Length { .. } | KeyFault::Ahead { .. } => ReasonCode::BadRequest,
            };
            let refusal = call.refuse(entry, reason, fault.to_string());
            Err(Box::new(respond::refused(entry, &refusal)))
        }
    }
}

/// Decides what may be done with a call: claims its key, or redeems its ticket.
pub(super) async fn settle_key(
    entry: &Arc<EntryState>,
    call: Call,
    keyed: &KeyedBody,
    stream: Option<StreamId>,
    chain: Vec<EngineId>,
    is_stream: bool,
) -> KeyVerdict {
    let key = call.key.clone().unwrap_or_default();
    if TicketBook::is_ticket(&key) {
        return settle_ticket(entry, call, &key, keyed, is_stream).await;
    }
    let claim = Claim {
        owner: entry.instance.clone(),
        incarnation: entry.incarnation,
        nonce: rand::rng().random(),
        body_digest: keyed.body_digest.clone(),
        stream,
        chain,
        at_ms: now_ms(),
    };
    let window_ms = call.snapshot.table.config().policy.key_window_ms;
    let claiming = entry.answers.claiming(&keyed.key.digest);
    let answer = claims::claim(entry, &keyed.key, claim, window_ms).await;
    match answer {
        // Marked as running before `claiming` is dropped, so that the key is never
        // seen as absent.
        ClaimReply::Granted => begin(entry, call, keyed, is_stream),
        ClaimReply::Taken(claim) => {
            drop(claiming);
            settle_taken(entry, call, keyed, claim, is_stream).await
        }
        ClaimReply::Refused(refusal) => KeyVerdict::Respond(refuse_claim(entry, call, refusal)),
    }
}

/// Marks the key as running, unless it already runs or has run on this instance.
fn begin(entry: &EntryState, call: Call, keyed: &KeyedBody, is_stream: bool) -> KeyVerdict {
    if entry.answers.begin(&keyed.key.digest) {
        return KeyVerdict::Dispatch(Box::new(call));
    }
    let known = respond_known(entry, call, keyed, is_stream);
    KeyVerdict::Respond(known_or_unknown(
        entry,
        known,
        "the key's work has ended on this instance",
    ))
}

async fn settle_taken(
    entry: &Arc<EntryState>,
    call: Call,
    keyed: &KeyedBody,
    claim: Claim,
    is_stream: bool,
) -> KeyVerdict {
    if claim.body_digest != keyed.body_digest {
        let detail = "the key was used for another body";
        return KeyVerdict::Respond(refuse(entry, call, ReasonCode::KeyReused, detail));
    }
    if claim.owner == entry.instance && claim.incarnation == entry.incarnation {
        return settle_own(
            entry,
            call,
            keyed,
            is_stream,
            "the key's answer is no longer stored",
        );
    }
    if let Some(addr) = owner_addr(entry, &claim.owner, claim.incarnation)
        && !call.is_forwarded
    {
        // Fails only if the owner's process is gone.
        if let Ok(response) = forward(entry, &call, addr, is_stream).await {
            return KeyVerdict::Respond(response);
        }
    }
    if claim.stream.is_none() {
        let detail =
            "the instance that ran the call is gone, and calls of services can't be resumed";
        return KeyVerdict::Respond(unknown(entry, call, detail));
    }
    KeyVerdict::Resume(Box::new(call), claim)
}

/// Resolves a key that this incarnation claimed or minted itself.
fn settle_own(
    entry: &EntryState,
    call: Call,
    keyed: &KeyedBody,
    is_stream: bool,
    dropped: &str,
) -> KeyVerdict {
    if entry.answers.state(&keyed.key.digest) == KeyState::NotRun {
        return begin(entry, call, keyed, is_stream);
    }
    let known = respond_known(entry, call, keyed, is_stream);
    KeyVerdict::Respond(known_or_unknown(entry, known, dropped))
}

async fn settle_ticket(
    entry: &Arc<EntryState>,
    call: Call,
    ticket: &str,
    keyed: &KeyedBody,
    is_stream: bool,
) -> KeyVerdict {
    let redeemed = {
        let mut tickets = entry.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.redeem(clock::now(), ticket, &keyed.body_digest)
    };
    let response = match redeemed {
        Ok(TicketState::Dispatch) => return begin(entry, call, keyed, is_stream),
        Ok(TicketState::Dispatched) => {
            return settle_own(
                entry,
                call,
                keyed,
                is_stream,
                "the ticket's answer is no longer stored",
            );
        }
        Err(TicketFault::Elsewhere { instance }) => {
            forward_ticket(entry, call, &instance, is_stream).await
        }
        Err(fault @ (TicketFault::EarlierRun | TicketFault::Expired)) => {
            unknown(entry, call, &fault.to_string())
        }
        Err(fault @ TicketFault::OtherBody) => {
            refuse(entry, call, ReasonCode::KeyReused, &fault.to_string())
        }
        Err(fault @ TicketFault::Foreign) => {
            refuse(entry, call, ReasonCode::BadRequest, &fault.to_string())
        }
    };
    KeyVerdict::Respond(response)
}

async fn resume(
    entry: &Arc<EntryState>,
    call: Call,
    work: ModelWork,
    mut placement: Placement,
    keyed: KeyedBody,
    claim: &Claim,
) -> Response<Body> {
    let stages = stages_of(entry, claim);
    let (Some(stages), Some(stream)) = (stages, claim.stream) else {
        return unknown(entry, call, "the engines that ran the call are gone");
    };
    if !entry.answers.begin(&keyed.key.digest) {
        let known = respond_known(entry, call, &keyed, work.request.stream);
        return known_or_unknown(entry, known, "the key's work has ended on this instance");
    }
    info!(entry.log, "request: resuming another instance's stream";
        "part" => "request", "request_id" => %call.request.request_id(), "owner" => %claim.owner, "stream" => %stream);
    let former: Vec<EngineId> = placement
        .stages
        .iter()
        .map(|stage| stage.engine.clone())
        .collect();
    for engine in former {
        placement.slots.remove(&engine);
    }
    placement.slots.add(&call.snapshot.fleet, &stages);
    let driver = StreamDriver::resume(work.spec_on(stream, stages), 1);
    let keep = Some((keyed.key.digest, keyed.body_digest));
    let run = ModelRun::new(call, work, placement, driver, keep);
    run.respond(entry).await
}

/// The claim's chain, if its engines are known and their layers are still
/// contiguous from 0.
fn stages_of(entry: &EntryState, claim: &Claim) -> Option<Vec<Stage>> {
    let snapshot = entry.snapshot.load();
    let mut stages: Vec<Stage> = Vec::new();
    for name in &claim.chain {
        let engine = snapshot.fleet.engine(name)?;
        let expected = stages.last().map_or(0, |stage| stage.layers.end);
        if engine.info.layers.start != expected {
            return None;
        }
        stages.push(Stage {
            engine: name.clone(),
            layers: engine.info.layers,
        });
    }
    (!stages.is_empty()).then_some(stages)
}

/// Peer address of a claim's owner, if that incarnation of it is not suspected.
fn owner_addr(
    entry: &EntryState,
    owner: &InstanceId,
    incarnation: u64,
) -> Option<std::net::SocketAddr> {
    let members = entry.peers.lock();
    let member = members.get(owner)?;
    let is_owner =
        member.heartbeat.incarnation == incarnation && member.state != MemberState::Suspect;
    is_owner.then_some(member.heartbeat.peer_addr)
}

/// Responds from this instance's state of a key; returns the call if there is
/// none.
fn respond_known(
    entry: &EntryState,
    call: Call,
    keyed: &KeyedBody,
    is_stream: bool,
) -> Result<Call, Box<Response<Body>>> {
    match known_work(entry, keyed) {
        KnownWork::Nothing => Ok(call),
        KnownWork::Running => {
            let refusal = Refusal::running(
                &call.request,
                "the key's work is running on this instance; retry with the key",
            );
            log_refusal(entry, &refusal);
            Err(Box::new(respond::refused(entry, &refusal)))
        }
        KnownWork::OtherBody => {
            let detail = "the key was used for another body";
            Err(Box::new(refuse(entry, call, ReasonCode::KeyReused, detail)))
        }
        KnownWork::Finished(answer) => Err(Box::new(replay(entry, &answer, is_stream))),
    }
}

fn known_work(entry: &EntryState, keyed: &KeyedBody) -> KnownWork {
    match entry.answers.state(&keyed.key.digest) {
        KeyState::Absent | KeyState::NotRun => KnownWork::Nothing,
        KeyState::Running => KnownWork::Running,
        KeyState::Finished(answer) if answer.body_digest != keyed.body_digest => {
            KnownWork::OtherBody
        }
        KeyState::Finished(answer) => KnownWork::Finished(answer),
    }
}

fn known_or_unknown(
    entry: &EntryState,
    known: Result<Call, Box<Response<Body>>>,
    detail: &str,
) -> Response<Body> {
    match known {
        Ok(call) => unknown(entry, call, detail),
        Err(response) => *response,
    }
}

pub(super) fn replay(entry: &EntryState, answer: &KeptAnswer, is_stream: bool) -> Response<Body> {
    if is_stream && let Ok(whole) = serde_json::from_slice::<CompletionResponse>(&answer.body) {
        let response = sse::replay(&whole.id, &whole.tokens);
        return respond::finished(entry, &whole.id, response);
    }
    respond::kept(entry, answer)
}

fn refuse_claim(entry: &EntryState, call: Call, refusal: ClaimRefusal) -> Response<Body> {
    let (reason, detail) = match refusal {
        ClaimRefusal::Unavailable => (
            ReasonCode::ClaimUnavailable,
            "the platform can't be reached to claim the key; retry with the key later, or with this ticket as the key now, and from then on with the ticket only",
        ),
        ClaimRefusal::Full => (
            ReasonCode::Overloaded,
            "too many opaque keys within the window; use UUIDv7 keys",
        ),
        ClaimRefusal::Contended => (ReasonCode::Overloaded, "too many claims at once"),
    };
    let ticket = if refusal == ClaimRefusal::Unavailable {
        let mut tickets = entry.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.mint(clock::now())
    } else {
        None
    };
    let refusal = call.refuse(entry, reason, detail);
    let refusal = refusal.retry_after(CLAIM_RETRY).ticket(ticket);
    respond::refused(entry, &refusal)
}

fn refuse(entry: &EntryState, call: Call, reason: ReasonCode, detail: &str) -> Response<Body> {
    let refusal = call.refuse(entry, reason, detail);
    respond::refused(entry, &refusal)
}

/// Responds that the outcome of the key's earlier work is unknown.
pub(super) fn unknown(entry: &EntryState, call: Call, detail: &str) -> Response<Body> {
    let refusal = call.unknown(entry, ReasonCode::OwnerGone, detail);
    respond::refused(entry, &refusal)
}

impl KeyedBody {
    /// Parses the key of a call and computes the digest of its body.
    ///
    /// For calls of services the digest covers the method, service and path too.
    pub(super) fn read(call: &Call) -> Result<Self, KeyFault> {
        let key = call.key.as_deref().unwrap_or_default();
        let window_ms = call.snapshot.table.config().policy.key_window_ms;
        let mut hash = Sha256::new();
        if let Some((service, path)) = &call.service {
            hash.update(format!("{}\0{service}\0{path}\0", call.method));
        }
        hash.update(whole_body(call));
        Ok(Self {
            key: ClaimKey::parse(&call.account, key, now_ms(), window_ms)?,
            body_digest: hex::encode(hash.finalize()),
        })
    }
}
