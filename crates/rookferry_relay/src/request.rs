//! A caller's admitted request, and the request that is sent to a server for it.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::uri::PathAndQuery;
use http_body_util::Full;
use rookferry_core::Permission;
use rookferry_core::RequestSignature;
use rookferry_core::ServingIndex;
use rookferry_core::ServingRoute;
use rookferry_core::SuspectKind;
use rookferry_core::Urgency;
use rookferry_net::MemoryLease;
use rookferry_net::clock;
use rookferry_wire::AccountId;
use rookferry_wire::EngineId;
use rookferry_wire::SegmentId;
use rookferry_wire::ServiceId;

use crate::admission_gate::Arrival;
use crate::event_log::millis;
use crate::list_at_send::SendRecord;
use crate::protocol::CallerHead;
use crate::protocol::HeaderNames;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Most segments of a prompt in a log line.
const MAX_LOGGED_SEGMENTS: usize = 8;

/// A segment of a request's prompt that other requests may share.
#[derive(Debug)]
pub(crate) struct PromptSegment {
    pub(crate) id: SegmentId,
    pub(crate) signature: RequestSignature,
}

/// A caller's request after admission.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The caller's id of the attempt.
    pub(crate) attempt: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Values parsed from the headers.
    pub(crate) head: CallerHead,
    /// The client account; none if the caller sent no known key.
    pub(crate) account: Option<AccountId>,
    pub(crate) urgency: Urgency,
    pub(crate) route: ServingRoute,
    /// The route's target that was randomly selected for this request.
    pub(crate) service: ServiceId,
    pub(crate) received_at: Instant,
    /// End of the route's timeout or of the caller's, whichever is earlier.
    pub(crate) deadline: Instant,
    /// Version of the configuration that admitted it.
    pub(crate) config_version: u64,
    /// Computed on first use, since few requests need it.
    pub(crate) signature: OnceLock<RequestSignature>,
    /// Segments of the prompt that other requests may share, in order.
    pub(crate) segments: Vec<PromptSegment>,
    /// Whether part of an answer has arrived, by any run.
    pub(crate) is_answered: AtomicBool,
    /// Whether it may run only as a trial.
    pub(crate) permission: Permission,
    /// The server lists by which it was sent, over all admissions.
    pub(crate) sends: Arc<SendRecord>,
    /// The memory of the head and the body.
    pub(crate) _memory: Arc<MemoryLease>,
}

impl CallerRequest {
    /// A digest that is equal for retries of the same request.
    pub(crate) fn signature(&self) -> RequestSignature {
        *self.signature.get_or_init(|| {
            let path = self.uri.path_and_query();
            RequestSignature::new(
                self.account.as_deref(),
                self.method.as_str(),
                path.map_or("/", PathAndQuery::as_str),
                &self.body,
            )
        })
    }

    /// The segments that may crash an engine which begins to answer; none once part of the
    /// answer has arrived.
    pub(crate) fn unproven_segments(&self) -> &[PromptSegment] {
        if self.is_answered.load(Ordering::Relaxed) {
            &[]
        } else {
            &self.segments
        }
    }

    /// What may be quarantined: the request and its unproven segments.
    pub(crate) fn suspects(&self) -> Vec<(RequestSignature, SuspectKind)> {
        let segments = self.unproven_segments().iter();
        let segments = segments.map(|segment| (segment.signature, SuspectKind::PromptSegment));
        let own = (self.signature(), SuspectKind::Request);
        std::iter::once(own).chain(segments).collect()
    }

    /// The segments for logs, as `id/signature` separated by commas.
    pub(crate) fn describe_segments(&self) -> String {
        let segments = self.segments.iter().take(MAX_LOGGED_SEGMENTS);
        let segments = segments.map(|segment| format!("{}/{}", segment.id, segment.signature));
        segments.collect::<Vec<_>>().join(",")
    }

    /// Time until the deadline; zero after it.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Tokens in an engine's cache, averaged over the request's life.
    pub(crate) fn tokens(&self) -> f64 {
        self.head.held_tokens()
    }

    /// Whether the caller has already waited for longer than the latency objective, as it
    /// does after a refusal. The caller states how long it will still wait.
    pub(crate) fn is_late(&self) -> bool {
        let stated = self.head.time_left_ms.map(Duration::from_millis);
        let left = stated.unwrap_or(self.route.timeout);
        self.route.timeout.saturating_sub(left) > self.route.latency_objective
    }

    /// What admission counts of the request.
    pub(crate) fn arrival(&self) -> Arrival {
        Arrival {
            urgency: self.urgency,
            is_late: self.is_late(),
        }
    }

    /// Time since the request was received.
    pub(crate) fn elapsed(&self) -> Duration {
        clock::since(self.received_at)
    }

    /// Whether a configuration still admits the request and routes it to its service.
    pub(crate) fn is_allowed_by(&self, index: &ServingIndex) -> bool {
        if index.config().version == self.config_version {
            return true;
        }
        let Some(host) = host_header(&self.headers) else {
            return false;
        };
        let Some(route) = index.route(&host, self.uri.path()) else {
            return false;
        };
        let is_target = route
            .targets
            .iter()
            .any(|target| target.service == self.service);
        let is_authorized = route.is_public
            || !index.needs_keys()
            || self
                .head
                .key
                .as_deref()
                .and_then(|key| index.account(key))
                .is_some_and(|account| Some(&account.name) == self.account.as_ref());
        is_target && is_authorized
    }

    /// Builds the request for a server.
    ///
    /// Hop-by-hop headers, content-length, expect, the caller's key and the caller's own
    /// account and path headers are removed; the expected server, the account and `extra`
    /// are set. The time left is set by [`set_time_left`] when the request is sent.
    pub(crate) fn to_server(
        &self,
        names: &HeaderNames,
        expected: &EngineId,
        extra: impl IntoIterator<Item = (HeaderName, HeaderValue)>,
    ) -> Request<Full<Bytes>> {
        let mut headers = end_to_end_headers(&self.headers);
        headers.remove(http::header::AUTHORIZATION);
        headers.remove(&names.account);
        headers.remove(&names.path);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        insert_header(&mut headers, &names.expected_server, expected);
        if let Some(account) = &self.account {
            insert_header(&mut headers, &names.account, account);
        }
        // `extend` would keep the caller's values of the same headers.
        for (name, value) in extra {
            headers.insert(name, value);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request.extensions_mut().insert(Deadline(self.deadline));
        request
    }
}

/// When a request to a server is no longer of use; kept beside it until it is sent.
#[derive(Clone, Copy, Debug)]
struct Deadline(Instant);

/// Sets the time left of a request that is about to be sent, if it has a deadline.
pub(crate) fn set_time_left(request: &mut Request<Full<Bytes>>, names: &HeaderNames) {
    if let Some(Deadline(at)) = request.extensions().get().copied() {
        let left_ms = millis(at.saturating_duration_since(clock::now()));
        let headers = request.headers_mut();
        headers.insert(names.time_left_ms.clone(), HeaderValue::from(left_ms));
    }
}

/// The `Host` header; none if it is missing or no text.
pub(crate) fn host_header(headers: &HeaderMap) -> Option<String> {
    let host = headers.get(http::header::HOST)?.to_str().ok()?;
    Some(host.to_owned())
}

/// A copy without hop-by-hop headers and those that `Connection` lists.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passes = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&name) && !named.iter().any(|other| other == name)
    };
    let end_to_end = headers.iter().filter(|(name, _)| passes(name));
    end_to_end
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Sets a header. An invalid value leaves the header unset, and the server then refuses
/// the request.
fn insert_header(headers: &mut HeaderMap, name: &HeaderName, text: &Arc<str>) {
    headers.remove(name);
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    }
}
