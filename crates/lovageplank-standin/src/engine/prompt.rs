//! Bodies of completion requests.

use serde::Deserialize;

/// Answer length in tokens if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Largest `max_tokens` of a request; a request with more is rejected.
const MAX_TOKENS: u32 = 100_000;

/// The endpoint of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// A validated completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The requested model, adapter and version.
    pub target: ModelReference,
    /// The prompt, or the chat messages joined into one text.
    pub text: String,
    /// Length of the answer in tokens.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A model reference of the form `base[:adapter][@version]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelReference {
    /// The reference as given in the request.
    pub raw: String,
    /// The model.
    pub model: String,
    /// The adapter, if any.
    pub adapter: Option<String>,
    /// The version, if any.
    pub version: Option<String>,
}

#[derive(Deserialize)]
struct RequestBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl CompletionRequest {
    /// Parses and validates a body; the error is a message for the caller.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<CompletionRequest, String> {
        let fields: RequestBody =
            serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let tokens = fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if tokens > MAX_TOKENS {
            return Err(format!("max_tokens is {tokens}, more than {MAX_TOKENS}"));
        }
        let text = match endpoint {
            Endpoint::Text => fields.prompt.ok_or("\"prompt\" is missing")?,
            Endpoint::Chat => {
                let messages = fields.messages.ok_or("\"messages\" is missing")?;
                let lines = messages
                    .iter()
                    .map(|m| format!("{}: {}\n", m.role, m.content));
                lines.collect()
            }
        };
        Ok(CompletionRequest {
            target: ModelReference::parse(&fields.model)?,
            text,
            tokens,
            stream: fields.stream,
        })
    }
}

impl ModelReference {
    /// Parses a model reference; the error is a message for the caller.
    pub fn parse(raw: &str) -> Result<ModelReference, String> {
        let (rest, version) = split_suffix(raw, '@');
        let (model, adapter) = split_suffix(rest, ':');
        let parts = [Some(model), adapter, version];
        if parts.into_iter().flatten().any(str::is_empty) {
            return Err(format!(
                "model {raw:?} isn't of the form base[:adapter][@version]"
            ));
        }
        Ok(ModelReference {
            raw: raw.to_owned(),
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            version: version.map(str::to_owned),
        })
    }
}

fn split_suffix(text: &str, separator: char) -> (&str, Option<&str>) {
    match text.split_once(separator) {
        Some((before, after)) => (before, Some(after)),
        None => (text, None),
    }
}
