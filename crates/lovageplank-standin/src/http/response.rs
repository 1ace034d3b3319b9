//! Responses with a complete or a streamed body.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

use super::connection::ActiveCall;

/// A response to one request.
pub struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Body,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        // Serialization fails only for maps whose keys aren't strings; no stand-in sends one.
        let text = serde_json::to_vec(value).unwrap_or_default();
        Response::bytes(status, text).header("content-type", "application/json")
    }

    /// Creates a response with a body of bytes.
    pub fn bytes(status: u16, body: impl Into<Bytes>) -> Response {
        Response {
            status,
            headers: Vec::new(),
            body: Body::Whole(Some(body.into())),
        }
    }

    /// Creates a response that streams server-sent events.
    pub fn events(chunks: mpsc::Receiver<Bytes>) -> Response {
        Response {
            status: 200,
            headers: vec![("content-type", "text/event-stream".to_owned())],
            body: Body::Stream(chunks),
        }
    }

    /// Creates an error response which states that the request wasn't run.
    pub fn error(status: u16, code: &str, message: &str) -> Response {
        Response::failure(status, code, message, true)
    }

    /// Creates an error response; `not_run` states that the request certainly wasn't run.
    pub fn failure(status: u16, code: &str, message: &str, not_run: bool) -> Response {
        let error = serde_json::json!({
            "error": {"code": code, "message": message, "not_run": not_run}
        });
        Response::json(status, &error)
    }

    /// Adds a header, which isn't sent if HTTP doesn't allow its value.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.headers.push((name, value.into()));
        self
    }

    /// Truncates a complete body to half of its bytes, and declares the full length in
    /// `Content-Length`. Leaves a streamed body unchanged.
    #[must_use]
    pub fn truncated(mut self) -> Response {
        if let Body::Whole(Some(bytes)) = &self.body {
            let half = bytes.slice(..bytes.len() / 2);
            self.headers
                .push(("content-length", bytes.len().to_string()));
            self.body = Body::Truncated(Some(half));
        }
        self
    }

    pub(super) fn into_hyper(self, active: ActiveCall) -> hyper::Response<TrackedBody> {
        let body = self.body;
        let mut response = hyper::Response::new(TrackedBody {
            body,
            _active: active,
        });
        if let Ok(status) = hyper::StatusCode::from_u16(self.status) {
            *response.status_mut() = status;
        }
        for (name, value) in self.headers {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// The part of a body that is still to be sent.
enum Body {
    /// The whole body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// The first half of the body; after it the body never ends.
    Truncated(Option<Bytes>),
    /// Chunks, each sent when it arrives.
    Stream(mpsc::Receiver<Bytes>),
}

/// A body whose request counts as active until the body is dropped.
pub(super) struct TrackedBody {
    body: Body,
    _active: ActiveCall,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = match &mut self.get_mut().body {
            Body::Whole(bytes) => bytes.take(),
            Body::Truncated(bytes) => match bytes.take() {
                Some(bytes) => Some(bytes),
                None => return Poll::Pending,
            },
            Body::Stream(chunks) => match chunks.poll_recv(context) {
                Poll::Ready(chunk) => chunk,
                Poll::Pending => return Poll::Pending,
            },
        };
        Poll::Ready(next.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, length)),
            Body::Truncated(_) | Body::Stream(_) => SizeHint::default(),
        }
    }
}

fn length(bytes: &Bytes) -> u64 {
    bytes.len() as u64
}
