//! Handling common to all calls: authentication, limits, body, labels, and the
//! record that is written when a call ends.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use metrics::counter;
use rookferry_core::DecisionRecord;
use rookferry_core::DecisionResult;
use rookferry_core::RequestSignature;
use rookferry_core::Undispatched;
use rookferry_net::BodyError;
use rookferry_net::InboundRequest;
use rookferry_net::clock;
use rookferry_wire::AccountId;
use rookferry_wire::KeyedCall;
use rookferry_wire::Labels;
use rookferry_wire::ReasonCode;
use slog::info;
use uuid::Uuid;

use super::refusal::Refusal;
use crate::counters::ServeOutcome;
use crate::entry::EntryState;
use crate::entry::now_ms;
use crate::snapshot::AccountPermit;
use crate::snapshot::Snapshot;

/// Most labels in a request's `rookferry-labels` header.
const MAX_LABELS: usize = 16;
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const REPEATABLE: &str = "rookferry-repeatable";
/// Path of model calls.
const COMPLETIONS: &str = "/v1/completions";
const LABELS: &str = "rookferry-labels";

/// An authenticated call with its body read, not yet dispatched.
pub(super) struct Call {
    pub(super) request: Undispatched,
    /// UUID at the end of its request id; also the id of its stream.
    pub(super) uuid: Uuid,
    pub(super) account: AccountId,
    pub(super) weight: f64,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) body: Bytes,
    pub(super) labels: Labels,
    /// Value of the `rookferry-labels` header.
    pub(super) raw_labels: String,
    /// The idempotency key; ignored for calls declared repeatable.
    pub(super) key: Option<String>,
    /// Value of the `rookferry-repeatable` header, if given.
    pub(super) repeatable: Option<bool>,
    /// Plain service and the path within it; `None` for model calls.
    pub(super) service: Option<(String, String)>,
    /// HTTP method.
    pub(super) method: String,
    pub(super) received_at: Instant,
    pub(super) record: DecisionRecord,
    /// Whether a peer forwarded it.
    pub(super) is_forwarded: bool,
    pub(super) permit: AccountPermit,
    /// Computed on first use.
    signature: OnceLock<RequestSignature>,
}

impl Call {
    /// Authenticates a caller and reads its call.
    ///
    /// # Errors
    ///
    /// A refusal that is not logged yet.
    pub(super) async fn receive(
        entry: &Arc<EntryState>,
        inbound: &mut InboundRequest,
    ) -> Result<Self, Refusal> {
        let received_at = clock::now();
        let (request_id, uuid) = entry.new_request();
        let request = Undispatched::new(request_id);
        if entry.leaving.load(Ordering::SeqCst) && entry.snapshot.load().table.version() == 0 {
            return Err(Refusal::new(
                request.refuse(ReasonCode::Leaving),
                "this instance is leaving",
            ));
        }
        let snapshot = entry.snapshot.load_full();
        if snapshot.table.version() == 0 {
            let not_run = request.refuse(ReasonCode::NotReady);
            let refusal = Refusal::new(
                not_run,
                "no configuration is active yet; use another instance",
            );
            return Err(refusal.retry_after(Duration::from_secs(1)));
        }
        let Some(bearer) = bearer(inbound) else {
            let not_run = request.refuse(ReasonCode::Unauthorized);
            return Err(Refusal::new(
                not_run,
                "no `Authorization: Bearer` header; send the account's key",
            ));
        };
        let Some((account, config)) = snapshot.table.account(bearer) else {
            let not_run = request.refuse(ReasonCode::Unauthorized);
            return Err(Refusal::new(
                not_run,
                "the key belongs to no client account",
            ));
        };
        let (weight, limit) = (config.weight, config.max_concurrent);
        let Some(permit) = snapshot
            .gauge(&account)
            .and_then(|gauge| gauge.enter(limit))
        else {
            let not_run = request.refuse(ReasonCode::AccountLimit);
            let detail = format!(
                "account {account} has {limit} active requests on this instance, its limit"
            );
            return Err(Refusal::new(not_run, detail).retry_after(Duration::from_millis(500)));
        };
        let body = match read_body(entry, inbound).await {
            Ok(body) => body,
            Err((reason, detail)) => return Err(Refusal::new(request.refuse(reason), detail)),
        };
        let raw_labels = inbound.header(LABELS).unwrap_or_default().to_owned();
        let key = inbound.header(IDEMPOTENCY_KEY).map(str::to_owned);
        let repeatable = match inbound.header(REPEATABLE) {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(other) => {
                let not_run = request.refuse(ReasonCode::BadRequest);
                let detail = format!("Rookferry-Repeatable is {other:?}; use true or false");
                return Err(Refusal::new(not_run, detail));
            }
        };
        let parts = CallParts {
            account,
            weight,
            body,
            raw_labels,
            key: key.filter(|_| repeatable != Some(true)),
            repeatable,
            service: service_of(inbound),
            method: inbound.method.to_string(),
            received_at,
            is_forwarded: false,
            permit,
        };
        Self::assemble(entry, request, uuid, snapshot, parts)
    }

    /// Accepts a call forwarded by a peer, which has authenticated the caller.
    pub(super) fn forwarded(entry: &Arc<EntryState>, call: &KeyedCall) -> Result<Self, Refusal> {
        let (request_id, uuid) = entry.new_request();
        let request = Undispatched::new(request_id);
        let snapshot = entry.snapshot.load_full();
        let account: AccountId = call.account.as_str().into();
        let config = snapshot.table.config().accounts.get(&call.account);
        let permit = snapshot
            .gauge(&account)
            .and_then(|gauge| gauge.enter(u32::MAX));
        let (Some(config), Some(permit)) = (config, permit) else {
            let not_run = request.refuse(ReasonCode::Unauthorized);
            return Err(Refusal::new(
                not_run,
                format!("the key's owner has no account {account}"),
            ));
        };
        let parts = CallParts {
            weight: config.weight,
            account,
            body: call.body.clone().into(),
            raw_labels: call.labels.clone(),
            key: Some(call.key.clone()),
            repeatable: Some(false),
            service: call.service.clone(),
            method: call.method.clone(),
            received_at: clock::now(),
            is_forwarded: true,
            permit,
        };
        Self::assemble(entry, request, uuid, snapshot.clone(), parts)
    }

    fn assemble(
        entry: &Arc<EntryState>,
        request: Undispatched,
        uuid: Uuid,
        snapshot: Arc<Snapshot>,
        parts: CallParts,
    ) -> Result<Self, Refusal> {
        let labels = match labels_of(entry, &snapshot, &parts) {
            Ok(labels) => labels,
            Err(detail) => {
                return Err(Refusal::new(request.refuse(ReasonCode::BadRequest), detail));
            }
        };
        let record = DecisionRecord {
            request_id: Some(request.request_id().clone()),
            instance: Some(entry.instance.clone()),
            at_ms: now_ms(),
            config_version: snapshot.table.version(),
            labels: labels.clone(),
            ..DecisionRecord::default()
        };
        Ok(Self {
            request,
            uuid,
            account: parts.account,
            weight: parts.weight,
            snapshot,
            body: parts.body,
            labels,
            raw_labels: parts.raw_labels,
            key: parts.key,
            repeatable: parts.repeatable,
            service: parts.service,
            method: parts.method,
            received_at: parts.received_at,
            record,
            is_forwarded: parts.is_forwarded,
            permit: parts.permit,
            signature: OnceLock::new(),
        })
    }

    /// Identifies retries of the same call.
    pub(super) fn signature(&self) -> RequestSignature {
        *self.signature.get_or_init(|| {
            let path = match &self.service {
                Some((service, path)) => format!("/apps/{service}{path}"),
                None => COMPLETIONS.to_owned(),
            };
            RequestSignature::new(Some(&self.account), &self.method, &path, &self.body)
        })
    }

    /// Refuses the call if it is quarantined. With an idempotency key its outcome is
    /// unknown, since the key may have been run before.
    pub(super) fn refuse_if_quarantined(self, entry: &EntryState) -> Result<Self, Refusal> {
        let Some(left) = entry.quarantined_for(self.signature()) else {
            return Ok(self);
        };
        let detail = "servers crashed each time that they ran this call; it is quarantined";
        let refusal = if self.key.is_some() {
            self.unknown(entry, ReasonCode::Quarantined, detail)
        } else {
            self.refuse(entry, ReasonCode::Quarantined, detail)
        };
        Err(refusal.retry_after(left))
    }

    /// Refuses the call before dispatch, and records that.
    pub(super) fn refuse(
        self,
        entry: &EntryState,
        reason: ReasonCode,
        detail: impl Into<String>,
    ) -> Refusal {
        let not_run = self.request.refuse(reason);
        record_without_route(self.record, self.account)
            .record_refusal(entry, Refusal::new(not_run, detail))
    }

    /// Refuses the call when earlier work under its key may have run, and records
    /// that.
    pub(super) fn unknown(
        self,
        entry: &EntryState,
        reason: ReasonCode,
        detail: impl Into<String>,
    ) -> Refusal {
        let unknown = self.request.into_unknown(reason);
        record_without_route(self.record, self.account)
            .record_refusal(entry, Refusal::new(unknown, detail))
    }
}

const fn record_without_route(record: DecisionRecord, account: AccountId) -> CallRecord {
    CallRecord {
        record,
        account,
        route: String::new(),
    }
}

struct CallParts {
    account: AccountId,
    weight: f64,
    body: Bytes,
    raw_labels: String,
    key: Option<String>,
    repeatable: Option<bool>,
    service: Option<(String, String)>,
    method: String,
    received_at: Instant,
    is_forwarded: bool,
    permit: AccountPermit,
}

/// The part of a call that is needed to record its end.
pub(super) struct CallRecord {
    pub(super) record: DecisionRecord,
    pub(super) account: AccountId,
    pub(super) route: String,
}

impl CallRecord {
    /// Records a complete answer of `size` tokens or, for services, bytes.
    pub(super) fn answered(
        mut self,
        entry: &EntryState,
        size: u64,
        first_token: Option<Duration>,
        gaps: Vec<Duration>,
    ) {
        self.record.result = Some(DecisionResult::Answered { size });
        let served = ServeOutcome {
            route: self.route,
            account: self.account.to_string(),
            is_answered: true,
            is_caller_error: false,
            first_token,
            gaps,
        };
        count(entry, &served);
        entry.decisions.insert(self.record);
    }

    fn record_refusal(self, entry: &EntryState, refusal: Refusal) -> Refusal {
        self.refused(entry, &refusal);
        refusal
    }

    /// Records and logs a refusal.
    pub(super) fn refused(mut self, entry: &EntryState, refusal: &Refusal) {
        self.record.result = Some(DecisionResult::Failed {
            outcome: refusal.outcome(),
            reason: refusal.reason,
            detail: refusal.detail.clone(),
        });
        let served = ServeOutcome {
            route: self.route,
            account: self.account.to_string(),
            is_caller_error: refusal.is_caller_error(),
            ..ServeOutcome::default()
        };
        count(entry, &served);
        log_refusal(entry, refusal);
        entry.decisions.insert(self.record);
    }

    /// Records that the caller disconnected.
    pub(super) fn caller_gone(mut self, entry: &EntryState) {
        self.record.result = Some(DecisionResult::CallerGone);
        counter!("rookferry_requests_total", "route" => self.route, "result" => "caller_gone")
            .increment(1);
        entry.decisions.insert(self.record);
    }
}

/// Logs a refusal; called directly only where there is no decision record.
pub(super) fn log_refusal(entry: &EntryState, refusal: &Refusal) {
    info!(entry.log, "request: no answer";
        "part" => "request", "request_id" => %refusal.request_id(),
        "outcome" => ?refusal.outcome(), "reason" => ?refusal.reason, "detail" => &refusal.detail);
}

fn count(entry: &EntryState, served: &ServeOutcome) {
    let snapshot = entry.snapshot.load();
    entry
        .counters
        .count_request(snapshot.table.config(), served);
}

/// Service name after `/apps/`, and the path with the query after the name.
fn service_of(inbound: &InboundRequest) -> Option<(String, String)> {
    let path = inbound
        .uri
        .path_and_query()?
        .as_str()
        .strip_prefix("/apps/")?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Some((service.to_owned(), rest))
}

fn bearer(inbound: &InboundRequest) -> Option<&str> {
    inbound.header("authorization")?.strip_prefix("Bearer ")
}

async fn read_body(
    entry: &EntryState,
    inbound: &mut InboundRequest,
) -> Result<Bytes, (ReasonCode, String)> {
    let limits = &entry.settings.limits;
    let wait = Duration::from_millis(limits.body_timeout_ms);
    let body = inbound.read_body(limits.body_bytes, wait).await;
    body.map_err(|error| {
        let reason = match error {
            BodyError::TooLarge { .. } => ReasonCode::BodyTooLarge,
            BodyError::TooSlow { .. } => ReasonCode::BodyTooSlow,
            BodyError::NoMemory { .. } => ReasonCode::Overloaded,
            BodyError::Broken { .. } => ReasonCode::BadRequest,
        };
        (reason, error.to_string())
    })
}

/// Labels of account, instance and request. Each kind has its own prefix, so that a
/// caller can't imitate the labels of others.
fn labels_of(entry: &EntryState, snapshot: &Snapshot, parts: &CallParts) -> Result<Labels, String> {
    let mut labels = Labels::new();
    labels.insert("account".to_owned(), parts.account.to_string());
    labels.insert("instance".to_owned(), entry.instance.to_string());
    labels.insert(
        "failure_domain".to_owned(),
        entry.failure_domain.to_string(),
    );
    let is_repeatable = parts.key.is_none() && parts.repeatable != Some(false);
    labels.insert("repeatable".to_owned(), is_repeatable.to_string());
    let account = snapshot.table.config().accounts.get(&*parts.account);
    let account_labels = account.into_iter().flat_map(|account| &account.labels);
    for (name, value) in account_labels {
        labels.insert(format!("account.{name}"), value.clone());
    }
    for (name, value) in &entry.settings.labels {
        labels.insert(format!("instance.{name}"), value.clone());
    }
    let given: Vec<&str> = parts.raw_labels.split(',').map(str::trim).collect();
    let given = given.into_iter().filter(|pair| !pair.is_empty());
    for (index, pair) in given.enumerate() {
        if index >= MAX_LABELS {
            return Err(format!("more than {MAX_LABELS} labels in Rookferry-Labels"));
        }
        let Some((name, value)) = pair.split_once('=') else {
            return Err(format!(
                "Rookferry-Labels has {pair:?}; use name=value, separated by commas"
            ));
        };
        labels.insert(format!("request.{}", name.trim()), value.trim().to_owned());
    }
    Ok(labels)
}
