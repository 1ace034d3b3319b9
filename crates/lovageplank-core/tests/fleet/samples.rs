//! Values that the tests share.

use lovageplank_core::fleet::deployment::{
    Deployment, EngineSpec, Limits, ModelSpec, RequestKind, Route, Service, Share,
};
use lovageplank_core::fleet::dispatch::{Dispatcher, RequestSpec, Software};
use lovageplank_core::fleet::registry::{
    Announcement, CachedWeights, LoadedModel, Presence, Stage,
};
use lovageplank_core::fleet::request::Rank;
use lovageplank_core::fleet::retry_budget::RetryLimit;
use lovageplank_core::prelude::*;

pub const LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_ms: 3_000,
    idle_ms: 15_000,
};

pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Stream,
        timeout_ms: 12_000,
        objective_ms: 300,
        patience_ms: 2_000,
        priority: 0,
        is_public: false,
        attempts: 1,
        shares: vec![Share {
            service: "drafting".into(),
            weight: 1,
        }],
    }
}

/// Capacity of engines with memory for three models of 60 GB and two adapters.
pub fn engine_spec(models: &[&str]) -> EngineSpec {
    let model = ModelSpec {
        weights_mb: 60_000.0,
        store_ms: 6_000,
        disk_ms: 800,
        memory_ms: 500,
        adapter_mb: 10.0,
    };
    EngineSpec {
        slots: 10,
        weights_mb: 200_000.0,
        adapters: 2,
        loads_per_s: 4.0,
        models: models
            .iter()
            .map(|m| (Name::from(*m), model.clone()))
            .collect(),
    }
}

pub fn services(models: &[&str]) -> BTreeMap<Name, Service> {
    let drafting = Service {
        connections: 100,
        engine: Some(engine_spec(models)),
    };
    let desk = Service {
        connections: 100,
        engine: None,
    };
    BTreeMap::from([("drafting".into(), drafting), ("desk".into(), desk)])
}

pub fn deployment(models: &[&str]) -> Deployment {
    let routes = vec![route("notes", "a.example", "/notes/")];
    Deployment::new(1, routes, services(models), LIMITS).expect("valid")
}

/// A deployment whose requests wait longer than a load from the store takes.
pub fn patient_deployment(models: &[&str]) -> Deployment {
    let route = Route {
        patience_ms: 10_000,
        ..route("notes", "a.example", "/notes/")
    };
    Deployment::new(1, vec![route], services(models), LIMITS).expect("valid")
}

pub fn loaded_model(model: &str, adapters: &[&str]) -> LoadedModel {
    LoadedModel {
        model: model.into(),
        version: 1,
        adapters: adapters.iter().map(|a| Name::from(*a)).collect(),
    }
}

pub fn announcement(id: &str, number: u64) -> Announcement {
    Announcement {
        id: id.into(),
        incarnation: 1_000,
        number,
        service: "drafting".into(),
        address: format!("10.0.0.1:{}", 8_000 + id.len()).into(),
        domain: "east".into(),
        software: "v1".into(),
        stage: Stage::Ready,
        slots: 10,
        leaves_in_ms: None,
        loaded: Vec::new(),
        cached_weights: CachedWeights::default(),
        presence: Presence::default(),
    }
}

/// An engine at its own address that has loaded models without adapters.
pub fn engine(id: &str, models: &[&str]) -> Announcement {
    Announcement {
        address: format!("10.0.0.1:{id}").into(),
        loaded: models.iter().map(|m| loaded_model(m, &[])).collect(),
        ..announcement(id, 1)
    }
}

pub const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    extra: 60.0,
    window_ms: 10_000,
};

/// A router's dispatcher that knows no server.
pub fn dispatcher() -> Dispatcher {
    Dispatcher::new("east".into(), RETRY_LIMIT, 1_000, 7)
}

/// A request for a model.
pub fn request(model: &str, start_by: Millis) -> RequestSpec {
    RequestSpec {
        software: Software::Any,
        service: "drafting".into(),
        model: Some(model.into()),
        adapter: None,
        prompt_prefix: None,
        tenant: None,
        rank: Rank::default(),
        work: None,
        objective_at: 300,
        start_by,
    }
}
