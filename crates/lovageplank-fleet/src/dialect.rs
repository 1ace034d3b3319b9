//! The seam to a users' platform: names and formats on one side, the product's types on the other.
//!
//! A dialect decides nothing. It reads what comes and writes what goes.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use lovageplank_core::fleet::deployment::{Deployment, Invalid};
use lovageplank_core::fleet::placement::{Answer, Command, Report};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::prelude::*;

/// A call at a control process.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A backend server announces itself.
    Announce(Box<Announcement>),
    /// A backend server leaves.
    Deregister {
        /// Its name.
        id: Name,
        /// Its incarnation, if it says.
        incarnation: Option<u64>,
    },
    /// The operator writes the document, which is valid.
    Write(Box<Deployment>),
    /// The operator reads the document.
    Read,
}

/// A call that can't be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no such call.
    Unknown,
    /// The call can't be read.
    Unreadable(String),
    /// The document is invalid.
    Invalid(Invalid),
}

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identity of the request.
    pub id: String,
    /// Milliseconds that the caller waits.
    pub deadline_ms: Option<u64>,
    /// The model asked for.
    pub model: Option<Name>,
    /// The adapter of the model.
    pub adapter: Option<Name>,
    /// Identity of the part of the prompt that other requests share.
    pub prefix: Option<u64>,
    /// The last event that the caller has.
    pub last_event_id: Option<String>,
}

/// What an attempt tells its server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// The server that is meant; another one at its address refuses.
    pub server: &'a Name,
    /// Milliseconds that are left.
    pub remaining_ms: u64,
    /// The event after which a stream goes on.
    pub last_event_id: Option<&'a str>,
    /// Rank among the requests at an engine; 0 is the most urgent.
    pub priority: u32,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It answers another request.
    Foreign,
    /// The server says that it has not run the request.
    NotRun {
        /// Whether another server, or one without the model, has answered.
        misdirected: bool,
    },
    /// The server may have run the request.
    Ran {
        /// Whether it bears the mark of a server that ran the request to its end.
        marked: bool,
    },
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: &'static str,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Reads and writes what a platform speaks.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a call at a control process.
    fn parse_call(&self, method: &Method, uri: &Uri, body: &[u8]) -> Result<Call, CallError>;

    /// Reads a document that was accepted before.
    fn parse_deployment(&self, document: &[u8]) -> Result<Deployment, Invalid>;

    /// Whether a call asks if the instance is ready.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;

    /// Whether a call asks for addresses.
    fn is_address_lookup(&self, method: &Method, uri: &Uri) -> bool;

    /// The answer to a call for addresses, which callers keep for a time.
    fn encode_addresses(&self, addresses: &[Name], ttl_ms: u64) -> Bytes;

    /// Reads the head of a caller's request.
    fn request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// Sets what an attempt tells its server, and removes what only this process may set.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, attempt: &Attempt);

    /// Reads the head of a server's answer to the request with this id.
    fn classify_response(&self, id: &str, status: StatusCode, headers: &HeaderMap)
    -> ResponseClass;

    /// A command to an engine, by a holder with a fencing token.
    fn command_call(&self, command: &Command, leader: &Name, fencing_token: u64) -> EngineCall;

    /// What the status of an answer to a command means.
    fn command_answer(&self, status: StatusCode) -> Answer;

    /// Asks an engine for its report.
    fn report_call(&self) -> EngineCall;

    /// Reads an engine's report.
    fn parse_report(&self, body: &[u8]) -> Result<Report, String>;
}
