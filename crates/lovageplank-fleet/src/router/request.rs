//! A caller's request, as it is read from its connection.

use super::fingerprint::fingerprint;
use super::refusal::{Cause, Refusal};
use super::relay::Terms;
use super::{Shared, intake, tenant};
use crate::dialect::{Dialect, RequestHead};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use lovageplank_core::fleet::deployment::{Deployment, RequestKind, Route};
use lovageplank_core::fleet::quarantine::Key;
use lovageplank_core::fleet::request::{RequestSpec, Software};
use lovageplank_core::fleet::tenant::Sender;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_router::answer;
use std::sync::OnceLock;
use std::time::Duration;

/// Milliseconds after which the caller may retry when this router has no document yet.
const NO_DOCUMENT_RETRY_AFTER_MS: u64 = 500;

/// A caller's request and its route.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: RequestHead,
    /// Id of the request; never empty.
    pub(super) id: Name,
    pub(super) route: Arc<Route>,
    pub(super) spec: RequestSpec,
    /// Whom it comes from; [`tenant::check`] keeps it current, with the tenant and the rank in `spec`.
    pub(super) sender: Sender,
    /// Level of its rank among those of the document, as engines are told it.
    pub(super) urgency: u32,
    /// The parts of its prompt that other requests may share, in the order of the prompt.
    pub(super) parts: Arc<[Key]>,
    /// See [`Call::keys`].
    keys: OnceLock<Vec<Key>>,
    /// Whether another router passed it on.
    pub(super) is_relayed: bool,
    pub(super) arrived_at: Millis,
    /// Time by which the response must have ended.
    pub(super) deadline: Millis,
}

impl Call {
    /// The time until its response must have ended.
    pub(super) fn time_left(&self) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(clock::boottime_ms()))
    }

    /// What it has in common with other requests, from the most common to the rarest: the parts of its
    /// prompt, and the whole request. They are computed when they are needed first, since that reads the
    /// body.
    pub(super) fn keys(&self, dialect: &dyn Dialect) -> &[Key] {
        self.keys.get_or_init(|| {
            let request = Key::Request(fingerprint(dialect, self));
            self.parts.iter().copied().chain([request]).collect()
        })
    }

    /// The request as the caller sent it, to be sent on.
    pub(super) fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Binds it to the terms of the router that passed it on.
    pub(super) fn bind_to(&mut self, terms: Terms) {
        self.is_relayed = true;
        self.deadline = self.deadline.min(self.arrived_at + terms.remaining_ms);
        self.spec.start_by = self.spec.start_by.min(self.deadline);
    }

    /// The services that its route leads to.
    pub(super) fn services(&self) -> impl Iterator<Item = Name> {
        self.route.shares.iter().map(|share| share.service.clone())
    }

    /// The keys, for logs.
    pub(super) fn keys_text(&self, dialect: &dyn Dialect) -> String {
        let keys: Vec<String> = self.keys(dialect).iter().map(Key::to_string).collect();
        keys.join(", ")
    }
}

/// Reads a request completely, finds its route and checks its key.
pub(super) async fn read(
    shared: &Shared,
    request: Request<Incoming>,
    arrived_at: Millis,
) -> Result<(Call, Arc<Deployment>), Refusal> {
    let Some(deployment) = shared.deployment() else {
        return Err((Cause::NoDocument, Some(NO_DOCUMENT_RETRY_AFTER_MS)));
    };
    let (mut parts, body) = request.into_parts();
    shared.dialect.hide_key(&mut parts.headers);
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = deployment.route(host, parts.uri.path()).cloned() else {
        tracing::info!(
            event = "no_route",
            host,
            path = parts.uri.path(),
            version = deployment.version
        );
        return Err((Cause::NoRoute, None));
    };
    let mut headers = answer::relayed_headers(&parts.headers);
    if let Some(host) = parts.headers.get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    let head = shared.dialect.request_head(&parts.headers);
    let identified = tenant::identify(shared, &deployment, &route, &headers, head.id.as_deref());
    let sender = identified.inspect_err(|(cause, _)| {
        tenant::record(shared, &Sender::Anonymous, Some(*cause));
    })?;
    let arrival = Arrival {
        head,
        headers,
        route,
        sender: sender.clone(),
        at: arrived_at,
    };
    let call = read_rest(shared, &deployment, arrival, parts, body).await;
    let call = call.inspect_err(|(cause, _)| tenant::record(shared, &sender, Some(*cause)))?;
    Ok((call, deployment))
}

/// A request of which the head was read, and whose sender may send it.
struct Arrival {
    head: RequestHead,
    /// Headers to send on.
    headers: HeaderMap,
    route: Arc<Route>,
    sender: Sender,
    at: Millis,
}

/// Reads the body of a request.
async fn read_rest(
    shared: &Shared,
    deployment: &Deployment,
    arrival: Arrival,
    parts: Parts,
    body: Incoming,
) -> Result<Call, Refusal> {
    let Arrival {
        head,
        headers,
        route,
        sender,
        at: arrived_at,
    } = arrival;
    let Some(id) = head.id.as_deref().filter(|id| !id.is_empty()) else {
        return Err((Cause::NoId, None));
    };
    let id = Name::from(id);
    let timeout_ms = head.timeout_ms.unwrap_or(route.timeout_ms);
    let timeout_ms = timeout_ms.min(route.timeout_ms);
    let left_ms = (arrived_at + timeout_ms).saturating_sub(clock::boottime_ms());
    let body = intake::read_body(shared, body, &deployment.limits, left_ms).await?;
    let rank = route.rank(sender.tenant().map(|tenant| &**tenant));
    let spec = RequestSpec {
        service: route.service(rand::random()).clone(),
        model: head.model.clone(),
        adapter: head.adapter.clone(),
        software: match route.kind {
            RequestKind::Resumable => Software::Admitted,
            RequestKind::Safe | RequestKind::Unsafe | RequestKind::Stream => Software::Any,
        },
        prompt_prefix: head.prefix,
        tenant: sender.tenant().cloned(),
        rank,
        work: head.work,
        objective_at: arrived_at + route.objective_ms,
        // `patience_ms` is how long a caller waits for the first part of a response. No server is
        // selected for the request shortly before `start_by` or later.
        start_by: arrived_at + timeout_ms.min(route.patience_ms),
    };
    let parts_of_prompt = shared.dialect.prompt_parts(&parts.headers);
    Ok(Call {
        parts: parts_of_prompt.into_iter().map(Key::Part).collect(),
        keys: OnceLock::new(),
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        head,
        id,
        route,
        spec,
        sender,
        urgency: deployment.urgency(rank),
        is_relayed: false,
        arrived_at,
        deadline: arrived_at + timeout_ms,
    })
}
