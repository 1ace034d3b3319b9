//! Requests that one router can't send to any server and another one sends for it.
//!
//! A router that is cut off from all servers is still reached by callers and by the other routers. It passes
//! a request that no server has received on to a router that isn't cut off, and that router's response back.
//! The other router handles the request like one of its own callers', with its own limits, and never
//! passes it on again.

use super::attempt::CONNECT_TIMEOUT_MS;
use super::call::History;
use super::refusal::{Cause, Refusal, promises_not_run};
use super::request::Call;
use super::stream::End;
use super::{Shared, quota, stream, tenant};
use hmac::{Hmac, Mac};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use lovageplank_core::fleet::message::Router;
use lovageplank_core::prelude::*;
use lovageplank_core::retry::Outcome;
use lovageplank_process::body::channel::{self, Closed, channel};
use lovageplank_process::body::{Eviction, Share};
use lovageplank_process::clock;
use lovageplank_process::http::{self, Body};
use lovageplank_router::answer;
use lovageplank_router::dispatch::{self, Connection, Route, Tcp};
use rand::seq::IndexedRandom;
use sha2::Sha256;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Routers that are asked at most for one request. Another one is asked only if the request certainly
/// didn't run.
const ROUTERS_MAX: usize = 3;
/// Pieces of a body that are buffered for a caller that reads slowly.
const PIECES_MAX: usize = 8;
/// Milliseconds between two attempts to reach a server while the router is cut off.
const PROBE_INTERVAL_MS: u64 = 250;
/// Header of a request that is passed on: milliseconds until the deadline, whether the request counts for the
/// retry budget already, and the proof that a router sent it.
const TERMS: HeaderName = HeaderName::from_static("lovageplank-relayed");
/// Header of a response that refuses such a request because its router reaches no server either.
const CUT_OFF: HeaderName = HeaderName::from_static("lovageplank-cut-off");

/// Tells the proof of a request that is passed on from other uses of the key.
const PROOF_CONTEXT: &[u8] = b"relayed request";

/// What a router says of a request that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Terms {
    /// Milliseconds until the deadline.
    pub(super) remaining_ms: u64,
    /// Whether the request counts in the retry budget of its service already.
    pub(super) is_counted: bool,
}

impl Terms {
    fn encode(self, key: &[u8], id: &str) -> String {
        let (ms, counted) = (self.remaining_ms, u8::from(self.is_counted));
        let proof = proof(key, id, ms, counted).finalize().into_bytes();
        format!("{ms};{counted};{}", to_hex(&proof))
    }

    /// Takes the terms from the headers of a request; `None` unless a router sent it.
    pub(super) fn take(headers: &mut HeaderMap, key: &[u8], id: Option<&str>) -> Option<Terms> {
        let value = headers.remove(TERMS)?;
        let mut parts = value.to_str().ok()?.splitn(3, ';');
        let remaining_ms = parts.next()?.parse().ok()?;
        let counted: u8 = parts.next()?.parse().ok()?;
        let proof = proof(key, id?, remaining_ms, counted);
        proof.verify_slice(&from_hex(parts.next()?)?).ok()?;
        Some(Terms {
            remaining_ms,
            is_counted: counted == 1,
        })
    }
}

/// Shows who has the key of the links that the request comes from a router.
fn proof(key: &[u8], id: &str, remaining_ms: u64, counted: u8) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(PROOF_CONTEXT);
    mac.update(&remaining_ms.to_be_bytes());
    mac.update(&[counted]);
    mac.update(id.as_bytes());
    mac
}

/// Hexadecimal digits of bytes.
fn to_hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

/// Bytes of hexadecimal digits.
fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

/// Marks the refusal of a request that another router passed on, if this one reaches no server either.
pub(super) fn mark_refusal(shared: &Shared, call: &Call, response: &mut Response<Body>) {
    if call.is_relayed && shared.is_cut_off(&call.spec.service) {
        let mark = HeaderValue::from_static("1");
        response.headers_mut().insert(CUT_OFF, mark);
    }
}

/// Whether another router may send the request: no server has received it, and it wasn't passed on before.
pub(super) fn is_allowed(call: &Call, history: &History) -> bool {
    !call.is_relayed && history.may_have_run.is_empty()
}

/// Whether a request that no server has received is to be sent by another router at once: this one reaches
/// no server of its service, and another one does.
pub(super) fn is_due(shared: &Shared, call: &Call) -> bool {
    let service = &call.spec.service;
    !call.is_relayed && shared.is_cut_off(service) && choose(shared, service, &[]).is_some()
}

/// Whether another router may be able to serve a request that is refused for this cause here, after servers
/// couldn't be reached.
pub(super) fn may_help(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::NoServer | Cause::LoadTooSlow | Cause::Rejected
    )
}

/// What became of a request that was passed on to a router.
enum Passed {
    /// The response for the caller.
    Answered(Response<Body>),
    /// It has not run, and another router may run it.
    NotRun(String),
    /// It may have run.
    Unknown(String),
}

/// Passes the request on to a router that isn't cut off. `None` if there is none, or none took it: the
/// request has not run then.
pub(super) async fn forward(
    shared: &Arc<Shared>,
    call: &mut Arc<Call>,
    history: &History,
) -> Option<Result<Response<Body>, Refusal>> {
    let mut tried = Vec::new();
    while tried.len() < ROUTERS_MAX {
        let (router, address) = choose(shared, &call.spec.service, &tried)?;
        if let Err(refusal) = tenant::check(shared, call, history) {
            return Some(Err(refusal));
        }
        // The other router doesn't charge it.
        quota::settle(history);
        let passed = pass_on(shared, call, history, &router, &address).await;
        let (outcome, reason) = match &passed {
            Passed::Answered(_) => ("answered", ""),
            Passed::NotRun(reason) => ("not_run", &**reason),
            Passed::Unknown(reason) => ("unknown", &**reason),
        };
        metrics::counter!("lovageplank_entry_relayed_total", "outcome" => outcome).increment(1);
        tracing::info!(event = "relayed", id = %call.id, %router, outcome, reason);
        match passed {
            Passed::Answered(response) => return Some(Ok(response)),
            Passed::Unknown(_) => return Some(Err((Cause::Unknown, None))),
            Passed::NotRun(_) => tried.push(router),
        }
    }
    None
}

/// A random router that reaches servers of the service and wasn't tried: its instance and its address for such
/// requests.
fn choose(shared: &Shared, service: &Name, tried: &[Name]) -> Option<(Name, Name)> {
    let own = &shared.config.common.instance;
    let routers = shared.state().directory.ready_routers();
    let others = routers
        .into_iter()
        .filter(|r| r.instance != *own && !tried.contains(&r.instance))
        .filter(|r| !r.unreached.contains(service));
    let willing: Vec<(Name, Name)> = others
        .filter_map(
            |Router {
                 instance, relay, ..
             }| Some((instance, relay?)),
        )
        .collect();
    willing.choose(&mut rand::rng()).cloned()
}

async fn pass_on(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    history: &History,
    router: &Name,
    address: &Name,
) -> Passed {
    let remaining_ms = call.deadline.saturating_sub(clock::boottime_ms());
    let until = Instant::now() + Duration::from_millis(remaining_ms);
    let destination = Route {
        server: router.clone(),
        address: address.clone(),
        idle_ms: 0,
        connect_ms: CONNECT_TIMEOUT_MS,
        until,
    };
    let terms = Terms {
        remaining_ms,
        is_counted: history.is_counted,
    };
    let request = build_request(shared, call, terms);
    // Each has a connection of its own, so that a response can't belong to another request.
    let (response, connection) = match dispatch::send_on_new(&Tcp, &destination, request).await {
        Ok(sent) => sent,
        Err(failure) if failure.outcome == Outcome::NotRun => {
            return Passed::NotRun(failure.message);
        }
        Err(failure) => return Passed::Unknown(failure.message),
    };
    let (status, headers) = (response.status(), response.headers());
    let head = shared.dialect.response_head(&call.id, status, headers);
    if promises_not_run(status) && !head.confirmed && headers.contains_key(CUT_OFF) {
        return Passed::NotRun("the router reaches no server".into());
    }
    if status.is_success() && !head.confirmed {
        return Passed::Unknown("a success without the mark of a server".into());
    }
    relay_response(shared, call, response, connection, until).await
}

async fn relay_response(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    response: Response<Incoming>,
    connection: Connection,
    until: Instant,
) -> Passed {
    let (parts, body) = response.into_parts();
    let mut response = if call.route.streams() && parts.status.is_success() {
        let is_framed = answer::is_framed(&parts.headers);
        let source = Source {
            body,
            is_framed,
            _connection: connection,
        };
        relay_body(shared, call, source, until)
    } else {
        match answer::read_body_within(&shared.body_budget, body, until).await {
            Ok(body) => http::held_response(body),
            Err(reason) => return Passed::Unknown(reason),
        }
    };
    *response.status_mut() = parts.status;
    *response.headers_mut() = answer::relayed_headers(&parts.headers);
    Passed::Answered(response)
}

/// The body of another router's response.
struct Source {
    body: Incoming,
    /// Whether its end shows that it is complete.
    is_framed: bool,
    _connection: Connection,
}

/// Passes a body on as it comes, within the budget of the process. If the body breaks off, or its time is over, so does
/// what the caller gets; if the caller leaves, the connection is closed.
fn relay_body(shared: &Shared, call: &Arc<Call>, source: Source, until: Instant) -> Response<Body> {
    let (sender, pieces) = channel(PIECES_MAX);
    let share = Arc::new(shared.body_budget.share());
    let eviction = share.eviction().clone();
    let id = call.id.clone();
    tokio::spawn(async move {
        let end = pass_pieces(source, &sender, &share, until).await;
        tracing::info!(event = "relayed_ended", %id, outcome = end.outcome(), reason = end.reason());
        stream::finish(sender, &share, &end).await;
    });
    let mut response = Response::new(stream::body(pieces, call));
    response.extensions_mut().insert(Eviction(eviction));
    response
}

async fn pass_pieces(
    mut source: Source,
    sender: &channel::Sender,
    share: &Arc<Share>,
    until: Instant,
) -> End {
    loop {
        let frame = tokio::select! {
            frame = timeout_at(until, source.body.frame()) => frame,
            () = sender.closed() => return End::CallerDisconnected,
        };
        let piece = match frame {
            Err(_) => return End::TimedOut,
            Ok(None) if source.is_framed => return End::Complete,
            Ok(None) => return End::Broken("a cut would not show".into()),
            Ok(Some(Err(error))) => return End::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => frame.into_data(),
        };
        // Trailers aren't passed on.
        let Ok(piece) = piece else {
            continue;
        };
        if let Some(end) = stream::reserve(share, sender, piece.len(), until).await {
            return end;
        }
        match timeout_at(until, sender.send(share.lend(piece))).await {
            Ok(Ok(())) => {}
            Ok(Err(Closed)) => return End::CallerDisconnected,
            Err(_) => {
                // The caller doesn't read, and its time is over.
                share.eviction().cancel();
                return End::TimedOut;
            }
        }
    }
}

fn build_request(shared: &Shared, call: &Call, terms: Terms) -> Request<Full<bytes::Bytes>> {
    let mut request = call.to_request();
    let terms = terms.encode(&shared.config.common.link_key, &call.id);
    let terms = HeaderValue::from_str(&terms).expect("digits and hexadecimal digits");
    request.headers_mut().insert(TERMS, terms);
    request
}

/// Tries to reach servers of the services from which the router is cut off, so that it notices the end of
/// the cut.
pub(super) async fn probe(shared: Arc<Shared>) {
    loop {
        shared.cut_off.notified().await;
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            let services: Vec<Name> = {
                let state = shared.state();
                state.dispatcher.unreached_services().cloned().collect()
            };
            if services.is_empty() {
                break;
            }
            for service in services {
                for address in shared.random_servers(&service, None, 1) {
                    shared.can_connect(&service, &address).await;
                }
            }
        }
    }
}

impl Shared {
    /// Whether this router reaches no server of the service.
    pub(super) fn is_cut_off(&self, service: &str) -> bool {
        self.state().dispatcher.is_cut_off(service)
    }

    /// The addresses of so many random servers of the service that accept requests, all different and other
    /// than this one; fewer if there are fewer.
    pub(super) fn random_servers(
        &self,
        service: &str,
        except: Option<&str>,
        count: usize,
    ) -> Vec<Name> {
        let state = self.state();
        let addresses = state.dispatcher.ready_addresses(Some(service));
        let others: Vec<&Name> = addresses.filter(|a| Some(&***a) != except).collect();
        let drawn = others.choose_multiple(&mut rand::rng(), count);
        drawn.map(|address| (*address).clone()).collect()
    }

    /// Opens a connection to a server of the service and closes it; returns whether it could be opened.
    pub(super) async fn can_connect(&self, service: &Name, address: &Name) -> bool {
        let dial = self.connection_pool.dial().dial(address);
        let opened = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), dial).await;
        let is_open = matches!(opened, Ok(Ok(_)));
        self.connected(service, address, is_open);
        is_open
    }
}
