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
use rookferry_core::ClaimKeyError;
use rookferry_core::MemberState;
use rookferry_core::RedeemOutcome;
use rookferry_core::Stage;
use rookferry_core::StreamDriver;
use rookferry_core::TicketError;
use rookferry_core::TicketIssuer;
use rookferry_net::clock;
use rookferry_wire::Claim;
use rookferry_wire::ClaimRefusal;
use rookferry_wire::ClaimResponse;
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
use super::forward::canonical_body;
use super::forward::forward;
use super::forward::forward_ticket;
use super::model;
use super::model::ModelRun;
use super::model::ModelWork;
use super::refusal::Refusal;
use super::respond;
use super::sse;
use crate::admission::Placement;
use crate::answers::KeyState;
use crate::answers::StoredAnswer;
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
pub(super) enum KeyDecision {
    /// Dispatch it; the key is marked as running.
    Dispatch(Box<Call>),
    /// Don't dispatch it; send this response.
    Respond(Response<Body>),
    /// Resume the stream of another instance's claim.
    Resume(Box<Call>, Claim),
}

/// State of a key's work on this instance, compared with the call's body.
enum LocalWork {
    Nothing,
    Running,
    OtherBody,
    Finished(StoredAnswer),
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
    let placement = match entry.admission.place(work.requirements.clone()).await {
        Ok(placement) => placement,
        Err(placement_error) => return model::refuse_unplaced(entry, call, &work, placement_error),
    };
    let stream = Some(call.uuid);
    let chain = placement
        .stages
        .iter()
        .map(|stage| stage.engine.clone())
        .collect();
    match resolve_key(entry, call, &keyed, stream, chain, is_stream).await {
        KeyDecision::Respond(response) => response,
        KeyDecision::Dispatch(call) => {
            let spec = work.spec(call.uuid, &placement);
            let store_as = Some((keyed.key.digest, keyed.body_digest));
            let run = ModelRun::new(*call, work, placement, StreamDriver::new(spec), store_as);
            run.respond(entry).await
        }
        KeyDecision::Resume(call, claim) => {
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
    match KeyedBody::parse(&call) {
        Ok(keyed) => {
            let call = respond_if_known(entry, call, &keyed, is_stream)?;
            let call = call
                .refuse_if_quarantined(entry)
                .map_err(|refusal| Box::new(respond::refused(entry, &refusal)))?;
            Ok((call, keyed))
        }
        Err(fault) => {
            let reason = match fault {
                ClaimKeyError::Expired { .. } => ReasonCode::KeyExpired,
                ClaimKeyError::Length { .. } | ClaimKeyError::InFuture { .. } => {
                    ReasonCode::BadRequest
                }
            };
            let refusal = call.refuse(entry, reason, fault.to_string());
            Err(Box::new(respond::refused(entry, &refusal)))
        }
    }
}

/// Decides what may be done with a call: claims its key, or redeems its ticket.
pub(super) async fn resolve_key(
    entry: &Arc<EntryState>,
    call: Call,
    keyed: &KeyedBody,
    stream: Option<StreamId>,
    chain: Vec<EngineId>,
    is_stream: bool,
) -> KeyDecision {
    let key = call.key.clone().unwrap_or_default();
    if TicketIssuer::is_ticket(&key) {
        return redeem_ticket(entry, call, &key, keyed, is_stream).await;
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
        ClaimResponse::Granted => begin(entry, call, keyed, is_stream),
        ClaimResponse::Taken(claim) => {
            drop(claiming);
            resolve_claimed(entry, call, keyed, claim, is_stream).await
        }
        ClaimResponse::Refused(refusal) => KeyDecision::Respond(refuse_claim(entry, call, refusal)),
    }
}

/// Marks the key as running, unless it already runs or has run on this instance.
fn begin(entry: &EntryState, call: Call, keyed: &KeyedBody, is_stream: bool) -> KeyDecision {
    if entry.answers.begin(&keyed.key.digest) {
        return KeyDecision::Dispatch(Box::new(call));
    }
    let known = respond_if_known(entry, call, keyed, is_stream);
    KeyDecision::Respond(respond_or_unknown(
        entry,
        known,
        "the key's work has ended on this instance",
    ))
}

async fn resolve_claimed(
    entry: &Arc<EntryState>,
    call: Call,
    keyed: &KeyedBody,
    claim: Claim,
    is_stream: bool,
) -> KeyDecision {
    if claim.body_digest != keyed.body_digest {
        let detail = "the key was used for another body";
        return KeyDecision::Respond(refuse(entry, call, ReasonCode::KeyReused, detail));
    }
    if claim.owner == entry.instance && claim.incarnation == entry.incarnation {
        return resolve_own(
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
            return KeyDecision::Respond(response);
        }
    }
    if claim.stream.is_none() {
        let detail =
            "the instance that ran the call is gone, and calls of services can't be resumed";
        return KeyDecision::Respond(unknown(entry, call, detail));
    }
    KeyDecision::Resume(Box::new(call), claim)
}

/// Resolves a key that this incarnation claimed or minted itself.
fn resolve_own(
    entry: &EntryState,
    call: Call,
    keyed: &KeyedBody,
    is_stream: bool,
    dropped: &str,
) -> KeyDecision {
    if entry.answers.state(&keyed.key.digest) == KeyState::NotRun {
        return begin(entry, call, keyed, is_stream);
    }
    let known = respond_if_known(entry, call, keyed, is_stream);
    KeyDecision::Respond(respond_or_unknown(entry, known, dropped))
}

async fn redeem_ticket(
    entry: &Arc<EntryState>,
    call: Call,
    ticket: &str,
    keyed: &KeyedBody,
    is_stream: bool,
) -> KeyDecision {
    let redeemed = {
        let mut tickets = entry.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.redeem(clock::now(), ticket, &keyed.body_digest)
    };
    let response = match redeemed {
        Ok(RedeemOutcome::Dispatch) => return begin(entry, call, keyed, is_stream),
        Ok(RedeemOutcome::AlreadyDispatched) => {
            return resolve_own(
                entry,
                call,
                keyed,
                is_stream,
                "the ticket's answer is no longer stored",
            );
        }
        Err(TicketError::OtherInstance { instance }) => {
            forward_ticket(entry, call, &instance, is_stream).await
        }
        Err(fault @ (TicketError::EarlierIncarnation | TicketError::Expired)) => {
            unknown(entry, call, &fault.to_string())
        }
        Err(fault @ TicketError::BodyMismatch) => {
            refuse(entry, call, ReasonCode::KeyReused, &fault.to_string())
        }
        Err(fault @ TicketError::Invalid) => {
            refuse(entry, call, ReasonCode::BadRequest, &fault.to_string())
        }
    };
    KeyDecision::Respond(response)
}

async fn resume(
    entry: &Arc<EntryState>,
    call: Call,
    work: ModelWork,
    mut placement: Placement,
    keyed: KeyedBody,
    claim: &Claim,
) -> Response<Body> {
    let stages = claimed_stages(entry, claim);
    let (Some(stages), Some(stream)) = (stages, claim.stream) else {
        return unknown(entry, call, "the engines that ran the call are gone");
    };
    if !entry.answers.begin(&keyed.key.digest) {
        let known = respond_if_known(entry, call, &keyed, work.request.stream);
        return respond_or_unknown(entry, known, "the key's work has ended on this instance");
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
    let store_as = Some((keyed.key.digest, keyed.body_digest));
    let run = ModelRun::new(call, work, placement, driver, store_as);
    run.respond(entry).await
}

/// The claim's chain, if its engines are known and their layers are still
/// contiguous from 0.
fn claimed_stages(entry: &EntryState, claim: &Claim) -> Option<Vec<Stage>> {
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
fn respond_if_known(
    entry: &EntryState,
    call: Call,
    keyed: &KeyedBody,
    is_stream: bool,
) -> Result<Call, Box<Response<Body>>> {
    match local_work(entry, keyed) {
        LocalWork::Nothing => Ok(call),
        LocalWork::Running => {
            let refusal = Refusal::running(
                &call.request,
                "the key's work is running on this instance; retry with the key",
            );
            log_refusal(entry, &refusal);
            Err(Box::new(respond::refused(entry, &refusal)))
        }
        LocalWork::OtherBody => {
            let detail = "the key was used for another body";
            Err(Box::new(refuse(entry, call, ReasonCode::KeyReused, detail)))
        }
        LocalWork::Finished(answer) => Err(Box::new(replay(entry, &answer, is_stream))),
    }
}

fn local_work(entry: &EntryState, keyed: &KeyedBody) -> LocalWork {
    match entry.answers.state(&keyed.key.digest) {
        KeyState::Absent | KeyState::NotRun => LocalWork::Nothing,
        KeyState::Running => LocalWork::Running,
        KeyState::Finished(answer) if answer.body_digest != keyed.body_digest => {
            LocalWork::OtherBody
        }
        KeyState::Finished(answer) => LocalWork::Finished(answer),
    }
}

fn respond_or_unknown(
    entry: &EntryState,
    known: Result<Call, Box<Response<Body>>>,
    detail: &str,
) -> Response<Body> {
    match known {
        Ok(call) => unknown(entry, call, detail),
        Err(response) => *response,
    }
}

pub(super) fn replay(entry: &EntryState, answer: &StoredAnswer, is_stream: bool) -> Response<Body> {
    if is_stream && let Ok(whole) = serde_json::from_slice::<CompletionResponse>(&answer.body) {
        let response = sse::replay(&whole.id, &whole.tokens);
        return respond::finished(entry, &whole.id, response);
    }
    respond::stored(entry, answer)
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
    pub(super) fn parse(call: &Call) -> Result<Self, ClaimKeyError> {
        let key = call.key.as_deref().unwrap_or_default();
        let window_ms = call.snapshot.table.config().policy.key_window_ms;
        let mut hash = Sha256::new();
        if let Some((service, path)) = &call.service {
            hash.update(format!("{}\0{service}\0{path}\0", call.method));
        }
        hash.update(canonical_body(call));
        Ok(Self {
            key: ClaimKey::parse(&call.account, key, now_ms(), window_ms)?,
            body_digest: hex::encode(hash.finalize()),
        })
    }
}
