//! Parses bodies of completion calls.

use crate::refusal::{Code, Refusal};
use lovageplank_core::prelude::*;
use lovageplank_core::route::prefix_hash;
use serde::Deserialize;
use std::borrow::Cow;

/// Largest length in bytes of a model's name with its adapter and version.
const MODEL_NAME_MAX_BYTES: usize = 512;

/// The fields of a completion call that the router uses.
#[derive(Debug, PartialEq)]
pub(super) struct CompletionRequest {
    pub(super) model: Name,
    pub(super) adapter: Option<Name>,
    pub(super) version: Option<Name>,
    pub(super) stream: bool,
    pub(super) user: Option<Name>,
    /// Hash of the prompt's prefix; 0 if the prompt isn't plain text.
    pub(super) prefix: u64,
}

#[derive(Deserialize)]
struct CompletionBody<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    user: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    prompt: Option<Prompt<'a>>,
    #[serde(borrow, default)]
    messages: Option<Vec<Message<'a>>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    /// Anything else, such as several prompts or tokens. The router relays it unparsed.
    Other(#[allow(dead_code)] serde::de::IgnoredAny),
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, default)]
    role: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    content: Option<Prompt<'a>>,
}

/// Parses the body of a call to `path`.
pub(super) fn parse(path: &str, body: &[u8]) -> Result<CompletionRequest, Refusal> {
    let text = std::str::from_utf8(body).map_err(|e| malformed(format!("the body: {e}")))?;
    let completion_body: CompletionBody<'_> =
        serde_json::from_str(text).map_err(|e| malformed(format!("the body: {e}")))?;
    let chat = path.ends_with("/chat/completions");
    if chat && completion_body.messages.is_none() {
        return Err(malformed("\"messages\" is missing".into()));
    }
    if !chat && completion_body.prompt.is_none() {
        return Err(malformed("\"prompt\" is missing".into()));
    }
    let (model, adapter, version) = split_model(&completion_body.model)?;
    let prompt = if chat {
        transcript(completion_body.messages.as_deref().unwrap_or_default())
    } else {
        completion_body
            .prompt
            .as_ref()
            .and_then(Prompt::text)
            .map(str::to_owned)
    };
    Ok(CompletionRequest {
        prefix: prompt.map_or(0, |prompt| prefix_hash(&model, &prompt)),
        model,
        adapter,
        version,
        stream: completion_body.stream.unwrap_or(false),
        user: completion_body
            .user
            .filter(|user| !user.is_empty())
            .map(|user| user.as_ref().into()),
    })
}

impl Prompt<'_> {
    fn text(&self) -> Option<&str> {
        match self {
            Prompt::Text(text) => Some(text),
            Prompt::Other(_) => None,
        }
    }
}

/// The messages as one text, a line each; `None` if one isn't plain text.
fn transcript(messages: &[Message<'_>]) -> Option<String> {
    let mut text = String::new();
    for message in messages {
        text.push_str(message.role.as_deref().unwrap_or_default());
        text.push_str(": ");
        text.push_str(message.content.as_ref()?.text()?);
        text.push('\n');
    }
    Some(text)
}

/// Splits `base[:adapter][@version]`.
fn split_model(qualified: &str) -> Result<(Name, Option<Name>, Option<Name>), Refusal> {
    let cut = |text: &'_ str, mark: char| match text.split_once(mark) {
        Some((before, after)) => (before.to_owned(), Some(after.to_owned())),
        None => (text.to_owned(), None),
    };
    let (rest, version) = cut(qualified, '@');
    let (model, adapter) = cut(&rest, ':');
    let parts = [Some(&model), adapter.as_ref(), version.as_ref()];
    let empty = parts.into_iter().flatten().any(String::is_empty);
    if empty || qualified.len() > MODEL_NAME_MAX_BYTES {
        let message = "\"model\" must have the form base[:adapter][@version]";
        return Err(malformed(message.into()));
    }
    Ok((
        model.into(),
        adapter.map(Name::from),
        version.map(Name::from),
    ))
}

fn malformed(message: String) -> Refusal {
    Refusal::new(Code::Malformed, message)
}
