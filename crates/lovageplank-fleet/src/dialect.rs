//! Translates between the message formats of the platform that the system runs on and this system's
//! types.
//!
//! A platform implements [`Dialect`], which decodes incoming messages, encodes outgoing ones and
//! makes no decisions.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use lovageplank_core::fleet::deployment::{Deployment, Invalid};
use lovageplank_core::fleet::permit::Rate;
use lovageplank_core::fleet::placement::{Answer, Command, Report};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::fleet::request::Work;
use lovageplank_core::fleet::speed::Figures;
use lovageplank_core::fleet::tenant::{Credential, Sender};
use lovageplank_core::prelude::*;
pub use lovageplank_router::answer::Ids;

/// A call to a control process.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// A backend server announces itself.
    Announce(Box<Announcement>),
    /// A backend server departs: this incarnation won't come back. The log event is `server_left`.
    Deregister {
        /// Name of the server.
        id: Name,
        /// Incarnation of the server, if the call names it.
        incarnation: Option<u64>,
    },
    /// The operator writes a document. The call has the configuration that was decoded from it and
    /// found valid.
    Write(Box<Deployment>),
    /// The operator reads the document.
    Read,
}

/// Why a call to a control process is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No call has this method and path.
    Unknown,
    /// The body can't be decoded; the text says why.
    Unreadable(String),
    /// The document can't be decoded, or its content breaks a rule; the value says which.
    Invalid(Invalid),
}

/// A caller's lookup of the addresses of routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressLookup {
    /// Failure domain of the caller, if the call names one.
    pub domain: Option<Name>,
    /// Addresses that the response may have at most.
    pub addresses_max: usize,
}

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; `None` if it names none, or several.
    pub id: Option<String>,
    /// Milliseconds for which the caller waits for the complete response.
    pub timeout_ms: Option<u64>,
    /// The requested model.
    pub model: Option<Name>,
    /// The requested adapter of the model.
    pub adapter: Option<Name>,
    /// Id of the prompt prefix that other requests share.
    pub prefix: Option<u64>,
    /// Tokens that the request states it needs.
    pub work: Option<Work>,
    /// Id of the last event that the caller has received of a stream.
    pub last_event_id: Option<String>,
    /// Id of the caller's request that brought the first event of the stream which this request takes
    /// up.
    pub resumes: Option<Name>,
}

/// Values for the headers of a request that is sent to one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// The intended server; another server at the same address refuses the request.
    pub server: &'a Name,
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
    /// Id of the event after which a stream resumes.
    pub last_event_id: Option<&'a str>,
    /// Priority among the requests at an engine; 0 is the most urgent.
    pub priority: u32,
    /// Whom the request comes from.
    pub sender: &'a Sender,
}

/// Contents of the head of a backend server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the response names the request that it was compared with.
    pub ids: Ids,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether the server states that the request reached another server than intended, or one
    /// without the model. It has not run then either.
    pub misdirected: bool,
    /// Whether the response has the header by which a server confirms that it ran the request to
    /// completion.
    pub confirmed: bool,
    /// What it says of the requests that the server takes from all routers together.
    pub rate_limit: RateLimit,
    /// Whether it says that its server ends when it has to reject too many requests.
    pub brittleness: Brittleness,
    /// What it says of further requests from this router.
    pub intake: Intake,
    /// What it says of the load of its server.
    pub load: Load,
}

impl ResponseHead {
    /// Class of the response to the latest of `requests` requests on a connection.
    ///
    /// What a response states counts only if the response is [tied](Ids::tied) to the request. One
    /// that isn't a rejection must name the request besides; one that also confirms a run isn't a
    /// rejection.
    pub fn class(self, requests: u64) -> ResponseClass {
        if !self.ids.tied(requests) {
            return ResponseClass::Foreign;
        }
        let ResponseHead {
            misdirected,
            confirmed,
            ..
        } = self;
        if (self.not_run || misdirected) && !confirmed {
            ResponseClass::NotRun { misdirected }
        } else if self.ids == Ids::Match {
            ResponseClass::MayHaveRun { confirmed }
        } else {
            ResponseClass::Foreign
        }
    }
}

/// What a response says of the requests that its server takes from all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimit {
    /// It names no limit.
    None,
    /// It names this one.
    Named(Rate),
    /// It names something that isn't a limit.
    Unreadable,
}

/// What a response says of the rejections that its server bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Brittleness {
    /// It says nothing: the server isn't brittle.
    None,
    /// It bears this many in a second.
    Named(u32),
    /// It bears a number that can't be read.
    Unreadable,
}

/// What a response says of the load of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// It says nothing.
    None,
    /// It states these figures.
    Stated(Figures),
    /// It states something that can't be read.
    Unreadable,
}

/// What a server says of further requests from the router that its response goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It takes them, as far as it says.
    Open,
    /// It wants none for so many milliseconds.
    Paused(u64),
    /// It wants none for a time that can't be read.
    PauseUnreadable,
    /// It leaves and wants none any more.
    Leaving,
}

/// Class of a backend server's response, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It may belong to another request, so it isn't known whether this one ran.
    Foreign,
    /// The server states that it has not run the request.
    NotRun {
        /// Whether the request reached another server than intended, or one without the model.
        misdirected: bool,
    },
    /// The server may have run the request.
    MayHaveRun {
        /// Whether the response has the header by which a server confirms that it ran the request
        /// to completion.
        confirmed: bool,
    },
}

/// An HTTP call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query; sending the call panics if it isn't a valid URI.
    pub path: &'static str,
    /// Headers, without `Host`, which is set to the engine's address when the call is sent.
    pub headers: HeaderMap,
    /// Encoded body; may be empty.
    pub body: Bytes,
}

/// Decodes and encodes a platform's messages.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes a call to a control process.
    fn parse_call(&self, method: &Method, uri: &Uri, body: &[u8])
    -> Result<ControlCall, CallError>;

    /// Decodes a document that [`parse_call`](Dialect::parse_call) found valid when the operator
    /// wrote it.
    fn parse_deployment(&self, document: &[u8]) -> Result<Deployment, Invalid>;

    /// Whether a call to a router is a readiness check.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;

    /// Decodes a call to a router that looks up the addresses of routers; `None` for other calls.
    fn address_lookup(&self, method: &Method, uri: &Uri) -> Option<AddressLookup>;

    /// Encodes the response to an address lookup; callers may cache it for `ttl_ms` milliseconds.
    fn encode_addresses(&self, addresses: &[Name], ttl_ms: u64) -> Bytes;

    /// Decodes the head of a caller's request.
    fn request_head(&self, headers: &HeaderMap) -> RequestHead;

    /// The API key of a caller's request.
    fn credential<'a>(&self, headers: &'a HeaderMap) -> Credential<'a>;

    /// Marks the key in the headers of a caller's request, so that their `Debug` output hides it.
    fn hide_key(&self, headers: &mut HeaderMap);

    /// Ids of the parts of a request's prompt that other requests may share, in the order of the prompt.
    fn prompt_parts(&self, headers: &HeaderMap) -> Vec<u64>;

    /// Values of the headers that are the same in a request that its caller sends again, and that tell
    /// it from others besides its method, path and body: who the caller is, and what is asked for. If callers
    /// have keys that this process checks, the sender stands for the key.
    fn identity<'a>(&self, headers: &'a HeaderMap, sender: &'a Sender) -> Vec<&'a [u8]>;

    /// Sets the headers of an attempt, and removes a caller's headers that only this process may set.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, attempt: &AttemptHead);

    /// Decodes the head of a server's response and compares its id with this one.
    fn response_head(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Encodes a command to an engine, sent by a leader with its fencing token.
    fn command_call(&self, command: &Command, leader: &Name, fencing_token: u64) -> EngineCall;

    /// What an engine answered to a command, by the status of its response.
    fn command_answer(&self, status: StatusCode) -> Answer;

    /// The call that requests an engine's report: which models it has loaded, and how many commands
    /// it has accepted.
    fn report_call(&self) -> EngineCall;

    /// Decodes an engine's report; an error says why it can't be decoded.
    fn parse_report(&self, body: &[u8]) -> Result<Report, String>;
}
