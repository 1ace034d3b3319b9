//! Settings tree: inheritance, validation, versions and history.
//!
//! ```
//! use lovageplank_core::settings::Tree;
//! let tree = Tree::parse(r#"{
//!     "settings": {"deadline_ms": 30000},
//!     "services": {"drafting": {"kind": "engine",
//!         "models": {"lime": {"version": "1", "memory_mb": 16000, "settings": {"deadline_ms": 5000}}}}}
//! }"#).unwrap();
//! assert_eq!(tree.effective("drafting", Some("lime"), None).deadline_ms, 5000);
//! ```

use crate::prelude::*;

record! { copy =>
    /// Version of the whole tree; each accepted change adds one.
    #[derive(Default)]
    pub struct Version(pub u64);
}

record! { data =>
    /// The settings tree: deployment, services, models, adapters; each level overrides what it names.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Tree {
        /// Settings of the deployment.
        pub settings: Values,
        /// Services by name.
        pub services: BTreeMap<Name, Service>,
    }
}

record! { copy =>
    /// What a service needs behind it.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum Kind {
        /// Models on engines.
        #[default]
        Engine,
        /// A plain service.
        Plain,
    }
}

record! { data =>
    /// One service.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Service {
        /// What stands behind it.
        pub kind: Kind,
        /// Settings that differ from the deployment's.
        pub settings: Values,
        /// Models that the service may run.
        pub models: BTreeMap<Name, Model>,
    }
}

record! { data =>
    /// One model of a service.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Model {
        /// The version that new replicas load.
        pub version: Name,
        /// Accelerator memory in megabytes that one replica needs, adapters included.
        pub memory_mb: u64,
        /// Settings that differ from the service's.
        pub settings: Values,
        /// Adapters that the model may run with.
        pub adapters: BTreeMap<Name, Adapter>,
    }
}

record! { data =>
    /// One adapter of a model.
    #[serde(default, deny_unknown_fields)]
    #[derive(Default)]
    pub struct Adapter {
        /// Settings that differ from the model's.
        pub settings: Values,
    }
}

/// Declares every setting once: its place in [`Values`], its effective value and its default.
macro_rules! settings {
    ($($(#[doc = $doc:literal])+ $name:ident: $type:ty = $default:expr, $range:expr;)+) => {
        record! { data =>
            /// Settings as one level names them; what is absent is inherited.
            #[serde(default, deny_unknown_fields)]
            #[derive(Default)]
            pub struct Values {
                $($(#[doc = $doc])+ #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)+
            }
        }

        record! { data =>
            /// Settings in force at one place of the tree.
            pub struct Effective {
                $($(#[doc = $doc])+ pub $name: $type,)+
            }
        }

        impl Default for Effective {
            fn default() -> Effective {
                Effective { $($name: $default,)+ }
            }
        }

        impl Effective {
            /// Overrides what `values` names.
            pub fn overlay(&mut self, values: &Values) {
                $(if let Some(value) = &values.$name { self.$name = value.clone(); })+
            }
        }

        /// Name, lowest and highest value of each setting.
        pub const RANGES: &[(&str, f64, f64)] = &[$((stringify!($name), $range.0, $range.1),)+];
    };
}

const DAY_MS: f64 = 86_400_000.0;

settings! {
    /// Milliseconds within which a request is answered or refused, unless the caller asks for less.
    deadline_ms: u64 = 60_000, (1.0, DAY_MS);
    /// Requests that may wait for one model at one router.
    queue_limit: u32 = 1_000, (0.0, 1e6);
    /// Bytes of bodies that may wait for one model at one router.
    queue_bytes: u64 = 16_000_000, (0.0, 1e10);
    /// Requests in progress for a service at one router.
    concurrency_limit: u32 = 2_000, (1.0, 1e6);
    /// Requests per second that one caller may send to one router.
    caller_rate: f64 = 1_000.0, (0.001, 1e6);
    /// Bytes of a request's body.
    body_limit: u64 = 4_000_000, (1.0, 1e9);
    /// Requests that a replica batches at once.
    batch_size: u32 = 16, (1.0, 10_000.0);
    /// Replicas kept loaded even when idle.
    min_replicas: u32 = 0, (0.0, 1_000.0);
    /// Replicas that may be loaded at once.
    max_replicas: u32 = 1, (0.0, 1_000.0);
    /// Milliseconds that an idle replica stays loaded at least.
    keep_alive_min_ms: u64 = 2_000, (0.0, DAY_MS);
    /// Milliseconds that an idle replica stays loaded at most.
    keep_alive_max_ms: u64 = 1_800_000, (0.0, DAY_MS);
    /// Gap in milliseconds between requests that is assumed before any was seen.
    expected_gap_ms: u64 = 600_000, (1.0, DAY_MS);
    /// What one second of a caller's wait for a load costs.
    cold_start_weight: f64 = 1.0, (0.0, 1e6);
    /// What one idle accelerator second costs.
    idle_weight: f64 = 1.0, (0.0, 1e6);
    /// Milliseconds that a load from the weight store is assumed to take before any was seen.
    load_ms: u64 = 4_000, (1.0, DAY_MS);
    /// Loads that the weight store starts per second.
    store_loads_per_second: f64 = 4.0, (0.001, 10_000.0);
    /// Loads from the weight store at once at full speed.
    store_concurrency: u32 = 4, (1.0, 10_000.0);
    /// Adapter loads in flight from the weight store over all engines.
    adapter_concurrency: u32 = 32, (1.0, 10_000.0);
    /// Retries per first attempt that a router may spend.
    retry_ratio: f64 = 0.2, (0.0, 10.0);
    /// Attempts per request at the most.
    max_attempts: u32 = 3, (1.0, 10.0);
    /// Whether requests may be run twice.
    idempotent: bool = true, (0.0, 1.0);
    /// Priority from 0 (shed first) to 9.
    priority: u8 = 5, (0.0, 9.0);
    /// Milliseconds that the outcome of a keyed request is kept.
    idempotency_ttl_ms: u64 = 86_400_000, (1_000.0, 7.0 * DAY_MS);
    /// Callers that may use it; `*` for all.
    callers: BTreeSet<Name> = BTreeSet::from(["*".into()]), (0.0, 1.0);
    /// Share of requests that must be answered in time.
    objective_answered: f64 = 0.99, (0.0, 1.0);
    /// Milliseconds to the first token that 95 in 100 must meet.
    objective_first_token_ms: u64 = 1_300, (1.0, DAY_MS);
    /// Milliseconds of cold start that 99 in 100 must meet.
    objective_cold_start_ms: u64 = 15_000, (1.0, DAY_MS);
}

/// Why a text is no settings tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Where in the tree, such as `services/drafting/models/lime/deadline_ms`.
    pub path: String,
    /// What is wrong and what would be right.
    pub reason: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for Error {}

impl Tree {
    /// Reads a tree from JSON and checks it.
    pub fn parse(text: &str) -> Result<Tree, Vec<Error>> {
        serde_json::from_str(text).map_err(|e| {
            vec![Error {
                path: String::new(),
                reason: e.to_string(),
            }]
        })
    }

    /// The settings in force for a service, one of its models, one of the model's adapters.
    pub fn effective(
        &self,
        service: &str,
        model: Option<&str>,
        adapter: Option<&str>,
    ) -> Effective {
        let mut effective = Effective::default();
        effective.overlay(&self.settings);
        let Some(service) = self.services.get(service) else {
            return effective;
        };
        effective.overlay(&service.settings);
        let Some(model) = model.and_then(|m| service.models.get(m)) else {
            return effective;
        };
        effective.overlay(&model.settings);
        if let Some(adapter) = adapter.and_then(|a| model.adapters.get(a)) {
            effective.overlay(&adapter.settings);
        }
        effective
    }

    /// The service that lists a model, with the model; models are named uniquely over services.
    pub fn model(&self, name: &str) -> Option<(&Name, &Model)> {
        self.services
            .iter()
            .find_map(|(service, s)| Some((service, s.models.get(name)?)))
    }
}
