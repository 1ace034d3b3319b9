//! Effective settings with the level that sets each of them.

use super::edit::{Scope, TreePath};
use super::{Effective, Error, RANGES, Tree};
use crate::prelude::*;
use serde_json::Value;

record! { copy =>
    /// A level of the tree, ordered from the outermost to the innermost.
    #[serde(rename_all = "snake_case")]
    pub enum Level {
        /// The default that is built into the program.
        Default,
        /// The whole deployment.
        Deployment,
        /// A service.
        Service,
        /// A model.
        Model,
        /// An adapter.
        Adapter,
    }
}

record! { data =>
    /// An effective setting.
    pub struct Resolved {
        /// Its value.
        pub value: Value,
        /// The innermost level that sets it.
        pub level: Level,
    }
}

impl Tree {
    /// The effective settings of a service, model or adapter, or of the deployment for an empty
    /// path, by name. A path to a setting yields only that setting.
    ///
    /// Returns an error if the path is malformed or if it refers to a part or setting that doesn't
    /// exist.
    pub fn effective_with_origin(&self, path: &str) -> Result<BTreeMap<String, Resolved>, Error> {
        let (scope, single_key) = match TreePath::parse(path)? {
            TreePath::Root => (Scope::Deployment, None),
            TreePath::Service(s) | TreePath::Kind(s) => (Scope::Service(s), None),
            TreePath::Model(s, m) | TreePath::Version(s, m) | TreePath::Memory(s, m) => {
                (Scope::Model(s, m), None)
            }
            TreePath::Adapter(s, m, a) => (Scope::Adapter(s, m, a), None),
            TreePath::Setting(scope, key) => (scope, Some(key)),
        };
        if self.values(scope).is_none() {
            let reason = "no such service, model or adapter; list what there is with `get`";
            return Err(Error::new(path, reason));
        }
        let mut resolved = self.resolve(scope);
        let Some(key) = single_key else {
            return Ok(resolved);
        };
        let known = RANGES.iter().map(|range| range.0);
        let found = resolved.remove_entry(key);
        let unknown_setting = || Error::new(path, super::values::unknown_name(key, known));
        Ok(BTreeMap::from([found.ok_or_else(unknown_setting)?]))
    }

    fn resolve(&self, scope: Scope<'_>) -> BTreeMap<String, Resolved> {
        let mut effective = Effective::default();
        let mut levels = BTreeMap::new();
        for (level, scope) in chain(scope) {
            let Some(values) = self.values(scope) else {
                continue;
            };
            effective.overlay(values);
            for (key, ..) in RANGES {
                if values.get(key).is_some() {
                    levels.insert(*key, level);
                }
            }
        }
        let resolve = |(key, ..): &(&'static str, f64, f64)| {
            let value = effective.get(key)?;
            let level = levels.get(key).copied().unwrap_or(Level::Default);
            Some(((*key).to_owned(), Resolved { value, level }))
        };
        RANGES.iter().filter_map(resolve).collect()
    }
}

/// The levels from the deployment down to `scope`, with the scope of each.
fn chain(scope: Scope<'_>) -> Vec<(Level, Scope<'_>)> {
    let mut chain = match scope {
        Scope::Deployment => vec![],
        Scope::Service(_) => chain(Scope::Deployment),
        Scope::Model(s, _) => chain(Scope::Service(s)),
        Scope::Adapter(s, m, _) => chain(Scope::Model(s, m)),
    };
    let level = match scope {
        Scope::Deployment => Level::Deployment,
        Scope::Service(_) => Level::Service,
        Scope::Model(..) => Level::Model,
        Scope::Adapter(..) => Level::Adapter,
    };
    chain.push((level, scope));
    chain
}
