//! Parses heads of requests.

use crate::answer;
use crate::refusal::{Code, Refusal};
use hyper::HeaderMap;
use hyper::http::request::Parts;
use lovageplank_core::prelude::*;
use std::net::SocketAddr;

/// Largest length in bytes of an idempotency key and of a caller's or a service's name.
const NAME_MAX_BYTES: usize = 256;
/// Highest priority.
const PRIORITY_MAX: u8 = 9;

/// A request's head with the ids and the time of arrival that the router assigns.
pub(super) struct Head {
    pub(super) id: u64,
    pub(super) request_id: Name,
    pub(super) received: Millis,
    pub(super) peer: SocketAddr,
    pub(super) parts: Parts,
}

/// Values of the headers that are meant for the router.
pub(super) struct OwnHeaders {
    pub(super) deadline_ms: Option<u64>,
    pub(super) priority: Option<u8>,
    pub(super) service: Option<Name>,
    pub(super) caller: Option<Name>,
    pub(super) key: Option<Name>,
}

/// The query of `/v1/entries`.
pub(super) struct EntriesQuery {
    pub(super) key: Name,
    pub(super) domain: Option<Name>,
}

impl Head {
    /// Parses the headers that are meant for the router.
    pub(super) fn own_headers(&self) -> Result<OwnHeaders, Refusal> {
        let priority = self.number("x-lovageplank-priority")?;
        if priority.is_some_and(|p| p > u64::from(PRIORITY_MAX)) {
            return Err(malformed("x-lovageplank-priority", "must be 0 to 9"));
        }
        Ok(OwnHeaders {
            deadline_ms: self.number("x-lovageplank-deadline-ms")?,
            priority: priority.and_then(|p| u8::try_from(p).ok()),
            service: self.name("x-lovageplank-service")?,
            caller: self.name("x-lovageplank-caller")?,
            key: self.name("idempotency-key")?,
        })
    }

    /// The caller's IP address, which stands for its name if it gave none.
    pub(super) fn peer_name(&self) -> Name {
        self.peer.ip().to_string().into()
    }

    pub(super) fn path_and_query(&self) -> String {
        let uri = &self.parts.uri;
        let path = uri.path_and_query();
        path.map_or_else(|| uri.path().to_owned(), ToString::to_string)
    }

    /// Headers to relay to the backend server.
    pub(super) fn relayed_headers(&self) -> HeaderMap {
        let mut headers = answer::relayed_headers(&self.parts.headers);
        // Credentials are meant for the router only.
        headers.remove(hyper::header::AUTHORIZATION);
        headers
    }

    /// Parses the query of `/v1/entries`. Its key is the model, or the service if no model is
    /// given.
    pub(super) fn entries_query(&self) -> Result<EntriesQuery, Refusal> {
        let (mut model, mut service, mut domain) = (None, None, None);
        let query = self.parts.uri.query().unwrap_or_default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode(value).ok_or_else(|| malformed(name, "is badly encoded"))?;
            match name {
                "model" => model = Some(value),
                "service" => service = Some(value),
                "failure_domain" => domain = Some(value),
                _ => {
                    return Err(malformed(
                        name,
                        "is unknown; known: service, model, failure_domain",
                    ));
                }
            }
        }
        // All adapters and versions of a model have the same instances.
        let model = model.map(|m| m.split([':', '@']).next().unwrap_or_default().to_owned());
        Ok(EntriesQuery {
            key: model.or(service).unwrap_or_default().into(),
            domain: domain.map(Name::from),
        })
    }

    fn number(&self, header: &str) -> Result<Option<u64>, Refusal> {
        let Some(text) = self.text(header)? else {
            return Ok(None);
        };
        let is_whole = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if !is_whole {
            return Err(malformed(header, "must be a whole number, not negative"));
        }
        // A number that doesn't fit is above every limit.
        Ok(Some(text.parse().unwrap_or(u64::MAX)))
    }

    fn name(&self, header: &str) -> Result<Option<Name>, Refusal> {
        match self.text(header)? {
            Some(text) if text.is_empty() || text.len() > NAME_MAX_BYTES => {
                Err(malformed(header, "must have 1 to 256 letters"))
            }
            text => Ok(text.map(Name::from)),
        }
    }

    fn text(&self, header: &str) -> Result<Option<&str>, Refusal> {
        let mut values = self.parts.headers.get_all(header).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(malformed(header, "stands twice"));
        }
        let text = value.to_str();
        text.map(Some)
            .map_err(|_| malformed(header, "must be plain text"))
    }
}

fn malformed(name: &str, message: &str) -> Refusal {
    Refusal::new(Code::Malformed, format!("{name} {message}"))
}

/// Decodes `%xx` and `+`; `None` if the encoding is invalid.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                let digits = std::str::from_utf8(&digits).ok()?;
                u8::from_str_radix(digits, 16).ok()?
            }
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}
