//! Answers to queries: entries, models, readiness.

use super::State;
use lovageplank_core::prelude::*;
use lovageplank_core::route;
use lovageplank_core::settings::{Tree, Version};
use lovageplank_core::view::{Instance, Phase};

/// A model or adapter as `GET /v1/models` lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// `base` or `base:adapter`.
    pub id: String,
    /// Its service.
    pub service: Name,
    /// `loaded`, `loading` or `cold`.
    pub state: &'static str,
}

impl State {
    /// Instances for a model or service, best first; this one is omitted while it leaves.
    pub fn entries(&self, key: &str, domain: Option<&str>) -> Vec<Instance> {
        let domain = domain.unwrap_or(&self.identity.failure_domain);
        let is_leaving = |i: &&Instance| self.leaving && i.id == self.identity.instance;
        route::rank(key, domain, self.view.instances.values())
            .into_iter()
            .filter(|i| !is_leaving(i))
            .cloned()
            .collect()
    }

    /// Addresses of the other instances.
    pub(super) fn other_addresses(&self, key: &str) -> Vec<Name> {
        self.entries(key, None)
            .into_iter()
            .filter(|i| i.id != self.identity.instance)
            .map(|i| i.address)
            .collect()
    }

    /// Version of the settings tree.
    pub fn version(&self) -> Version {
        self.view.tree.0
    }

    /// The settings tree.
    pub fn tree(&self) -> &Tree {
        &self.view.tree.1
    }

    /// Whether callers may use this instance: it isn't leaving, holds a lease and has a settings
    /// tree.
    pub fn ready(&self, now: Millis) -> bool {
        !self.leaving && now < self.lease_until && self.view.tree.0 > Version(0)
    }

    /// Largest body limit of the deployment's default and of all services, in bytes.
    pub fn body_limit(&self) -> u64 {
        let tree = &self.view.tree.1;
        let services = tree
            .services
            .keys()
            .map(|s| tree.effective(s, None, None).body_limit);
        let default = tree.effective("", None, None).body_limit;
        services.fold(default, u64::max)
    }

    /// Models and adapters of the settings tree, with the state of each.
    pub fn models(&self) -> Vec<Model> {
        let mut models = Vec::new();
        for (service, node) in &self.view.tree.1.services {
            for (name, model) in &node.models {
                let state = self.model_state(name, None);
                models.push(model_entry(name.to_string(), service, state));
                for adapter in model.adapters.keys() {
                    let state = self.model_state(name, Some(adapter));
                    models.push(model_entry(format!("{name}:{adapter}"), service, state));
                }
            }
        }
        models
    }

    fn model_state(&self, model: &str, adapter: Option<&Name>) -> &'static str {
        let replicas = self.view.replicas.get(model).map_or(&[][..], Vec::as_slice);
        let has_adapter =
            |r: &&lovageplank_core::view::Replica| adapter.is_none_or(|a| r.adapters.contains(a));
        if replicas
            .iter()
            .any(|r| r.phase == Phase::Ready && has_adapter(&r))
        {
            "loaded"
        } else if replicas.iter().any(|r| r.phase == Phase::Loading) {
            "loading"
        } else {
            "cold"
        }
    }
}

fn model_entry(id: String, service: &Name, state: &'static str) -> Model {
    Model {
        id,
        service: service.clone(),
        state,
    }
}
