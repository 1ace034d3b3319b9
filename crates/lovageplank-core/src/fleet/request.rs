//! What a request needs from a server, and how urgent it is.

use super::message::RequestedModel;
use super::tenant::Tenant;
use crate::prelude::*;

/// Work of an output token, in prompt tokens: outputs are generated one after another, prompts are read in parallel.
const OUTPUT_TOKEN_WORK: u64 = 10;

/// Which versions of the software of a service's servers may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Software {
    /// All.
    #[default]
    Any,
    /// Those at which streams may begin that another server can continue.
    Admitted,
    /// The one that made the first event of the stream that it continues.
    Only(Name),
}

record! { copy =>
    /// Urgency of a request; the least value is the most urgent. The tenant's priority precedes the route's.
    #[derive(Default)]
    pub struct Rank {
        /// Priority of the tenant; 0 without one.
        pub tenant: u32,
        /// Priority of the route.
        pub route: u32,
    }
}

record! { copy =>
    /// Tokens that a request states it needs.
    pub struct Work {
        /// Tokens of the prompt.
        pub prompt_tokens: u32,
        /// Most tokens of the answer.
        pub output_tokens: u32,
    }
}

impl Work {
    /// Returns the tokens of prompt and answer together.
    pub fn tokens(self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Returns the work for a server, in prompt tokens.
    pub fn cost(self) -> u64 {
        u64::from(self.prompt_tokens) + OUTPUT_TOKEN_WORK * u64::from(self.output_tokens)
    }
}

/// What a request needs from a server, and how urgent it is.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The service that its route selected.
    pub service: Name,
    /// The model, if the servers of the service are engines.
    pub model: Option<Name>,
    /// The adapter of the model, if it needs one.
    pub adapter: Option<Name>,
    /// Which versions of the servers' software may run it.
    pub software: Software,
    /// Id of the prefix of its prompt that it shares with other requests; not the text itself.
    pub prompt_prefix: Option<u64>,
    /// The tenant that sends it, if the document has tenants and its key is known.
    pub tenant: Option<Arc<Tenant>>,
    /// Its urgency.
    pub rank: Rank,
    /// The tokens that it states it needs, if it does.
    pub work: Option<Work>,
    /// Time by which its answer should have begun.
    pub objective_at: Millis,
    /// Time at which its caller gives up if no answer has begun.
    pub start_by: Millis,
}

/// The model that a request needs; `None` for a request to a server that is not an engine.
impl From<&RequestSpec> for Option<RequestedModel> {
    fn from(request: &RequestSpec) -> Option<RequestedModel> {
        Some(RequestedModel {
            service: request.service.clone(),
            model: request.model.clone()?,
            adapter: request.adapter.clone(),
            software: match &request.software {
                Software::Only(software) => Some(software.clone()),
                Software::Any | Software::Admitted => None,
            },
        })
    }
}
