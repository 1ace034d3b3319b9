//! Messages between control processes and routers, and among control processes.

use super::brittle;
use super::bundle::{self, Bundle};
use super::document::Document;
use super::origin::{self, Admitted, Begun, Question};
use super::patch::{self, Patch};
use super::permit;
use super::place;
use super::quarantine;
use super::quota;
use super::registry::{Announcement, Departure, LoadedModel};
use super::server_limit::Statement;
use super::speed;
use super::store;
use super::totals;
use crate::prelude::*;

record! { key =>
    /// A router, as it describes itself.
    pub struct Router {
        /// Name of its instance (one running copy of the system on a machine).
        pub instance: Name,
        /// Address that callers connect to.
        pub address: Name,
        /// Its failure domain.
        pub domain: Name,
        /// Whether it accepts new callers.
        pub ready: bool,
        /// Address for requests that other routers can't send to any server.
        #[serde(default)]
        pub relay: Option<Name>,
        /// Services of which it reaches no server itself.
        #[serde(default)]
        pub unreached: Vec<Name>,
    }
}

record! { key =>
    /// A model, or one of its adapters, that requests need.
    pub struct RequestedModel {
        /// The service that the requests are routed to.
        pub service: Name,
        /// Name of the model.
        pub model: Name,
        /// The adapter, if the requests need one.
        pub adapter: Option<Name>,
        /// The only version of the engines' software that can run the requests, if they go on with streams.
        #[serde(default)]
        pub software: Option<Name>,
    }
}

record! { key =>
    /// Demand for a model or adapter at one router.
    pub struct Demand {
        /// The model or adapter.
        #[serde(rename = "wanted")]
        pub requested: RequestedModel,
        /// Requests that arrived since the previous load report.
        pub arrived: u32,
        /// Requests that are waiting because no server can run them now.
        pub waiting: u32,
        /// Milliseconds until the earliest latency objective of the waiting requests that is still
        /// ahead.
        #[serde(default)]
        pub objective_in_ms: Option<u64>,
        /// Milliseconds since the earliest latency objective of the waiting requests that has
        /// passed.
        #[serde(default)]
        pub overdue_ms: Option<u64>,
    }
}

record! { key =>
    /// Requests in progress from one router at one backend server.
    pub struct RunningRequests {
        /// Name of the backend server.
        pub server: Name,
        /// The model, if the server is an engine.
        pub model: Option<Name>,
        /// The adapter, if one is used.
        pub adapter: Option<Name>,
        /// Number of requests.
        pub requests: u32,
    }
}

record! { key =>
    /// Models and adapters of one engine that routers may send requests for, as decided by the
    /// leader, and models that the leader is loading on the engine.
    pub struct EngineModels {
        /// Name of the engine.
        pub server: Name,
        /// Start time of the engine's process, in Unix milliseconds by its own clock.
        #[serde(rename = "born_ms")]
        pub incarnation: u64,
        /// Models and adapters that are loaded and not about to be unloaded.
        #[serde(rename = "held")]
        pub loaded: Vec<LoadedModel>,
        /// Models that the leader is loading on the engine. Each has the milliseconds until the
        /// engine should finish its current command, or 0 if it has no command. The current command
        /// is either the load of this model or a command that precedes the load.
        #[serde(rename = "coming")]
        pub loading: Vec<(Name, u64)>,
    }
}

record! { key =>
    /// A message between a control process and a router or another control process.
    #[derive(strum::IntoStaticStr)]
    pub enum Message {
        /// A router describes itself to a control process, which relays the description to the
        /// routers linked to it.
        #[serde(rename = "Entry")]
        Router(Router),
        /// The router of this instance no longer has a link to the sending control process.
        #[serde(rename = "EntryLeft")]
        RouterDisconnected(Name),
        /// A router applies this version of the document from now on.
        #[serde(rename = "Obeys")]
        AppliedVersion(u64),
        /// All routers linked to the sending control process.
        #[serde(rename = "Entries")]
        Routers(Vec<Router>),
        /// A router reports its request load: all its running and waiting requests, not only what
        /// has changed.
        #[serde(rename = "Load")]
        LoadReport {
            /// Requests in progress at backend servers.
            running: Vec<RunningRequests>,
            /// Demand by model and adapter.
            demand: Vec<Demand>,
        },
        /// The leader reports the sum of all routers' requests at each backend server, and the wait
        /// for the weight store.
        Totals {
            /// Requests in progress at each backend server.
            requests: Vec<(Name, u32)>,
            /// Milliseconds until the next load from the weight store may begin.
            store_wait_ms: u64,
            /// Models that requests wait for and whose load hasn't begun, each with the
            /// milliseconds until it is expected to be loaded.
            #[serde(default)]
            expected_waits: Vec<(Name, u64)>,
            /// What servers have stated lately of the requests that they take.
            #[serde(default)]
            server_limits: Vec<Statement>,
        },
        /// The leader reports what has changed since [`Message::Totals`] or the last such message.
        TotalsChanged {
            /// Requests in progress at servers where the number has changed; 0 if there are none left.
            requests: Vec<(Name, u32)>,
            /// Milliseconds until the next load from the weight store may begin.
            store_wait_ms: u64,
            /// As in [`Message::Totals`], all of them; `None` if they aren't sent this time.
            #[serde(default)]
            expected_waits: Option<Vec<(Name, u64)>>,
            /// What servers have stated lately of the requests that they take.
            #[serde(default)]
            server_limits: Vec<Statement>,
        },
        /// A router reports to the leader how fast servers work, by their statements and streams.
        SpeedReport(speed::Report),
        /// The leader relays how fast servers work to routers.
        ServerSpeeds(speed::Relay),
        /// A router asks the leader for permits for retries to a service.
        RetryPermitRequest {
            /// Name of the service.
            service: Name,
            /// How many, and when the router asked.
            request: permit::Request,
        },
        /// The leader's response to [`Message::RetryPermitRequest`].
        RetryPermitGrant {
            /// Name of the service.
            service: Name,
            /// The permits, if any.
            grant: permit::Grant,
        },
        /// A router reports to the leader what a server has stated.
        ServerLimit(Statement),
        /// A router asks the leader for permits for requests to a server that has named a limit.
        ServerPermitRequest {
            /// What the router knows of the server's limit.
            statement: Statement,
            /// How many, and when the router asked.
            request: permit::Request,
        },
        /// The leader's response to [`Message::ServerPermitRequest`].
        ServerPermitGrant {
            /// Name of the server.
            server: Name,
            /// The permits, if any.
            grant: permit::Grant,
        },
        /// A router reports to the leader what a server has said of its brittleness.
        ServerBrittle(brittle::Statement),
        /// The leader relays such statements to routers.
        BrittleServers(Vec<brittle::Statement>),
        /// A router asks the leader for a place at one of some brittle servers.
        PlaceRequest(place::Request),
        /// The leader's answer to [`Message::PlaceRequest`].
        PlaceAnswer {
            /// Number of the question.
            number: u64,
            /// The place, if there is one.
            answer: place::Answer,
        },
        /// A router reports to the leader what it has at a brittle server.
        PlaceUsage(place::Usage),
        /// A router reports that a server ended before it began to answer a request.
        ServerEnded(quarantine::End),
        /// A router reports requests to a service that have begun, by their keys.
        RequestsBegun {
            /// Name of the service.
            service: Name,
            /// The requests with each key.
            evidence: Vec<quarantine::Evidence>,
        },
        /// A router asks the leader whether a request with keys that are held may be sent.
        TrialRequest(quarantine::TrialRequest),
        /// The leader's response to [`Message::TrialRequest`].
        TrialAnswer {
            /// Number of the trial.
            number: u64,
            /// The decision.
            answer: quarantine::Answer,
        },
        /// A router reports the outcome of a trial under which no server ended.
        TrialOutcome {
            /// Number of the trial.
            number: u64,
            /// Whether the request began to be answered.
            begun: bool,
        },
        /// The leader relays all keys that are held.
        HeldKeys(quarantine::List),
        /// The leader relays what has changed in the keys that are held.
        HeldKeysChanged(quarantine::Change),
        /// A process lacks lists before a change of the keys that are held, and asks for the whole list.
        HeldKeysWanted,
        /// A control process relays the versions of servers' software at which streams may begin.
        AdmittedVersions(Admitted),
        /// A router reports streams that may have begun at several versions to all control processes.
        StreamsBegun(Vec<Begun>),
        /// A router asks the leader where a stream began.
        OriginQuestion(Question),
        /// The leader's response to [`Message::OriginQuestion`].
        OriginAnswer {
            /// Number of the question.
            number: u64,
            /// Where the stream began.
            answer: origin::Answer,
        },
        /// A router reports what it has charged to tenants, and asks the leader for more.
        QuotaAsk(quota::Ask),
        /// The leader's answer to [`Message::QuotaAsk`].
        QuotaAnswer(quota::Answer),
        /// The document in force.
        Document(Document),
        /// The document in force, for a router that has an earlier version.
        DocumentPatch(Patch),
        /// A router that applies this version of the document couldn't apply a patch.
        PatchRefused(u64),
        /// A control process relays the announcement of a backend server to routers and to other
        /// control processes.
        #[serde(rename = "Announced")]
        ServerAnnounced(Box<Announcement>),
        /// A control process sends routers the backend servers that announced themselves recently,
        /// each with its incarnation.
        #[serde(rename = "Live")]
        LiveServers(Vec<(Name, u64)>),
        /// A router reports to all control processes that an incarnation of a backend server has said in an
        /// answer that it leaves.
        ServerLeaving {
            /// Name of the backend server.
            server: Name,
            /// The incarnation that leaves.
            incarnation: u64,
        },
        /// An incarnation of a backend server has left and will not return.
        #[serde(rename = "Left")]
        ServerGone {
            /// Name of the backend server.
            server: Name,
            /// The incarnation that left; none only if the sender doesn't know the server, and from processes of
            /// older builds.
            #[serde(rename = "born_ms")]
            incarnation: Option<u64>,
            /// Number of its newest announcement that was known then; none from processes of older builds.
            #[serde(default)]
            number: Option<u64>,
        },
        /// The leader tells the other control processes which loads from the weight store are in progress.
        StoreLoads(store::Loads),
        /// Several messages of a control process.
        Bundle(Bundle),
        /// The leader reports the models and adapters that routers may send requests for.
        #[serde(rename = "Holdings")]
        LoadedModels {
            /// Term of the leader.
            term: u64,
            /// If the link is new: all engines. Otherwise: the engines whose models or adapters
            /// have changed.
            #[serde(rename = "holdings")]
            engines: Vec<EngineModels>,
        },
    }
}

impl Message {
    /// Whether only a leader sends this message, and sends it again and again.
    pub fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Message::Totals { .. } | Message::TotalsChanged { .. } | Message::LoadedModels { .. }
        )
    }

    /// Name of its kind, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        self.into()
    }

    /// The protocol version since which processes know this message.
    pub fn protocol(&self) -> u32 {
        match self {
            Message::ServerBrittle(_)
            | Message::BrittleServers(_)
            | Message::PlaceRequest(_)
            | Message::PlaceAnswer { .. }
            | Message::PlaceUsage(_) => place::PROTOCOL,
            Message::TotalsChanged { .. } => totals::PROTOCOL,
            Message::Bundle(_) => bundle::PROTOCOL,
            Message::DocumentPatch(_) | Message::PatchRefused(_) => patch::PROTOCOL,
            Message::QuotaAsk(_) | Message::QuotaAnswer(_) => quota::PROTOCOL,
            Message::HeldKeysChanged(_) | Message::HeldKeysWanted => quarantine::PROTOCOL,
            Message::SpeedReport(_) | Message::ServerSpeeds(_) => speed::PROTOCOL,
            Message::StoreLoads(_) => store::PROTOCOL,
            _ => 1,
        }
    }
}

impl Message {
    /// Reports the departure of a server.
    pub fn server_gone(server: Name, departure: Option<Departure>) -> Message {
        Message::ServerGone {
            server,
            incarnation: departure.map(|departure| departure.incarnation),
            number: departure.map(|departure| departure.number),
        }
    }
}

impl EngineModels {
    /// Whether `later` is of the same incarnation and has at least the same models and adapters.
    pub fn is_subset_of(&self, later: &EngineModels) -> bool {
        let still_loaded = |before: &LoadedModel| {
            let mut same = later
                .loaded
                .iter()
                .filter(|after| after.model == before.model);
            same.any(|after| before.adapters.is_subset(&after.adapters))
        };
        self.incarnation == later.incarnation && self.loaded.iter().all(still_loaded)
    }
}
